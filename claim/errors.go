package claim

import "github.com/zeebo/errs"

// Error classes besides Unavailable.
var (
	// Error is for requests and objects that do not make sense.
	Error = errs.Class("claim")
	// NotHolder is for outcomes of attempts that do not hold the claim.
	NotHolder = errs.Class("claim not held")
	// Abandoned is for attempts whose request was given up before it was granted.
	Abandoned = errs.Class("claim request given up")

	// notSent is for store calls that were never sent.
	notSent = errs.Class("store call not sent")
	// ambiguous marks an operation that may still take effect in the store.
	ambiguous = errs.Class("claim outcome open")
)
