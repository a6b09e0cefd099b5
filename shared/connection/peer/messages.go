package peer

import (
	"encoding/json"

	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
)

// The messages and their handlers.
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

// ForwardRequest carries a submission to its owner. The response is held
// until the job ends.
type ForwardRequest struct {
	SubmissionID string          `cbor:"1,keyasint"`
	Job          json.RawMessage `cbor:"2,keyasint"`
	// FirstAttempt tells that the client sends this submission for the first
	// time.
	FirstAttempt bool `cbor:"3,keyasint,omitempty"`
	// Hops counts the forwards so far. Only an entry VM that follows a
	// redirect forwards a forwarded submission.
	Hops int `cbor:"4,keyasint,omitempty"`
}

// ForwardResponse carries the whole answer.
type ForwardResponse struct {
	Answer job.Answer `cbor:"1,keyasint"`
}

// SubmissionState is what the owner knows of an ID.
type SubmissionState string

// The states on the wire.
const (
	StateUnspent  SubmissionState = "unspent"
	StateRunning  SubmissionState = "running"
	StateAnswered SubmissionState = "answered"
	StateEvicted  SubmissionState = "gone"
	StateExpired  SubmissionState = "expired"
	// StateNotHeld means that the receiver does not hold the ID's incarnation.
	StateNotHeld SubmissionState = "foreign"
)

// LookupRequest asks what became of an ID and spends nothing.
type LookupRequest struct {
	SubmissionID string `cbor:"1,keyasint"`
	Hops         int    `cbor:"2,keyasint,omitempty"`
}

// LookupResponse tells what became of the ID. Answer is set if State is
// StateAnswered.
type LookupResponse struct {
	State  SubmissionState `cbor:"1,keyasint"`
	Answer *job.Answer     `cbor:"2,keyasint,omitempty"`
}

// CancelRequest asks the owner to stop a job.
type CancelRequest struct {
	SubmissionID string `cbor:"1,keyasint"`
	Hops         int    `cbor:"2,keyasint,omitempty"`
}

// CancelResponse tells the state that the cancel found.
type CancelResponse struct {
	State SubmissionState `cbor:"1,keyasint"`
}

// Drain names a leaving upstream, as told by the upstream itself.
type Drain struct {
	Upstream string `cbor:"1,keyasint"`
	// ListVersion is the version of the VM list that the sender knew when the
	// signal came. The receiver ignores the signal if the upstream appeared in
	// the list later, because a new worker then uses the address.
	ListVersion int64 `cbor:"2,keyasint,omitempty"`
}

// Redirect tells that the successor holds the submissions of an incarnation
// that stopped as planned.
type Redirect struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Successor is the incarnation that holds the submissions now.
	Successor uint64 `cbor:"2,keyasint"`
	// Address is the peer address of the successor.
	Address string `cbor:"3,keyasint"`
	// ExpiryUnix is the time in Unix seconds after which no ID of the
	// incarnation can be asked for any more.
	ExpiryUnix int64 `cbor:"4,keyasint"`
}

// Load is what an entry VM tells about its slots.
type Load struct {
	// Slots counts the slots it owns, Used those that run tasks.
	Slots int `cbor:"1,keyasint,omitempty"`
	Used  int `cbor:"2,keyasint,omitempty"`
	// Lent counts the owned slots that peers use, Borrowed those of peers.
	Lent     int `cbor:"3,keyasint,omitempty"`
	Borrowed int `cbor:"4,keyasint,omitempty"`
	// Waiting counts the tasks that wait for a slot.
	Waiting int `cbor:"5,keyasint,omitempty"`
}

// QuotaCount is a number of slots of one quota.
type QuotaCount struct {
	// Quota is the hash of the capped rule's team, kind and failure domain.
	Quota uint32 `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint"`
}

// HeartbeatMessage is sent by both sides of an exchange.
type HeartbeatMessage struct {
	Address     string `cbor:"1,keyasint"`
	Domain      string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// StartedMs is the start of the incarnation in Unix ms. It orders the
	// incarnations of one address.
	StartedMs int64   `cbor:"4,keyasint"`
	Sequence  uint64  `cbor:"5,keyasint"`
	Size      float64 `cbor:"6,keyasint,omitempty"`
	// Leaving tells that the sender stops as planned and takes no new jobs.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Released tells that the sender owns no slots any more, or not yet.
	Released    bool   `cbor:"8,keyasint,omitempty"`
	PlanVersion int64  `cbor:"9,keyasint,omitempty"`
	PlanDigest  uint64 `cbor:"10,keyasint,omitempty"`
	// FleetDigest is the digest of the incarnations that the sender counts as
	// live in its domain.
	FleetDigest uint64 `cbor:"11,keyasint,omitempty"`
	// RedirectDigest is the digest of the redirects that the sender knows.
	// Redirects are sent to a peer only while its digest differs.
	RedirectDigest uint64     `cbor:"12,keyasint,omitempty"`
	Load           Load       `cbor:"13,keyasint"`
	Drains         []Drain    `cbor:"14,keyasint,omitempty"`
	Redirects      []Redirect `cbor:"15,keyasint,omitempty"`
	// WantedQuotas tells the quotas of which the sender is short, Spares what it
	// could lend of the quotas that peers are short of.
	WantedQuotas []QuotaCount `cbor:"16,keyasint,omitempty"`
	SpareQuotas  []QuotaCount `cbor:"17,keyasint,omitempty"`
}

