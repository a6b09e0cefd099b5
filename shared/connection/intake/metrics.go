package intake

import (
	"errors"
	"fmt"
	"io"
)

// The names of the metrics, which docs/metrics.md lists.
const (
	metricConnections   = "tanagerfall_intake_connections"
	metricReservedBytes = "tanagerfall_intake_reserved_bytes"
	metricRefusals      = "tanagerfall_intake_refusals_total"
)

// Reason says why a client was turned away.
type Reason string

// Values of Reason.
const (
	// ReasonConnections counts connections that were closed at the limit on them.
	ReasonConnections Reason = "connections"
	// ReasonBodyMemory counts bodies that were refused or ended for want of memory.
	ReasonBodyMemory Reason = "body-memory"
	// ReasonBodyTimeout counts bodies that did not arrive in time.
	ReasonBodyTimeout Reason = "body-timeout"
	// ReasonJobMemory counts jobs that were refused for want of memory.
	ReasonJobMemory Reason = "job-memory"
)

// reasons lists all values of Reason.
var reasons = []Reason{ReasonConnections, ReasonBodyMemory, ReasonBodyTimeout, ReasonJobMemory}

// ReasonOf returns the reason of an error of ReadBody or HoldJob; empty for an error that
// is no refusal.
func ReasonOf(err error) Reason {
	switch {
	case errors.Is(err, ErrFull), errors.Is(err, ErrEvicted):
		return ReasonBodyMemory
	case errors.Is(err, ErrTimeout):
		return ReasonBodyTimeout
	case errors.Is(err, ErrJobsFull):
		return ReasonJobMemory
	default:
		return ""
	}
}

// State describes a Gate.
type State struct {
	Limits   Limits           `json:"limits"`
	Usage    Usage            `json:"usage"`
	Refusals map[Reason]int64 `json:"refusals"`
}

// State returns the limits, what is held now, and the clients turned away since New.
func (gate *Gate) State() State {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	refusals := make(map[Reason]int64, len(reasons))
	for _, reason := range reasons {
		refusals[reason] = gate.refusals[reason]
	}
	return State{
		Limits:   gate.limits,
		Usage:    gate.ledger.Usage(),
		Refusals: refusals,
	}
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (gate *Gate) WriteMetrics(writer io.Writer) {
	state := gate.State()
	fmt.Fprintf(writer, "%s %d\n", metricConnections, state.Usage.Connections)
	fmt.Fprintf(writer, "%s{for=\"small-bodies\"} %d\n", metricReservedBytes, state.Usage.SmallBodyBytes)
	fmt.Fprintf(writer, "%s{for=\"large-bodies\"} %d\n", metricReservedBytes, state.Usage.LargeBodyBytes)
	fmt.Fprintf(writer, "%s{for=\"jobs\"} %d\n", metricReservedBytes, state.Usage.JobBytes)
	for _, reason := range reasons {
		fmt.Fprintf(writer, "%s{reason=%q} %d\n", metricRefusals, string(reason), state.Refusals[reason])
	}
}
