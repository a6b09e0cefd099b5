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
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// derivedPublishIDBytes is the length of a derived publish ID before it is
	// written in hexadecimal digits.
	derivedPublishIDBytes = 16
)

// The errors of Publish, besides *ConflictError and *ReplacedError.
var (
	// ErrLogUnavailable means that nothing was published, and that the same
	// command can be repeated.
	ErrLogUnavailable = eris.New("the log is unavailable; nothing was published, and the command can be repeated")
	// ErrOutcomeUnknown means that the publication may have been accepted.
	ErrOutcomeUnknown = eris.New("the outcome is unknown: the plan may have been accepted")
	// ErrBaseUnknown means that the log's retained records don't tell the current
	// version.
	ErrBaseUnknown = eris.New("the log's retained records don't tell the current version: wait for a snapshot by an entry VM, " +
		"or use --recover if no VM has a plan any more")
	// ErrUnknownGuard means that a guard's name is unknown.
	ErrUnknownGuard = eris.New("unknown guard")
	// ErrTooLarge means that a VM could not write the plan's snapshot.
	ErrTooLarge = eris.New("the plan is too large for one record of the log")
	// ErrInvalidRecord means that readers refuse the record.
	ErrInvalidRecord = eris.New("the record is invalid for its readers")
)

// VersionInfo names a version that stands in the way of a publication.
type VersionInfo struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish-id"`
	Author    string `json:"author"`
}

// ConflictError means that another publication was accepted on the base.
// Nothing of this publication is in force, nor will it ever be.
type ConflictError struct {
	Base    int64
	Current VersionInfo
	// Change leads from the winner's plan to the plan that was refused.
	Change plan.Change
}

// Error names the winner.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("conflict: base %d is not current; version %d of %s (publish ID %s) is",
		conflict.Base, conflict.Current.Version, authorOrUnknown(conflict.Current.Author), conflict.Current.PublishID)
}

// ReplacedError means that an earlier run of the same command was accepted and
// then replaced by somebody else's publication.
type ReplacedError struct {
	Version int64
	Current VersionInfo
	Change  plan.Change
}

// Error names both versions and the way on.
func (replaced *ReplacedError) Error() string {
	return fmt.Sprintf("this sheet was accepted as version %d and replaced by version %d of %s; to publish it again, use --base %d",
		replaced.Version, replaced.Current.Version, authorOrUnknown(replaced.Current.Author), replaced.Current.Version)
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
	Outcome PublishOutcome `json:"outcome"`
	// CurrentVersion is the current version, which is higher than Version where the
	// plan was replaced since.
	CurrentVersion int64 `json:"current-version"`
	// Kept lists rules of the base that hold until a row of the sheet does.
	Kept   []plan.Rule `json:"kept,omitempty"`
	Change plan.Change `json:"change"`
}

// PublishOutcome is how a publication ended well.
type PublishOutcome string

// The outcomes.
const (
	// Accepted: this run's record won.
	Accepted PublishOutcome = "accepted"
	// AlreadyAccepted: an earlier run's record had won.
	AlreadyAccepted PublishOutcome = "already-accepted"
	// Unchanged: the sheet says what is in force; nothing was published.
	Unchanged PublishOutcome = "unchanged"
)

// publishIDFor returns the publish ID of a request on a base: the same for each run of
// the same command, so that a repeated command can't be accepted twice.
func (request *Request) publishIDFor(base int64) string {
	if request.PublishID != "" {
		return request.PublishID
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s %q %q %q %t",
		base, plan.DigestOf(request.Sheet), request.Author, request.EnableGuards, request.DisableGuards, request.Recover))
	return hex.EncodeToString(sum[:derivedPublishIDBytes])
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
	history, err := publisher.readHistory(ctx)
	if err != nil {
		return Result{}, eris.Wrap(ErrLogUnavailable, err.Error())
	}
	accepted, found := request.findAccepted(history)
	if found {
		return request.alreadyAccepted(history, accepted)
	}
	attempt, err := request.prepare(history)
	if err != nil {
		return Result{}, err
	}
	if attempt.record == nil {
		return attempt.result, nil
	}
	return publisher.appendUntilDecided(ctx, history, attempt)
}