// PullPlanRequest asks for the plan if it is newer than After.
type PullPlanRequest struct {
	AboveVersion int64 `cbor:"1,keyasint"`
}

// PullPlanResponse carries a plan snapshot, or nothing if the receiver knows
// no plan newer than asked for.
type PullPlanResponse struct {
	Version int64 `cbor:"1,keyasint,omitempty"`
	// ReadUpTo is the offset up to which the sender had read the log.
	ReadUpTo int64  `cbor:"2,keyasint,omitempty"`
	Snapshot []byte `cbor:"3,keyasint,omitempty"`
}

// BorrowSlotsRequest asks for up to Slots slots.
type BorrowSlotsRequest struct {
	Borrower    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// RequestNumber numbers the borrower's requests; a repeated number is answered
	// with the same grant.
	RequestNumber uint64 `cbor:"3,keyasint"`
	Slots         int    `cbor:"4,keyasint"`
	// Need bounds the workers that are of use.
	Cores        int `cbor:"5,keyasint,omitempty"`
	MemoryMb     int `cbor:"6,keyasint,omitempty"`
	Accelerators int `cbor:"7,keyasint,omitempty"`
	// Quotas asks for shares of team caps, independent of Slots.
	Quotas []QuotaCount `cbor:"8,keyasint,omitempty"`
}

// SlotGrant is a number of slots on one worker.
type SlotGrant struct {
	Upstream placement.Upstream `cbor:"1,keyasint"`
	Slots    int                `cbor:"2,keyasint"`
}

// BorrowSlotsResponse lends slots until LeaseMs after the borrower sent the
// request.
type BorrowSlotsResponse struct {
	Loan    uint64      `cbor:"1,keyasint"`
	LeaseMs int64       `cbor:"2,keyasint"`
	Grants  []SlotGrant `cbor:"3,keyasint,omitempty"`
	// Quotas holds the shares of team caps that are lent.
	Quotas []QuotaCount `cbor:"4,keyasint,omitempty"`
}

// ReturnedSlots is a number of slots on one worker.
type ReturnedSlots struct {
	Upstream string `cbor:"1,keyasint"`
	Slots    int    `cbor:"2,keyasint"`
}

// ReturnSlotsRequest gives slots of a loan back. A loan is over when all of
// its slots are back or its lease ended.
type ReturnSlotsRequest struct {
	Borrower      string          `cbor:"1,keyasint"`
	Incarnation   uint64          `cbor:"2,keyasint"`
	Loan          uint64          `cbor:"3,keyasint"`
	RequestNumber uint64          `cbor:"4,keyasint"`
	Slots         []ReturnedSlots `cbor:"5,keyasint,omitempty"`
	Quotas        []QuotaCount    `cbor:"6,keyasint,omitempty"`
}

// ReturnSlotsResponse confirms a return.
type ReturnSlotsResponse struct{}

// RecallSlotsRequest asks a borrower to return a loan as its tasks end and to
// start nothing more on it.
type RecallSlotsRequest struct {
	Lender string `cbor:"1,keyasint"`
	Loan   uint64 `cbor:"2,keyasint"`
}

// RecallSlotsResponse confirms a recall.
type RecallSlotsResponse struct{}

// HandOverBeginRequest opens a hand-over.
type HandOverBeginRequest struct {
	Transfer uint64 `cbor:"1,keyasint"`
	// Predecessor is the incarnation that hands over, at Address.
	Predecessor        uint64 `cbor:"2,keyasint"`
	PredecessorAddress string `cbor:"3,keyasint"`
	// PieceCount is the number of pieces that will follow.
	PieceCount int `cbor:"4,keyasint"`
}

// HandOverPieceRequest carries one piece of the ledger.
type HandOverPieceRequest struct {
	Transfer    uint64           `cbor:"1,keyasint"`
	Predecessor uint64           `cbor:"2,keyasint"`
	Index       int              `cbor:"3,keyasint"`
	Piece       submission.Piece `cbor:"4,keyasint"`
}

// HandOverCommitRequest makes the receiver the owner of everything in the
// pieces.
type HandOverCommitRequest struct {
	Transfer    uint64 `cbor:"1,keyasint"`
	Predecessor uint64 `cbor:"2,keyasint"`
	PieceCount  int    `cbor:"3,keyasint"`
	// Successor is the incarnation that has the pieces. Any other refuses.
	Successor uint64 `cbor:"4,keyasint"`
}

// HandOverResponse is the answer to each message of a hand-over.
type HandOverResponse struct {
	// Accepted is false where the receiver can't take the ledger.
	Accepted bool `cbor:"1,keyasint"`
	// Successor is the receiver's incarnation.
	Successor uint64 `cbor:"2,keyasint"`
}

// RedirectRequest announces redirects at once, ahead of the next heartbeat.
type RedirectRequest struct {
	Redirects []Redirect `cbor:"1,keyasint"`
}

// RedirectResponse confirms an announcement.
type RedirectResponse struct{}
