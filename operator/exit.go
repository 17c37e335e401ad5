package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/azurelead/azurelead/platform"
	"github.com/azurelead/azurelead/settings"
)

// The exit codes of all commands. Scripts rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any failure without a code of its own
	ExitUsage       = 2 // a bad flag, value or argument; nothing was done
	ExitInvalid     = 3 // the settings are not valid; nothing was changed
	ExitConflict    = 4 // others changed the same values; nothing was changed
	ExitUnavailable = 5 // the platform cannot be reached; nothing was changed
	ExitUnknown     = 6 // the change may be in force; repeat it with its change id
	ExitRefused     = 7 // an entry refused or failed the request; its problem is printed
)

// exitHelp is the part of the help that documents the codes.
const exitHelp = `Exit codes:
  0  done
  1  failed for another reason
  2  bad flag, value or argument; nothing was done
  3  the settings are not valid; nothing was changed
  4  others changed the same values; nothing was changed
  5  the platform cannot be reached; nothing was changed
  6  the change may be in force; repeat the command with --change-id to settle it
  7  an entry refused or failed the request; its problem document is printed`

// exitError carries the exit code of a failure.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitWith(code int, err error) error { return &exitError{code: code, err: err} }

func usage(format string, args ...any) error {
	return exitWith(ExitUsage, fmt.Errorf(format, args...))
}

// ExitCode returns the exit code of what a command tree returned.
func ExitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	}
	return ExitUsage
}

func codeOfAction(err error) int {
	var e *exitError
	switch {
	case errors.As(err, &e):
		return e.code
	case settings.Invalid.Has(err):
		return ExitInvalid
	case platform.Unavailable.Has(err), platform.RateLimited.Has(err):
		return ExitUnavailable
	}
	return ExitFailed
}

// Run runs a command tree and returns its exit code. A failure is written to
// errOut in one line, or one line for each fault of a document.
func Run(ctx context.Context, root *cli.Command, args []string, errOut io.Writer) int {
	prepare(root)
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %s\n", root.Name, strings.TrimSpace(err.Error()))
	}
	return ExitCode(err)
}

// coded gives the failures of an action their exit code. What fails before an
// action runs is bad usage.
func coded(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := action(ctx, c); err != nil {
			return exitWith(codeOfAction(err), err)
		}
		return nil
	}
}

// prepare makes every command of the tree report bad usage as one error, and
// leave exiting to the caller.
func prepare(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usage("%s; see %s --help", err, cmd.FullName())
	}
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if c.Action == nil {
		c.Action = needsCommand
	}
	c.Action = coded(c.Action)
	for _, sub := range c.Commands {
		prepare(sub)
	}
}

func needsCommand(_ context.Context, c *cli.Command) error {
	var names []string
	for _, sub := range c.VisibleCommands() {
		names = append(names, sub.Name)
	}
	if given := c.Args().First(); given != "" {
		return usage("command %q is not known; allowed: %s", given, strings.Join(names, ", "))
	}
	return usage("a command is needed; allowed: %s", strings.Join(names, ", "))
}
