package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is an error in a document.
type Fault struct {
	// Path is the path of the value, such as "organisations.acme.request.priority".
	Path string `json:"path"`
	// Line is the line of the value in the parsed text; 0 if there is no text.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s (line %d): %s", f.Path, f.Line, f.Message)
	}
	return f.Path + ": " + f.Message
}

// Faults are all errors in a document. It implements error.
type Faults []Fault

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// add appends a fault at path.
func (fs *Faults) add(path []string, format string, args ...any) {
	*fs = append(*fs, Fault{Path: joinPath(path), Message: fmt.Sprintf(format, args...)})
}

// asError returns the faults, ordered by line and path, as an error of class Invalid, or nil if
// there are none.
func (fs Faults) asError() error {
	if len(fs) == 0 {
		return nil
	}
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return Invalid.Wrap(fs)
}
