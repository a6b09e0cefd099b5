package link

import (
	"time"

	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

// Message is what one frame of a stream carries: exactly one of its fields.
type Message struct {
	// From is the address of the sender, and Incarnation that of its process.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`

	// Stream numbers the streams that the sender opened.
	Stream uint64 `cbor:"16,keyasint,omitempty"`
	// SenderUptime is the sender's time, counted from the start of its process.
	SenderUptime time.Duration `cbor:"17,keyasint,omitempty"`

	Heartbeat *region.Heartbeat `cbor:"3,keyasint,omitempty"`
	Submit    *cell.Job         `cbor:"4,keyasint,omitempty"`
	Withdraw  *Withdraw         `cbor:"5,keyasint,omitempty"`
	Answer    *cell.Answer      `cbor:"6,keyasint,omitempty"`
	Decline   *Decline          `cbor:"7,keyasint,omitempty"`
	Cancel    *Cancel           `cbor:"8,keyasint,omitempty"`
	Cancelled *Cancelled        `cbor:"9,keyasint,omitempty"`
	Routes    *routing.Table    `cbor:"10,keyasint,omitempty"`
	Upstreams *UpstreamList     `cbor:"11,keyasint,omitempty"`
	Speeds    *Speeds           `cbor:"12,keyasint,omitempty"`
	Released  *Released         `cbor:"13,keyasint,omitempty"`
	Orders    *OrderBatch       `cbor:"14,keyasint,omitempty"`
	Replies   *ReplyBatch       `cbor:"15,keyasint,omitempty"`
}

// OrderBatch asks the receiver to carry orders out for the sender.
type OrderBatch struct {
	Orders []relay.Order `cbor:"1,keyasint"`
}

// ReplyBatch answers Orders of one incarnation of the receiver.
type ReplyBatch struct {
	ReceiverIncarnation uint64        `cbor:"1,keyasint"`
	Replies             []relay.Reply `cbor:"2,keyasint"`
}

// Withdraw tells the scheduler that the sender no longer waits for a job.
type Withdraw struct {
	JobID string `cbor:"1,keyasint"`
}

// Released tells an entry VM what a scheduler that stood down left of its jobs.
type Released struct {
	Jobs []cell.Release `cbor:"1,keyasint"`
}

// Decline tells an entry VM that the sender does not schedule.
type Decline struct {
	JobID string `cbor:"1,keyasint"`
}

// Cancel asks the scheduler to cancel a job, whoever submitted it.
type Cancel struct {
	JobID         string `cbor:"1,keyasint"`
	RequestNumber uint64 `cbor:"2,keyasint"`
}

// Cancelled answers a Cancel. Known is false where the scheduler does not have
// the job.
type Cancelled struct {
	RequestNumber uint64 `cbor:"1,keyasint"`
	Found         bool   `cbor:"2,keyasint"`
}

// UpstreamList is the platform's list of upstreams as the sender read it.
type UpstreamList struct {
	Upstreams []cell.Upstream `cbor:"1,keyasint"`
	// Age is the time since the list was read.
	Age time.Duration `cbor:"2,keyasint"`
}

// Speeds tells what the scheduler has learned of run times, so that another
// process can take over without learning it anew.
type Speeds struct {
	Upstreams map[string]float64 `cbor:"1,keyasint"`
	Kinds     map[string]float64 `cbor:"2,keyasint"`
}
