package command

import (
	"errors"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/sheet"
	"tanagerfall/tanagerctl/publication"
)

// The exit codes of tanagerctl. docs/operators.md describes them for operators.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure stands for all failures without a code of their own, such as
	// wrong usage or invalid settings.
	ExitFailure = 1
	// ExitFaults means that the sheet has faults. Nothing was published.
	ExitFaults = 2
	// ExitConflict means that another publication was accepted instead. Nothing
	// of this one is in force.
	ExitConflict = 3
	// ExitUnavailable means that the log can't be reached. Nothing was
	// published.
	ExitUnavailable = 4
	// ExitUnknown means that the plan may have been accepted. Repeating the
	// command shows the outcome.
	ExitUnknown = 5
	// ExitNotInForce means that an entry VM doesn't have the expected version
	// yet or can't be queried.
	ExitNotInForce = 6
	// ExitVMCallFailed means that an entry VM can't be reached or refused the
	// request.
	ExitVMCallFailed = 7
)

// The errors that exitCode maps to an exit code. errUsage is for wrong arguments,
// flags and settings.
var (
	errUsage        = eris.New("usage")
	errNotInForce   = eris.New("the version is not in force everywhere")
	errVMCallFailed = eris.New("the VM did not answer as expected")
)

// exitCode returns the exit code for the error of a command; nil means success.
func exitCode(err error) int {
	var faults sheet.Faults
	var conflictError *publication.ConflictError
	var replacedError *publication.ReplacedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitFaults
	case errors.As(err, &conflictError), errors.As(err, &replacedError):
		return ExitConflict
	case errors.Is(err, publication.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, publication.ErrLogUnavailable), errors.Is(err, platform.ErrUnavailable):
		return ExitUnavailable
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.Is(err, errVMCallFailed):
		return ExitVMCallFailed
	default:
		return ExitFailure
	}
}
