package command

import (
	"errors"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/sheet"
	"tanagerfall/tanagerctl/publication"
)

// The exit codes, described in docs/operators.md.
const (
	ExitOK = 0
	// ExitFailure: anything that has no code of its own, such as wrong usage
	// or settings.
	ExitFailure = 1
	// ExitFaults: the sheet has faults; nothing was published.
	ExitFaults = 2
	// ExitConflict: another publication won; nothing of this one is in force.
	ExitConflict = 3
	// ExitUnavailable: the log can't be reached; nothing was published.
	ExitUnavailable = 4
	// ExitUnknown: the plan may have been accepted; repeat the command.
	ExitUnknown = 5
	// ExitNotInForce: a VM doesn't have the version yet or can't be asked.
	ExitNotInForce = 6
	// ExitVM: a VM can't be reached or refused the request.
	ExitVMCallFailed = 7
)

var (
	errUsage        = eris.New("usage")
	errNotInForce   = eris.New("the version is not in force everywhere")
	errVMCallFailed = eris.New("the VM did not answer as expected")
)

func exitCode(err error) int {
	var faults sheet.Faults
	var conflict *publication.ConflictError
	var replaced *publication.ReplacedError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults):
		return ExitFaults
	case errors.As(err, &conflict), errors.As(err, &replaced):
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
