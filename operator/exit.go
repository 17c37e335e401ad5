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

// Exit codes of all commands. Scripts rely on them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any failure without its own code
	ExitUsage       = 2 // invalid flag, value or argument; nothing was done
	ExitInvalid     = 3 // the settings are not valid; nothing was changed
	ExitConflict    = 4 // others changed the same values; nothing was changed
	ExitUnavailable = 5 // the platform cannot be reached; nothing was changed
	ExitUnknown     = 6 // the change may be in force; repeat it with its change id
	ExitRefused     = 7 // an entry refused or failed the request; its problem document is printed
)

// exitHelp documents the exit codes in the help of the commands.
const exitHelp = `Exit codes:
  0  done
  1  failed for another reason
  2  bad flag, value or argument; nothing was done
  3  the settings are not valid; nothing was changed
  4  others changed the same values; nothing was changed
  5  the platform cannot be reached; nothing was changed
  6  the change may be in force; repeat the command with --change-id to settle it
  7  an entry refused or failed the request; its problem document is printed`

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func newExitError(code int, err error) error { return &exitError{code: code, err: err} }

func usageError(format string, args ...any) error {
	return newExitError(ExitUsage, fmt.Errorf(format, args...))
}

// ExitCode returns the exit code for the error that a command tree returned. Errors without a code
// come from parsing the command line and count as bad usage.
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

func actionExitCode(err error) int {
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

// Run runs a command tree and returns its exit code. It writes a failure to errOut on one line, or
// on one line per fault if a settings document is invalid.
func Run(ctx context.Context, root *cli.Command, args []string, errOut io.Writer) int {
	prepareCommand(root)
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "%s: %s\n", root.Name, strings.TrimSpace(err.Error()))
	}
	return ExitCode(err)
}

// withExitCode wraps an action so that its errors have an exit code. Errors from before the action
// runs have none and count as bad usage.
func withExitCode(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := action(ctx, c); err != nil {
			return newExitError(actionExitCode(err), err)
		}
		return nil
	}
}

// prepareCommand makes every command of the tree return bad usage as one error and leave exiting
// the process to the caller.
func prepareCommand(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usageError("%s; see %s --help", err, cmd.FullName())
	}
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if c.Action == nil {
		c.Action = requireSubcommand
	}
	c.Action = withExitCode(c.Action)
	for _, sub := range c.Commands {
		prepareCommand(sub)
	}
}

func requireSubcommand(_ context.Context, c *cli.Command) error {
	var names []string
	for _, sub := range c.VisibleCommands() {
		names = append(names, sub.Name)
	}
	if given := c.Args().First(); given != "" {
		return usageError("command %q is not known; allowed: %s", given, strings.Join(names, ", "))
	}
	return usageError("a command is needed; allowed: %s", strings.Join(names, ", "))
}
