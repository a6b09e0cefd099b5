package peer

import (
	"encoding/json"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// The methods of the protocol. Each is answered by the method of Handlers with
// the same name, AnnounceRedirect by Handlers.Redirect.
var (
	Forward          = NewMethod[ForwardRequest, ForwardResponse]("forward", LaneWork)
	Lookup           = NewMethod[LookupRequest, LookupResponse]("look", LaneControl)
	Cancel           = NewMethod[CancelRequest, CancelResponse]("cancel", LaneControl)
	Heartbeat        = NewMethod[HeartbeatMessage, HeartbeatMessage]("heartbeat", LaneControl)
	PullPlan         = NewMethod[PullPlanRequest, PullPlanResponse]("pull-plan", LaneControl)
	BorrowSlots      = NewMethod[BorrowSlotsRequest, BorrowSlotsResponse]("borrow-slots", LaneControl)
	ReturnSlots      = NewMethod[ReturnSlotsRequest, ReturnSlotsResponse]("return-slots", LaneControl)
	RecallSlots      = NewMethod[RecallSlotsRequest, RecallSlotsResponse]("recall-slots", LaneControl)
	HandOverBegin    = NewMethod[HandOverBeginRequest, HandOverResponse]("hand-over-begin", LaneControl)
	HandOverPiece    = NewMethod[HandOverPieceRequest, HandOverResponse]("hand-over-piece", LaneControl)
	HandOverCommit   = NewMethod[HandOverCommitRequest, HandOverResponse]("hand-over-commit", LaneControl)
	AnnounceRedirect = NewMethod[RedirectRequest, RedirectResponse]("redirect", LaneControl)
)

// ForwardRequest forwards a submission to the entry VM that owns it. The
// response is sent when the job ends.
type ForwardRequest struct {
	SubmissionID string          `cbor:"1,keyasint"`
	Job          json.RawMessage `cbor:"2,keyasint"`
	// FirstAttempt is set if the caller sends this submission for the first
	// time.
	FirstAttempt bool `cbor:"3,keyasint,omitempty"`
	// Hops counts the forwards so far. Only an entry VM that follows a
	// redirect forwards a submission that was already forwarded.
	Hops int `cbor:"4,keyasint,omitempty"`
}

// ForwardResponse carries the whole answer of the job.
type ForwardResponse struct {
	Answer job.Answer `cbor:"1,keyasint"`
}

// SubmissionState is the state of a submission ID at its owner.
type SubmissionState string

// The submission states on the wire.
const (
	// StateUnspent means that no job was submitted under the ID.
	StateUnspent SubmissionState = "unspent"
	// StateRunning means that the job is running.
	StateRunning SubmissionState = "running"
	// StateAnswered means that the job has an answer.
	StateAnswered SubmissionState = "answered"
	// StateEvicted means that the job ended and its answer was evicted.
	StateEvicted SubmissionState = "gone"
	// StateExpired means that the ID expired and the owner has no entry for it.
	StateExpired SubmissionState = "expired"
	// StateNotHeld means that the receiver does not hold the ID's incarnation.
	StateNotHeld SubmissionState = "foreign"
)

// LookupRequest queries the state of a submission ID without spending the ID.
type LookupRequest struct {
	SubmissionID string `cbor:"1,keyasint"`
	// Hops counts the forwards so far, see ForwardRequest.
	Hops int `cbor:"2,keyasint,omitempty"`
}

// LookupResponse carries the state of the submission ID. Answer is set if
// State is StateAnswered.
type LookupResponse struct {
	State  SubmissionState `cbor:"1,keyasint"`
	Answer *job.Answer     `cbor:"2,keyasint,omitempty"`
}

// CancelRequest requests that the owner of a job stop it.
type CancelRequest struct {
	SubmissionID string `cbor:"1,keyasint"`
	// Hops counts the forwards so far, see ForwardRequest.
	Hops int `cbor:"2,keyasint,omitempty"`
}

// CancelResponse carries the state in which the cancel found the submission.
type CancelResponse struct {
	State SubmissionState `cbor:"1,keyasint"`
}

// Drain reports that an upstream is leaving, which the upstream itself
// announced.
type Drain struct {
	Upstream string `cbor:"1,keyasint"`
	// ListVersion is the version of the VM list that the sender had when the
	// upstream announced it. The receiver ignores the report if the upstream
	// was added to the list later, because a new worker then uses the address.
	ListVersion int64 `cbor:"2,keyasint,omitempty"`
}

// Redirect announces which successor holds the submissions of an incarnation
// that handed over its ledger in a graceful shutdown.
type Redirect struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Successor is the incarnation that holds the submissions now.
	Successor uint64 `cbor:"2,keyasint"`
	// Address is the peer address of the successor.
	Address string `cbor:"3,keyasint"`
	// ExpiryUnix is the time in Unix seconds after which no submission ID of
	// the incarnation can be queried any more.
	ExpiryUnix int64 `cbor:"4,keyasint"`
}

