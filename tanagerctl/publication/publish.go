package publication

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/version/plan"
)

const (
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
	// derivedIDBytes is the length of a derived publish ID before it is
	// written in hexadecimal digits.
	derivedIDBytes = 16
)

// The errors of Publish, besides *ConflictError and *ReplacedError.
var (
	// ErrLogUnavailable means that nothing was published, and that the same
	// command can be repeated.
	ErrLogUnavailable = eris.New("the log is unavailable; nothing was published, and the command can be repeated")
	// ErrUnknown means that the publication may have been accepted.
	ErrUnknown = eris.New("the outcome is unknown: the plan may have been accepted")
	// ErrNoBase means that the log's retained records don't tell the current
	// version.
	ErrNoBase = eris.New("the log's retained records don't tell the current version: wait for a snapshot by an entry VM, " +
		"or use --recover if no VM has a plan any more")
	// ErrGuard means that a guard's name is unknown.
	ErrGuard = eris.New("unknown guard")
	// ErrTooLarge means that a VM could not write the plan's snapshot.
	ErrTooLarge = eris.New("the plan is too large for one record of the log")
	// ErrRejected means that readers refuse the record.
	ErrRejected = eris.New("the record is invalid for its readers")
)

// Winner names a version that stands in the way of a publication.
type Winner struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish-id"`
	Author    string `json:"author"`
}

// ConflictError means that another publication was accepted on the base.
// Nothing of this publication is in force, nor will it ever be.
type ConflictError struct {
	Base   int64
	Winner Winner
	// Change leads from the winner's plan to the plan that was refused.
	Change plan.Change
}

// Error names the winner.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("conflict: base %d is not current; version %d of %s (publish ID %s) is",
		conflict.Base, conflict.Winner.Version, orUnknown(conflict.Winner.Author), conflict.Winner.PublishID)
}

// ReplacedError means that an earlier run of the same command was accepted and
// then replaced by somebody else's publication.
type ReplacedError struct {
	Version int64
	Winner  Winner
	Change  plan.Change
}

// Error names both versions and the way on.
func (replaced *ReplacedError) Error() string {
	return fmt.Sprintf("this sheet was accepted as version %d and replaced by version %d of %s; to publish it again, use --base %d",
		replaced.Version, replaced.Winner.Version, orUnknown(replaced.Winner.Author), replaced.Winner.Version)
}

// Request is what is to be published.
type Request struct {
	// Sheet is the plan that the sheet gives.
	Sheet *plan.Plan
	// Base is the version that the sheet is based on; nil means the current
	// one.
	Base *int64
	// PublishID names the attempt; empty means one derived from the request.
	PublishID string
	Author    string
	// EnableGuards and DisableGuards name guards; the others stay as they are.
	EnableGuards  []string
	DisableGuards []string
	// Recover publishes without a base.
	Recover bool
}

// Result is an accepted publication.
type Result struct {
	Version   int64       `json:"version"`
	Digest    plan.Digest `json:"digest"`
	PublishID string      `json:"publish-id"`
	Base      int64       `json:"base"`
	// Outcome says how the version came about.
	Outcome Outcome `json:"outcome"`
	// Current is the current version, which is higher than Version where the
	// plan was replaced since.
	Current int64 `json:"current-version"`
	// Kept lists rules of the base that hold until a row of the sheet does.
	Kept   []plan.Rule `json:"kept,omitempty"`
	Change plan.Change `json:"change"`
}

// Outcome is how a publication ended well.
type Outcome string

// The outcomes.
const (
	// Accepted: this run's record won.
	Accepted Outcome = "accepted"
	// AlreadyAccepted: an earlier run's record had won.
	AlreadyAccepted Outcome = "already-accepted"
	// Unchanged: the sheet says what is in force; nothing was published.
	Unchanged Outcome = "unchanged"
)

// ID returns the publish ID of a request on a base: the same for each run of
// the same command, so that a repeated command can't be accepted twice.
func (request *Request) ID(base int64) string {
	if request.PublishID != "" {
		return request.PublishID
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %q %q %q %t",
		base, plan.DigestOf(request.Sheet), request.Author, request.EnableGuards, request.DisableGuards, request.Recover))
	return hex.EncodeToString(sum[:derivedIDBytes])
}

// Publisher publishes plans.
type Publisher struct {
	log    Log
	stream string
}

// NewPublisher returns a Publisher.
func NewPublisher(log Log, stream string) *Publisher {
	return &Publisher{
		log:    log,
		stream: stream,
	}
}

