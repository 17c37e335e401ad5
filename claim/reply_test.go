package claim

import (
	"testing"

	"github.com/zeebo/errs"
)

// TestFailuresKeepTheirClass checks that an error that another process returns in a Reply
// has the same class as the ledger's error.
func TestFailuresKeepTheirClass(t *testing.T) {
	for _, class := range []*errs.Class{&Unavailable, &NotHolder, &Abandoned, &Error} {
		if err := (Reply{Failure: failureOf(class.New("failed"))}).err(); !class.Has(err) {
			t.Errorf("%q came back as %v", *class, err)
		}
	}
}
