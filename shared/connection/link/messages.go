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
	// Elapsed is the sender's time, counted from the start of its process.
	Elapsed time.Duration `cbor:"17,keyasint,omitempty"`

	Heartbeat *region.Heartbeat `cbor:"3,keyasint,omitempty"`
	Submit    *cell.Job         `cbor:"4,keyasint,omitempty"`
	Withdraw  *Withdraw         `cbor:"5,keyasint,omitempty"`
	Answer    *cell.Answer      `cbor:"6,keyasint,omitempty"`
	Decline   *Decline          `cbor:"7,keyasint,omitempty"`
	Cancel    *Cancel           `cbor:"8,keyasint,omitempty"`
	Cancelled *Cancelled        `cbor:"9,keyasint,omitempty"`
	Routes    *routing.Table    `cbor:"10,keyasint,omitempty"`
	Upstreams *Upstreams        `cbor:"11,keyasint,omitempty"`
	Speeds    *Speeds           `cbor:"12,keyasint,omitempty"`
	Released  *Released         `cbor:"13,keyasint,omitempty"`
	Orders    *Orders           `cbor:"14,keyasint,omitempty"`
	Replies   *Replies          `cbor:"15,keyasint,omitempty"`
}

// Orders asks the receiver to carry orders out for the sender.
type Orders struct {
	Rows []relay.Order `cbor:"1,keyasint"`
}

// Replies answers Orders of one incarnation of the receiver.
type Replies struct {
	To   uint64        `cbor:"1,keyasint"`
	Rows []relay.Reply `cbor:"2,keyasint"`
}

// Withdraw tells the scheduler that the sender no longer waits for a job.
type Withdraw struct {
	ID string `cbor:"1,keyasint"`
}

// Released tells an entry VM what a scheduler that stood down left of its jobs.
type Released struct {
	Jobs []cell.Release `cbor:"1,keyasint"`
}

// Decline tells an entry VM that the sender does not schedule.
type Decline struct {
	ID string `cbor:"1,keyasint"`
}

// Cancel asks the scheduler to cancel a job, whoever submitted it.
type Cancel struct {
	ID     string `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Cancelled answers a Cancel. Known is false where the scheduler does not have
// the job.
type Cancelled struct {
	Number uint64 `cbor:"1,keyasint"`
	Known  bool   `cbor:"2,keyasint"`
}

// Upstreams is the platform's list of upstreams as the sender read it.
type Upstreams struct {
	Rows []cell.Upstream `cbor:"1,keyasint"`
	// Age is the time since the list was read.
	Age time.Duration `cbor:"2,keyasint"`
}

// Speeds tells what the scheduler has learned of run times, so that another
// process can take over without learning it anew.
type Speeds struct {
	Upstreams map[string]float64 `cbor:"1,keyasint"`
	Kinds     map[string]float64 `cbor:"2,keyasint"`
}