// readHistory reads the log to its end, again and again until ctx ends.
func (publisher *Publisher) readHistory(ctx context.Context) (*History, error) {
	history := NewHistory(publisher.log, publisher.stream)
	return history, retryUnlessRefused(ctx, func() error {
		return history.ReadToEnd(ctx)
	})
}

// retryUnlessRefused repeats a call while the platform is unavailable.
func retryUnlessRefused(ctx context.Context, call func() error) error {
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := call()
		if err == nil || errors.Is(err, platform.ErrRefused) {
			return err
		}
		if !sleep(ctx, rand.N(backoff)) {
			return err
		}
	}
}

func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// findAccepted finds a record of an earlier run of the same command that won.
func (request *Request) findAccepted(history *History) (Entry, bool) {
	for _, entry := range slices.Backward(history.Entries()) {
		requestBase := entry.Base
		if request.Base != nil {
			requestBase = *request.Base
		}
		if entry.Outcome == Adopted && entry.PublishID == request.publishIDFor(requestBase) {
			return entry, true
		}
	}
	return Entry{}, false
}

// alreadyAccepted ends a request whose earlier run won.
func (request *Request) alreadyAccepted(history *History, accepted Entry) (Result, error) {
	version, _, content, _ := history.Current()
	if version != accepted.Offset && request.Base == nil {
		return Result{}, &ReplacedError{
			Version: accepted.Offset,
			Current: history.versionInfo(version),
			Change:  plan.Diff(content, request.Sheet),
		}
	}
	return Result{
		Version:        accepted.Offset,
		Digest:         accepted.Digest,
		PublishID:      accepted.PublishID,
		Base:           accepted.Base,
		Outcome:        AlreadyAccepted,
		CurrentVersion: version,
	}, nil
}

