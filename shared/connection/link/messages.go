package link

import (
	"time"

	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cancellation"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/evacuation"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

// Message is one message on a stream. It has the header fields From to
// SenderUptime, and exactly one of the others.
type Message struct {
	// From is the address of the sender, and Incarnation identifies its process.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`

	// Stream is the number of the stream, which counts the streams that the
	// sender has opened. Links sets it.
	Stream uint64 `cbor:"16,keyasint,omitempty"`
	// SenderUptime is the time from the creation of the sender's Links, at the
	// start of its process, to the call of Send. Links sets it.
	SenderUptime time.Duration `cbor:"17,keyasint,omitempty"`

	Heartbeat *region.Heartbeat `cbor:"3,keyasint,omitempty"`
	// Submit is a job that an entry VM submits to the scheduler.
	Submit   *cell.Job `cbor:"4,keyasint,omitempty"`
	Withdraw *Withdraw `cbor:"5,keyasint,omitempty"`
	// Answer is the scheduler's answer to a submitted job.
	Answer    *cell.Answer `cbor:"6,keyasint,omitempty"`
	Decline   *Decline     `cbor:"7,keyasint,omitempty"`
	Cancel    *Cancel      `cbor:"8,keyasint,omitempty"`
	Cancelled *Cancelled   `cbor:"9,keyasint,omitempty"`
	// Routes is the routing table, sent to a peer that has an older one.
	Routes    *routing.Table `cbor:"10,keyasint,omitempty"`
	Upstreams *UpstreamList  `cbor:"11,keyasint,omitempty"`
	Released  *Released      `cbor:"13,keyasint,omitempty"`
	Orders    *OrderBatch    `cbor:"14,keyasint,omitempty"`
	Replies   *ReplyBatch    `cbor:"15,keyasint,omitempty"`
	Cells     *CellStates    `cbor:"18,keyasint,omitempty"`
	Dropped   *Dropped       `cbor:"19,keyasint,omitempty"`
	// Leaving is sent to a process that has started.
	Leaving *LeavingUpstreams `cbor:"20,keyasint,omitempty"`
	// Evacuations is sent to a peer that has an older snapshot.
	Evacuations *evacuation.Snapshot `cbor:"21,keyasint,omitempty"`
	// Estimates is what a scheduler has learned, sent to those that may follow it.
	// Earlier versions sent speeds only, with the number 12.
	Estimates *estimate.Digest `cbor:"30,keyasint,omitempty"`
	// Cancellations is sent to all peers when jobs are cancelled, and on each new
	// stream.
	Cancellations *Cancellations `cbor:"25,keyasint,omitempty"`
}

// Cancellations tells which jobs callers have cancelled lately. The receiver must not
// hold or start them.
type Cancellations struct {
	Jobs []cancellation.Cancellation `cbor:"1,keyasint"`
}

// Dropped is sent by a scheduler to an entry VM that was silent, when its heartbeats
// arrive again: the scheduler has withdrawn all its jobs.
type Dropped struct {
	// Through is the last submission that the scheduler had received by then. Earlier versions
	// send 0, which means all.
	Through uint64 `cbor:"1,keyasint,omitempty"`
}

// LeavingUpstreams tells which upstreams have begun to leave. The store of a process
// that has just started may still serve an older entry.
type LeavingUpstreams struct {
	// Incarnations holds the incarnations that leave by ID.
	Incarnations map[string]int64 `cbor:"1,keyasint"`
}

// CellStates is sent between the schedulers of a divided region, and by a scheduler
// to the entry VMs of its cell.
type CellStates struct {
	Cells []CellState `cbor:"1,keyasint"`
	// Evacuations is the sender's snapshot, because cells exchange no other state; nil
	// if it has seen no evacuation.
	Evacuations *evacuation.Snapshot `cbor:"2,keyasint,omitempty"`
}

// CellState is the report of one cell's scheduler.
type CellState struct {
	// Scheduler is the process that schedules the cell; its failure domain names
	// the cell.
	Scheduler region.Member `cbor:"1,keyasint"`
	// Headroom is the capacity, in thousandths of a core, that neither runs nor
	// waiting tasks need, by service.
	Headroom map[string]int `cbor:"2,keyasint,omitempty"`
	// PendingJobs counts, by kind, the jobs of the cell of which no task has
	// started.
	PendingJobs map[string]int `cbor:"3,keyasint,omitempty"`
	// Age is the time since the scheduler made the report.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// OrderBatch is sent by a scheduler to a relay, which executes the orders.
type OrderBatch struct {
	Orders []relay.Order `cbor:"1,keyasint"`
	// Specs is the table of relay.Pack.
	Specs []string `cbor:"2,keyasint,omitempty"`
}

// ReplyBatch is sent by a relay to a scheduler and carries the replies to its
// orders. A process with another incarnation than ReceiverIncarnation ignores
// it.
type ReplyBatch struct {
	ReceiverIncarnation uint64        `cbor:"1,keyasint"`
	Replies             []relay.Reply `cbor:"2,keyasint"`
}

// Withdraw is sent by an entry VM to the scheduler when it no longer waits for a
// job that it has submitted.
type Withdraw struct {
	JobID string `cbor:"1,keyasint"`
	// Through is the last submission that is withdrawn; those after it stay. Earlier versions
	// send 0, which means all.
	Through uint64 `cbor:"2,keyasint,omitempty"`
}

// Released is sent by a scheduler that steps down to an entry VM. It reports the
// state in which the scheduler leaves the jobs of that entry VM.
type Released struct {
	Jobs []cell.Release `cbor:"1,keyasint"`
}

// Decline is sent to the entry VM that submitted a job by a process that does
// not accept the job, usually because it does not schedule.
type Decline struct {
	JobID string `cbor:"1,keyasint"`
	// Target, if set, is the scheduler of another cell that has room for the job. The sender
	// had the job and ordered no start.
	Target string `cbor:"2,keyasint,omitempty"`
	// Submission is the submission that is declined.
	Submission uint64 `cbor:"3,keyasint,omitempty"`
}

// Cancel requests that the scheduler cancel a job, whichever entry VM submitted
// it.
type Cancel struct {
	JobID string `cbor:"1,keyasint"`
	// RequestNumber identifies the request among those of the sender.
	RequestNumber uint64 `cbor:"2,keyasint"`
}

// Cancelled is the scheduler's reply to the Cancel with the same RequestNumber.
// Found is false if the scheduler does not have the job.
type Cancelled struct {
	RequestNumber uint64 `cbor:"1,keyasint"`
	Found         bool   `cbor:"2,keyasint"`
}

// UpstreamList is the platform's list of upstreams as the sender has read it.
type UpstreamList struct {
	Upstreams []cell.Upstream `cbor:"1,keyasint"`
	// Age is the time since the sender read the list.
	Age time.Duration `cbor:"2,keyasint"`
}