// Load is the slot usage that an entry VM reports.
type Load struct {
	// Slots is the number of slots that the entry VM owns.
	Slots int `cbor:"1,keyasint,omitempty"`
	// Used is the number of slots that run tasks.
	Used int `cbor:"2,keyasint,omitempty"`
	// Lent is the number of owned slots that peers use.
	Lent int `cbor:"3,keyasint,omitempty"`
	// Borrowed is the number of slots of peers that the entry VM uses.
	Borrowed int `cbor:"4,keyasint,omitempty"`
	// Waiting is the number of tasks that wait for a slot.
	Waiting int `cbor:"5,keyasint,omitempty"`
}

// QuotaCount is a number of slots of one quota, which is the cap of a team for a
// kind and failure domain.
type QuotaCount struct {
	// Quota is the hash of the capped rule's team, kind and failure domain.
	Quota uint32 `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint"`
}

// HeartbeatMessage is the status of an entry VM. Both sides of a heartbeat
// send it: the caller as the request, the receiver as the response.
type HeartbeatMessage struct {
	// Address is the peer address of the sender.
	Address string `cbor:"1,keyasint"`
	// Domain is the failure domain of the sender.
	Domain      string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// StartedMs is the start of the incarnation in Unix ms. It orders the
	// incarnations of one address.
	StartedMs int64 `cbor:"4,keyasint"`
	// Sequence numbers the heartbeats of the incarnation. One that is not above
	// the last received is ignored.
	Sequence uint64 `cbor:"5,keyasint"`
	// Size is the declared relative size of the sender.
	Size float64 `cbor:"6,keyasint,omitempty"`
	// Leaving is set from the drain of a graceful shutdown on: the sender should
	// get no new jobs.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Released is set if the sender owns no slots, either not yet or no longer.
	Released bool `cbor:"8,keyasint,omitempty"`
	// PlanVersion and PlanDigest are those of the plan that the sender has.
	PlanVersion int64  `cbor:"9,keyasint,omitempty"`
	PlanDigest  uint64 `cbor:"10,keyasint,omitempty"`
	// FleetDigest is the digest of the incarnations that the sender considers
	// live in its failure domain.
	FleetDigest uint64 `cbor:"11,keyasint,omitempty"`
	// RedirectDigest is the digest of the redirects that the sender knows.
	// Redirects are sent to a peer only while its digest differs.
	RedirectDigest uint64     `cbor:"12,keyasint,omitempty"`
	Load           Load       `cbor:"13,keyasint"`
	Drains         []Drain    `cbor:"14,keyasint,omitempty"`
	Redirects      []Redirect `cbor:"15,keyasint,omitempty"`
	// WantedQuotas lists the slots that the sender lacks, by quota.
	WantedQuotas []QuotaCount `cbor:"16,keyasint,omitempty"`
	// SpareQuotas lists the slots that the sender can lend, by quota, for the
	// quotas of which peers lack slots.
	SpareQuotas []QuotaCount `cbor:"17,keyasint,omitempty"`
}

// PullPlanRequest requests the receiver's plan if its version is above
// AboveVersion.
type PullPlanRequest struct {
	AboveVersion int64 `cbor:"1,keyasint"`
}

// PullPlanResponse carries a plan snapshot. It is empty if the receiver has no
// plan above the requested version.
type PullPlanResponse struct {
	Version int64 `cbor:"1,keyasint,omitempty"`
	// ReadUpTo is the offset up to which the sender had read the log.
	ReadUpTo int64 `cbor:"2,keyasint,omitempty"`
	// Snapshot is an encoded plan.Snapshot.
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}

// BorrowSlotsRequest requests a loan of slots on workers and of shares of team
// caps.
type BorrowSlotsRequest struct {
	// Borrower is the peer address of the borrower.
	Borrower    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// RequestNumber numbers the requests of the borrower. A repeated number is
	// answered with the same grant.
	RequestNumber uint64 `cbor:"3,keyasint"`
	// Slots is the maximum number of slots to lend.
	Slots int `cbor:"4,keyasint"`
	// Cores, MemoryMb and Accelerators are what a worker must have for its
	// slots to be useful to the borrower.
	Cores        int `cbor:"5,keyasint,omitempty"`
	MemoryMb     int `cbor:"6,keyasint,omitempty"`
	Accelerators int `cbor:"7,keyasint,omitempty"`
	// Quotas lists the wanted shares of team caps, independent of Slots.
	Quotas []QuotaCount `cbor:"8,keyasint,omitempty"`
	// NoUpstreams is set if the borrower owns no upstream, as a leaving VM.
	NoUpstreams bool `cbor:"9,keyasint,omitempty"`
}