func (history *History) versionInfo(version int64) VersionInfo {
	entry := history.entries[version]
	if entry == nil {
		return VersionInfo{
			Version: version,
		}
	}
	return VersionInfo{
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
		return attempt{}, ErrBaseUnknown
	}
	target, kept := plan.CarryOver(content, request.Sheet, time.Now())
	guards, err := request.applyGuards(content.Guards)
	if err != nil {
		return attempt{}, err
	}
	newPlan := *target
	newPlan.Guards = guards
	err = checkSnapshotSize(&newPlan, request)
	if err != nil {
		return attempt{}, err
	}
	prepared := attempt{
		target: &newPlan,
		result: Result{
			Digest:    plan.DigestOf(&newPlan),
			PublishID: request.publishIDFor(version),
			Base:      version,
			Outcome:   Accepted,
			Kept:      kept,
			Change:    plan.Diff(content, &newPlan),
		},
	}
	if request.Recover {
		prepared.result.Base = 0
		prepared.result.PublishID = request.publishIDFor(0)
		prepared.record = &plan.Recovery{
			PublishID: prepared.result.PublishID,
			Author:    request.Author,
			Digest:    prepared.result.Digest,
			Plan:      prepared.target,
		}
		return prepared, nil
	}
	if request.Base != nil && *request.Base != version {
		return attempt{}, history.newConflictError(*request.Base, prepared.target)
	}
	if version > 0 && digest == prepared.result.Digest {
		prepared.result.Version = version
		prepared.result.CurrentVersion = version
		prepared.result.PublishID = history.versionInfo(version).PublishID
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

// checkSnapshotSize refuses a plan that fits the log as a change, but whose
// snapshot would not: it would be lost when the change is trimmed.
func checkSnapshotSize(target *plan.Plan, request *Request) error {
	_, err := plan.Encode(&plan.Snapshot{
		Version:   math.MaxInt64 - 1,
		ReadUpTo:  math.MaxInt64,
		PublishID: request.publishIDFor(math.MaxInt64),
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

func (history *History) newConflictError(base int64, target *plan.Plan) *ConflictError {
	version, _, content, _ := history.Current()
	return &ConflictError{
		Base:    base,
		Current: history.versionInfo(version),
		Change:  plan.Diff(content, target),
	}
}

// appendUntilDecided appends the record until its fate is known. A repeated append has the
// same publish ID and base, so that at most one of them can win.
func (publisher *Publisher) appendUntilDecided(ctx context.Context, history *History, attempt attempt) (Result, error) {
	data, err := plan.Encode(attempt.record)
	if err != nil {
		return Result{}, eris.Wrap(err, "encode the publication")
	}
	var lastErr error
	mayBeAppended := false
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		_, err = publisher.log.Append(ctx, publisher.stream, data)
		if errors.Is(err, platform.ErrRefused) && !mayBeAppended {
			return Result{}, err
		}
		if err == nil || errors.Is(err, platform.ErrAppendUnknown) {
			mayBeAppended = true
		}
		lastErr = err
		if mayBeAppended {
			result, decided, err := publisher.findOutcome(ctx, history, attempt)
			if decided {
				return result, err
			}
			if err != nil {
				lastErr = err
			}
		}
		if !sleep(ctx, rand.N(backoff)) {
			return Result{}, undecidedError(mayBeAppended, attempt.result, lastErr)
		}
	}
}

func undecidedError(mayBeAppended bool, result Result, lastErr error) error {
	cause := "no answer"
	if lastErr != nil {
		cause = lastErr.Error()
	}
	if !mayBeAppended {
		return eris.Wrap(ErrLogUnavailable, cause)
	}
	return eris.Wrapf(ErrOutcomeUnknown, "%s; repeat the command with --base %d to settle it (publish ID %s)",
		cause, result.Base, result.PublishID)
}

// findOutcome reads the log to its end and looks for the publication. settled is
// false where it is not there, but its base is still current.
func (publisher *Publisher) findOutcome(ctx context.Context, history *History, attempt attempt) (result Result, decided bool, err error) {
	err = history.ReadToEnd(ctx)
	if err != nil {
		return Result{}, false, err
	}
	for _, entry := range slices.Backward(history.Entries()) {
		if entry.PublishID != attempt.result.PublishID || entry.RecordType == recordSnapshot || entry.Outcome == Repeated {
			continue
		}
		switch {
		case entry.Outcome == Adopted:
			version, _, _, _ := history.Current()
			result = attempt.result
			result.Version = entry.Offset
			result.CurrentVersion = version
			return result, true, nil
		case entry.Outcome == Invalid && entry.Base == attempt.result.Base:
			return Result{}, true, eris.Wrap(ErrInvalidRecord, entry.Detail)
		}
	}
	version, _, _, synced := history.Current()
	_, recovery := attempt.record.(*plan.Recovery)
	if synced && !recovery && version != attempt.result.Base {
		return Result{}, true, history.newConflictError(attempt.result.Base, attempt.target)
	}
	return Result{}, false, nil
}

// GuardNames returns the names of the guards that a plan switches.
func GuardNames() []string {
	return []string{"admission", "retry-budget", "ejection", "occupancy-check"}
}

// applyGuards returns the guards after the request.
func (request *Request) applyGuards(guards plan.Guards) (plan.Guards, error) {
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
			guard := guardSwitch(&guards, name)
			if guard == nil {
				return plan.Guards{}, eris.Wrapf(ErrUnknownGuard, "%q, allowed are %s", name, strings.Join(GuardNames(), ", "))
			}
			*guard = change.disabled
		}
	}
	return guards, nil
}

func guardSwitch(guards *plan.Guards, name string) *bool {
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
