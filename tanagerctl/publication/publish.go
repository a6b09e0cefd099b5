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
	// The delay before a retry is random, up to a limit that doubles from
	// firstBackoff to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// derivedPublishIDBytes is the size of a derived publish ID before its
	// encoding in hexadecimal digits.
	derivedPublishIDBytes = 16
)

// The errors of Publish, besides *ConflictError and *ReplacedError.
var (
	// ErrLogUnavailable means that the log could not be read, or that no append
	// reached it before the context ended. Nothing was published, and the same
	// command can be repeated.
	ErrLogUnavailable = eris.New("the log is unavailable; nothing was published, and the command can be repeated")
	// ErrOutcomeUnknown means that the record may have been appended, and that
	// the context ended before the log could be read to find out.
	ErrOutcomeUnknown = eris.New("the outcome is unknown: the plan may have been accepted")
	// ErrBaseUnknown means that the current version is unknown, because the log
	// has trimmed records and holds no snapshot that replaces them.
	ErrBaseUnknown = eris.New("the log's retained records don't tell the current version: wait for a snapshot by an entry VM, " +
		"or use --recover if no VM has a plan any more")
	// ErrUnknownGuard means that a request names a guard that doesn't exist.
	ErrUnknownGuard = eris.New("unknown guard")
	// ErrTooLarge means that a snapshot of the plan would exceed the maximum
	// size of a record, so that no entry VM could write one.
	ErrTooLarge = eris.New("the plan is too large for one record of the log")
	// ErrInvalidRecord means that the record was appended and that the readers
	// of the log reject it.
	ErrInvalidRecord = eris.New("the readers of the log reject the record as invalid")
)

// VersionInfo identifies a version and the publication that set it. PublishID
// and Author are empty if they are unknown.
type VersionInfo struct {
	Version   int64  `json:"version"`
	PublishID string `json:"publish-id"`
	Author    string `json:"author"`
}

// ConflictError means that the base of the publication is not the current
// version, because another publication replaced it. Nothing of this publication
// is in force or will come into force.
type ConflictError struct {
	// Base is the version on which the publication was based.
	Base int64
	// Current is the version that is current instead.
	Current VersionInfo
	// Change leads from the current plan to the plan that was rejected.
	Change plan.Change
}

// Error names the base and the current version.
func (conflictError *ConflictError) Error() string {
	return fmt.Sprintf("conflict: base %d is not current; version %d of %s (publish ID %s) is",
		conflictError.Base, conflictError.Current.Version, authorOrUnknown(conflictError.Current.Author), conflictError.Current.PublishID)
}

// ReplacedError means that an earlier run of the same command was accepted, and
// that another publication has replaced its plan since.
type ReplacedError struct {
	// Version is the version that the earlier run published.
	Version int64
	// Current is the version that is current now.
	Current VersionInfo
	// Change leads from the current plan to the plan of the sheet.
	Change plan.Change
}

// Error names both versions and how to publish the sheet again.
func (replacedError *ReplacedError) Error() string {
	return fmt.Sprintf("this sheet was accepted as version %d and replaced by version %d of %s; to publish it again, use --base %d",
		replacedError.Version, replacedError.Current.Version, authorOrUnknown(replacedError.Current.Author), replacedError.Current.Version)
}

// Request describes a publication.
type Request struct {
	// Sheet is the plan that was parsed from the operator's spreadsheet (see
	// package sheet). A spreadsheet has no columns for guards.
	Sheet *plan.Plan
	// Base is the version on which the sheet is based; nil means the current
	// one.
	Base *int64
	// PublishID identifies the publication. If it is empty, an ID is derived
	// from the other fields.
	PublishID string
	// Author is the name of the operator.
	Author string
	// EnableGuards and DisableGuards name the guards to switch, as listed by
	// GuardNames. The other guards keep their state.
	EnableGuards  []string
	DisableGuards []string
	// Evacuated replaces the evacuated failure domains. If it is nil, those of the current
	// plan stay evacuated that Sheet lists.
	Evacuated *plan.Domains
	// Recover publishes without a base, so that the plan is adopted whatever
	// the current version is.
	Recover bool
}

// Result describes a request that succeeded.
type Result struct {
	// Version is the version that has the plan of the sheet, and Digest the
	// digest of that plan.
	Version int64       `json:"version"`
	Digest  plan.Digest `json:"digest"`
	// PublishID identifies the publication that set Version.
	PublishID string `json:"publish-id"`
	// Base is the version on which the request is based, 0 for a recovery.
	Base    int64          `json:"base"`
	Outcome PublishOutcome `json:"outcome"`
	// CurrentVersion is higher than Version if the plan was replaced since.
	CurrentVersion int64 `json:"current-version"`
	// Kept lists the rules of the base that stay in force until a row of the
	// sheet comes into force.
	Kept []plan.Rule `json:"kept,omitempty"`
	// Change leads from the plan of the base to the published plan. Kept and
	// Change are empty for AlreadyAccepted.
	Change plan.Change `json:"change"`
}

// PublishOutcome says how a request succeeded.
type PublishOutcome string

// The outcomes of requests.
const (
	// Accepted means that the record of this run was adopted.
	Accepted PublishOutcome = "accepted"
	// AlreadyAccepted means that the record of an earlier run of the same
	// command was adopted.
	AlreadyAccepted PublishOutcome = "already-accepted"
	// Unchanged means that the current plan equals the sheet. Nothing was
	// published.
	Unchanged PublishOutcome = "unchanged"
)

