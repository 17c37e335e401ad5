package operator

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/settings"
)

// Output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

// printer writes lines of text and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// writeResult writes v as JSON or calls text to print it, depending on the output format.
func writeResult(c *cli.Command, v any, text func(*printer)) error {
	out := c.Root().Writer
	if c.String(flagOutput) == formatJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	p := &printer{w: out}
	text(p)
	return p.err
}

// changeResult is the output of the commands that change settings.
type changeResult struct {
	settings.Outcome
	DryRun    bool         `json:"dry_run,omitempty"`
	Detail    string       `json:"detail,omitempty"`
	Announced Announcement `json:"announced,omitzero"`
}

// reportChange writes the outcome of a change. It returns an error with the exit code for the
// outcome unless the change was accepted or changed nothing.
func (s *session) reportChange(result changeResult) error {
	if result.Err != nil {
		result.Detail = result.Err.Error()
	}
	err := writeResult(s.c, result, result.print)
	if err != nil {
		return err
	}
	return outcomeError(result.Outcome)
}

func (r changeResult) print(p *printer) {
	for _, e := range r.Edits {
		p.line("%s", e)
	}
	for _, c := range r.Conflicts {
		p.line("conflict at %s: %s is in force, %s was wanted", c.Path, c.Current, c.Proposed)
	}
	switch {
	case r.State == settings.Accepted && r.DryRun:
		p.line("would be accepted on version %d", r.Version)
	case r.State == settings.Accepted:
		p.line("accepted as version %d (change %s)", r.Version, r.ID)
		if r.Announced.Notified > 0 {
			p.line("in force at %d of %d agents told", r.Announced.InForce, r.Announced.Notified)
		}
	case r.State == settings.Unchanged:
		p.line("nothing to change on version %d", r.Version)
	}
}

func outcomeError(out settings.Outcome) error {
	switch out.State {
	case settings.Accepted, settings.Unchanged:
		return nil
	case settings.Conflicted:
		return newExitError(ExitConflict, fmt.Errorf("not accepted: %w", out.Err))
	case settings.Rejected:
		return newExitError(ExitInvalid, fmt.Errorf("not accepted: %w", out.Err))
	case settings.NotAccepted:
		return newExitError(ExitUnavailable, fmt.Errorf("not accepted, nothing changed: %w", out.Err))
	}
	return newExitError(ExitUnknown, fmt.Errorf("may be in force; settle it with --%s %s: %w", flagChangeID, out.ID, out.Err))
}