// SlotGrant is a number of lent slots on one worker.
type SlotGrant struct {
	Upstream placement.Upstream `cbor:"1,keyasint"`
	Slots    int                `cbor:"2,keyasint"`
}

// BorrowSlotsResponse grants a loan of slots and shares of team caps.
type BorrowSlotsResponse struct {
	// Loan is the lender's number of the loan.
	Loan uint64 `cbor:"1,keyasint"`
	// LeaseMs is the duration of the loan from the time at which the borrower
	// sent the request.
	LeaseMs int64       `cbor:"2,keyasint"`
	Grants  []SlotGrant `cbor:"3,keyasint,omitempty"`
	// Quotas lists the lent shares of team caps.
	Quotas []QuotaCount `cbor:"4,keyasint,omitempty"`
}

// ReturnedSlots is a number of returned slots on one worker.
type ReturnedSlots struct {
	Upstream string `cbor:"1,keyasint"`
	Slots    int    `cbor:"2,keyasint"`
}

// ReturnSlotsRequest returns slots and shares of a loan to the lender. A loan
// ends when all of its slots are returned or its lease expires.
type ReturnSlotsRequest struct {
	// Borrower is the peer address of the borrower.
	Borrower    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Loan        uint64 `cbor:"3,keyasint"`
	// RequestNumber numbers the returns of a loan. The lender ignores a return
	// whose number is not above that of an earlier one.
	RequestNumber uint64          `cbor:"4,keyasint"`
	Slots         []ReturnedSlots `cbor:"5,keyasint,omitempty"`
	Quotas        []QuotaCount    `cbor:"6,keyasint,omitempty"`
}

// ReturnSlotsResponse confirms a return.
type ReturnSlotsResponse struct{}

// RecallSlotsRequest requests that a borrower start no more tasks on a loan and
// return its slots as the running tasks end.
type RecallSlotsRequest struct {
	// Lender is the peer address of the lender.
	Lender string `cbor:"1,keyasint"`
	Loan   uint64 `cbor:"2,keyasint"`
}

// RecallSlotsResponse confirms a recall.
type RecallSlotsResponse struct{}

// HandOverBeginRequest begins a hand-over: an entry VM in a graceful shutdown,
// the predecessor, sends its submission ledger in pieces to another one, the
// successor.
type HandOverBeginRequest struct {
	// Transfer is the predecessor's number of the hand-over.
	Transfer uint64 `cbor:"1,keyasint"`
	// Predecessor is the incarnation that hands over its ledger.
	Predecessor uint64 `cbor:"2,keyasint"`
	// PredecessorAddress is the peer address of the predecessor.
	PredecessorAddress string `cbor:"3,keyasint"`
	// PieceCount is the number of pieces that will follow.
	PieceCount int `cbor:"4,keyasint"`
}

// HandOverPieceRequest carries one piece of the ledger.
type HandOverPieceRequest struct {
	Transfer    uint64 `cbor:"1,keyasint"`
	Predecessor uint64 `cbor:"2,keyasint"`
	// Index is the position of the piece, from 0 to PieceCount-1.
	Index int              `cbor:"3,keyasint"`
	Piece submission.Piece `cbor:"4,keyasint"`
}

// HandOverCommitRequest makes the receiver the owner of all submissions in the
// pieces.
type HandOverCommitRequest struct {
	Transfer    uint64 `cbor:"1,keyasint"`
	Predecessor uint64 `cbor:"2,keyasint"`
	PieceCount  int    `cbor:"3,keyasint"`
	// Successor is the incarnation that received the pieces. Any other
	// incarnation refuses the commit.
	Successor uint64 `cbor:"4,keyasint"`
}

// HandOverResponse is the response to each request of a hand-over.
type HandOverResponse struct {
	// Accepted is false if the receiver cannot take over the ledger.
	Accepted bool `cbor:"1,keyasint"`
	// Successor is the receiver's incarnation.
	Successor uint64 `cbor:"2,keyasint"`
}

// RedirectRequest announces redirects immediately, ahead of the next
// heartbeat.
type RedirectRequest struct {
	Redirects []Redirect `cbor:"1,keyasint"`
}

// RedirectResponse confirms an announcement.
type RedirectResponse struct{}