// publishIDFor returns the publish ID of the request on a base. It is the same
// for every run of the same command, so that a repeated command can't be accepted
// twice.
func (request *Request) publishIDFor(base int64) string {
	if request.PublishID != "" {
		return request.PublishID
	}
	identity := fmt.Appendf(nil, "%d %s %q %q %q %t",
		base, plan.DigestOf(request.Sheet), request.Author, request.EnableGuards, request.DisableGuards, request.Recover)
	if request.Evacuated != nil {
		identity = fmt.Appendf(identity, " %q", *request.Evacuated)
	}
	sum := sha256.Sum256(identity)
	return hex.EncodeToString(sum[:derivedPublishIDBytes])
}

// Publisher publishes plans in a stream of the log.
type Publisher struct {
	log    Log
	stream string
}

// NewPublisher returns a Publisher that appends to stream.
func NewPublisher(log Log, stream string) *Publisher {
	return &Publisher{
		log:    log,
		stream: stream,
	}
}

// Publish appends a publication and reads the log to find out whether it was
// adopted. The outcome Accepted means that the record was read from the log as
// the one adopted on its base. Failed calls of the log are retried until ctx
// ends. The errors are *ConflictError and *ReplacedError, or wrap
// ErrLogUnavailable, ErrOutcomeUnknown, ErrBaseUnknown, ErrInvalidRecord,
// ErrUnknownGuard, ErrTooLarge or ErrRefused of package platform.
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

// readHistory reads the log to its end and retries until ctx ends.
func (publisher *Publisher) readHistory(ctx context.Context) (*History, error) {
	history := NewHistory(publisher.log, publisher.stream)
	return history, retryUnlessRefused(ctx, func() error {
		return history.ReadToEnd(ctx)
	})
}

// retryUnlessRefused repeats call with backoff until it succeeds, the platform
// refuses the request, or ctx ends. It returns the last error.
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

// sleep waits for duration and returns false if ctx ends first.
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

// findAccepted returns the adopted record of an earlier run of the same command,
// if there is one.
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

// alreadyAccepted returns the result of a request whose earlier run was accepted.
// If the plan was replaced since and the request names no base, it returns a
// *ReplacedError.
func (request *Request) alreadyAccepted(history *History, accepted Entry) (Result, error) {
	version, _, currentPlan, _ := history.Current()
	if version != accepted.Offset && request.Base == nil {
		return Result{}, &ReplacedError{
			Version: accepted.Offset,
			Current: history.versionInfo(version),
			Change:  plan.Diff(currentPlan, request.Sheet),
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

// versionInfo identifies a version; only the number is set if the version has no
// entry.
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

// attempt is a record to append, the plan that it publishes, and the result if it
// is adopted. record is nil if there is nothing to publish.
type attempt struct {
	record plan.Record
	target *plan.Plan
	result Result
}

// prepare builds the record of the request on the current version. It returns a
// *ConflictError if the request names another base.
func (request *Request) prepare(history *History) (attempt, error) {
	version, digest, currentPlan, synced := history.Current()
	if !synced && !request.Recover {
		return attempt{}, ErrBaseUnknown
	}
	target, kept := plan.CarryOver(currentPlan, request.Sheet, time.Now())
	guards, err := request.applyGuards(currentPlan.Guards)
	if err != nil {
		return attempt{}, err
	}
	newPlan := *target
	newPlan.Guards = guards
	newPlan.Evacuated = keptEvacuations(currentPlan, target)
	if request.Evacuated != nil {
		newPlan.Evacuated = *request.Evacuated
	}
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
			Change:    plan.Diff(currentPlan, &newPlan),
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

// checkSnapshotSize returns ErrTooLarge if no entry VM could write a snapshot of
// the plan in one record. Such a plan may still fit as a change of its base, but
// would be lost as soon as the log trims that change. Numbers and writer of the
// snapshot have their maximum size here.
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

// newConflictError describes the conflict of a publication of target on base with
// the current version.
func (history *History) newConflictError(base int64, target *plan.Plan) *ConflictError {
	version, _, currentPlan, _ := history.Current()
	return &ConflictError{
		Base:    base,
		Current: history.versionInfo(version),
		Change:  plan.Diff(currentPlan, target),
	}
}

// appendUntilDecided appends the record, and repeats the append until the log
// shows whether the record was adopted or ctx ends. All appends have the same
// publish ID and base, so that at most one of them is adopted.
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

// undecidedError returns the error of an attempt whose context ended:
// ErrOutcomeUnknown if the record may have been appended, and otherwise
// ErrLogUnavailable.
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

// findOutcome reads the log to its end and searches it for the attempt's record.
// decided is false if the record is missing and may still be adopted, because its
// base is current, it needs no base, or other records are missing too.
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

// keptEvacuations returns the failure domains that are evacuated by one plan and listed by
// the next.
func keptEvacuations(from, to *plan.Plan) plan.Domains {
	var kept plan.Domains
	for _, domain := range from.Evacuated {
		if slices.Contains(to.Domains, domain) {
			kept = append(kept, domain)
		}
	}
	return kept
}

// GuardNames returns the names of the guards that a Request can switch. A guard is
// a protection of the entry VMs that a plan can disable; plan.Guards describes each.
func GuardNames() []string {
	return []string{"admission", "retry-budget", "ejection", "occupancy-check"}
}

// applyGuards returns guards with the changes of the request. The error wraps
// ErrUnknownGuard.
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

// guardSwitch returns the field that disables the named guard, or nil if there is
// no such guard.
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
