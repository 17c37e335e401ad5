package claim

import (
	"testing"

	"github.com/zeebo/errs"
)

// A failure is the same to who asked another process as to who asked the ledger.
func TestFailuresKeepTheirClass(t *testing.T) {
	for _, class := range []*errs.Class{&Unavailable, &NotHolder, &Abandoned, &Error} {
		if err := (Reply{Failure: failureOf(class.New("failed"))}).err(); !class.Has(err) {
			t.Errorf("%q came back as %v", *class, err)
		}
	}
}