// Publish appends a publication and reads it back. Accepted means that the
// record was read from the log at its offset as the winner on its base. It
// repeats what failed until ctx ends. The errors are *ConflictError,
// *ReplacedError, or wrap ErrLogUnavailable, ErrUnknown, ErrNoBase,
// ErrRejected, ErrGuard, ErrTooLarge or the platform's ErrRefused.
func (publisher *Publisher) Publish(ctx context.Context, request Request) (Result, error) {
	history, err := publisher.read(ctx)
	if err != nil {
		return Result{}, eris.Wrap(ErrLogUnavailable, err.Error())
	}
	earlier, found := request.earlier(history)
	if found {
		return request.settled(history, earlier)
	}
	attempt, err := request.prepare(history)
	if err != nil {
		return Result{}, err
	}
	if attempt.record == nil {
		return attempt.result, nil
	}
	return publisher.send(ctx, history, attempt)
}

// read reads the log to its end, again and again until ctx ends.
func (publisher *Publisher) read(ctx context.Context) (*History, error) {
	history := NewHistory(publisher.log, publisher.stream)
	return history, retry(ctx, func() error {
		return history.ReadToEnd(ctx)
	})
}

// retry repeats a call while the platform is unavailable.
func retry(ctx context.Context, call func() error) error {
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		err := call()
		if err == nil || errors.Is(err, platform.ErrRefused) {
			return err
		}
		if !pause(ctx, rand.N(wait)) {
			return err
		}
	}
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// earlier finds a record of an earlier run of the same command that won.
func (request *Request) earlier(history *History) (Entry, bool) {
	for _, entry := range slices.Backward(history.Entries()) {
		base := entry.Base
		if request.Base != nil {
			base = *request.Base
		}
		if entry.Verdict == Adopted && entry.PublishID == request.ID(base) {
			return entry, true
		}
	}
	return Entry{}, false
}

// settled ends a request whose earlier run won.
func (request *Request) settled(history *History, earlier Entry) (Result, error) {
	version, _, content, _ := history.Current()
	if version != earlier.Offset && request.Base == nil {
		return Result{}, &ReplacedError{
			Version: earlier.Offset,
			Winner:  history.winner(version),
			Change:  plan.Diff(content, request.Sheet),
		}
	}
	return Result{
		Version:   earlier.Offset,
		Digest:    earlier.Digest,
		PublishID: earlier.PublishID,
		Base:      earlier.Base,
		Outcome:   AlreadyAccepted,
		Current:   version,
	}, nil
}

func (history *History) winner(version int64) Winner {
	entry := history.entries[version]
	if entry == nil {
		return Winner{
			Version: version,
		}
	}
	return Winner{
		Version:   version,
		PublishID: entry.PublishID,
		Author:    entry.Author,
	}
}

// attempt is a record to be appended and the result if it wins. record is nil
// where there is nothing to publish.
type attempt struct {
	record plan.Record
	target *plan.Plan
	result Result
}

func (request *Request) prepare(history *History) (attempt, error) {
	version, digest, content, synced := history.Current()
	if !synced && !request.Recover {
		return attempt{}, ErrNoBase
	}
	target, kept := plan.CarryOver(content, request.Sheet, time.Now())
	guards, err := request.guards(content.Guards)
	if err != nil {
		return attempt{}, err
	}
	changed := *target
	changed.Guards = guards
	err = checkSnapshot(&changed, request)
	if err != nil {
		return attempt{}, err
	}
	prepared := attempt{
		target: &changed,
		result: Result{
			Digest:    plan.DigestOf(&changed),
			PublishID: request.ID(version),
			Base:      version,
			Outcome:   Accepted,
			Kept:      kept,
			Change:    plan.Diff(content, &changed),
		},
	}
	if request.Recover {
		prepared.result.Base = 0
		prepared.result.PublishID = request.ID(0)
		prepared.record = &plan.Recovery{
			PublishID: prepared.result.PublishID,
			Author:    request.Author,
			Digest:    prepared.result.Digest,
			Plan:      prepared.target,
		}
		return prepared, nil
	}
	if request.Base != nil && *request.Base != version {
		return attempt{}, history.conflict(*request.Base, prepared.target)
	}
	if version > 0 && digest == prepared.result.Digest {
		prepared.result.Version = version
		prepared.result.Current = version
		prepared.result.PublishID = history.winner(version).PublishID
		prepared.result.Outcome = Unchanged
		return prepared, nil
	}
	prepared.record = &plan.Publication{
		PublishID: prepared.result.PublishID,
		Base:      version,
		Author:    request.Author,
		Change:    prepared.result.Change,
		Digest:    prepared.result.Digest,
	}
	return prepared, nil
}

