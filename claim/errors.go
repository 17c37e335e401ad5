package claim

import "github.com/zeebo/errs"

// Error classes besides Unavailable.
var (
	// Error is the class of errors for invalid requests and stored objects.
	Error = errs.Class("claim")
	// NotHolder is the class of errors for outcomes of attempts that do not hold the claim.
	NotHolder = errs.Class("claim not held")
	// Abandoned is the class of errors for attempts that were abandoned before they were granted.
	Abandoned = errs.Class("claim request given up")

	// notSent is the class of errors for store calls that were never sent.
	notSent = errs.Class("store call not sent")
	// ambiguous is the class of errors for operations that may still take effect in the store.
	ambiguous = errs.Class("claim outcome open")
)