// checkSnapshot refuses a plan that fits the log as a change, but whose
// snapshot would not: it would be lost when the change is trimmed.
func checkSnapshot(target *plan.Plan, request *Request) error {
	_, err := plan.Encode(&plan.Snapshot{
		Version:   math.MaxInt64 - 1,
		ReadUpTo:  math.MaxInt64,
		PublishID: request.ID(math.MaxInt64),
		Author:    request.Author,
		Writer:    strings.Repeat("x", plan.MaxAuthorBytes),
		Digest:    plan.DigestOf(target),
		Plan:      target,
	})
	if err != nil {
		return eris.Wrap(ErrTooLarge, err.Error())
	}
	return nil
}

func (history *History) conflict(base int64, target *plan.Plan) *ConflictError {
	version, _, content, _ := history.Current()
	return &ConflictError{
		Base:   base,
		Winner: history.winner(version),
		Change: plan.Diff(content, target),
	}
}

// send appends the record until its fate is known. A repeated append has the
// same publish ID and base, so that at most one of them can win.
func (publisher *Publisher) send(ctx context.Context, history *History, attempt attempt) (Result, error) {
	data, err := plan.Encode(attempt.record)
	if err != nil {
		return Result{}, eris.Wrap(err, "encode the publication")
	}
	var failure error
	inDoubt := false
	for wait := firstPause; ; wait = min(2*wait, maxPause) {
		_, err = publisher.log.Append(ctx, publisher.stream, data)
		if errors.Is(err, platform.ErrRefused) && !inDoubt {
			return Result{}, err
		}
		if err == nil || errors.Is(err, platform.ErrAppendUnknown) {
			inDoubt = true
		}
		failure = err
		if inDoubt {
			result, settled, err := publisher.settle(ctx, history, attempt)
			if settled {
				return result, err
			}
			if err != nil {
				failure = err
			}
		}
		if !pause(ctx, rand.N(wait)) {
			return Result{}, unsettled(inDoubt, attempt.result, failure)
		}
	}
}

func unsettled(inDoubt bool, result Result, failure error) error {
	cause := "no answer"
	if failure != nil {
		cause = failure.Error()
	}
	if !inDoubt {
		return eris.Wrap(ErrLogUnavailable, cause)
	}
	return eris.Wrapf(ErrUnknown, "%s; repeat the command with --base %d to settle it (publish ID %s)",
		cause, result.Base, result.PublishID)
}

// settle reads the log to its end and looks for the publication. settled is
// false where it is not there, but its base is still current.
func (publisher *Publisher) settle(ctx context.Context, history *History, attempt attempt) (result Result, settled bool, err error) {
	err = history.ReadToEnd(ctx)
	if err != nil {
		return Result{}, false, err
	}
	for _, entry := range slices.Backward(history.Entries()) {
		if entry.PublishID != attempt.result.PublishID || entry.Record == recordSnapshot || entry.Verdict == Repeated {
			continue
		}
		switch {
		case entry.Verdict == Adopted:
			version, _, _, _ := history.Current()
			result = attempt.result
			result.Version = entry.Offset
			result.Current = version
			return result, true, nil
		case entry.Verdict == Invalid && entry.Base == attempt.result.Base:
			return Result{}, true, eris.Wrap(ErrRejected, entry.Detail)
		}
	}
	version, _, _, synced := history.Current()
	_, recovery := attempt.record.(*plan.Recovery)
	if synced && !recovery && version != attempt.result.Base {
		return Result{}, true, history.conflict(attempt.result.Base, attempt.target)
	}
	return Result{}, false, nil
}

// Guards returns the names of the guards that a plan switches.
func Guards() []string {
	return []string{"admission", "retry-budget", "ejection", "occupancy-check"}
}

// guards returns the guards after the request.
func (request *Request) guards(guards plan.Guards) (plan.Guards, error) {
	for _, change := range []struct {
		names    []string
		disabled bool
	}{
		{names: request.EnableGuards},
		{
			names:    request.DisableGuards,
			disabled: true,
		},
	} {
		for _, name := range change.names {
			guard := guardOf(&guards, name)
			if guard == nil {
				return plan.Guards{}, eris.Wrapf(ErrGuard, "%q, allowed are %s", name, strings.Join(Guards(), ", "))
			}
			*guard = change.disabled
		}
	}
	return guards, nil
}

func guardOf(guards *plan.Guards, name string) *bool {
	switch name {
	case "admission":
		return &guards.NoAdmission
	case "retry-budget":
		return &guards.NoRetryBudget
	case "ejection":
		return &guards.NoEjection
	case "occupancy-check":
		return &guards.NoOccupancyCheck
	default:
		return nil
	}
}
