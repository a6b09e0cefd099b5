// Package where holds the answer to the question where a job would go, as the control
// address of a process gives it and tanagerctl reads it.
package where

import (
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/routing"
)

// Question asks where a job would go. Times are in ms.
type Question struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Domain is the failure domain of the entry VM; the default is that of the process that
	// is asked.
	Domain string `json:"domain,omitempty"`
	// DeadlineMs is how long the caller waits; the default is that of the route.
	DeadlineMs float64 `json:"deadline-ms,omitempty"`
}

// Answer says where a job would go. Route is nil if none matches, and Dispatch if the job
// would not be submitted to a scheduler. Problem says why.
type Answer struct {
	RoutesVersion int64          `json:"routes-version"`
	Route         *routing.Route `json:"route"`
	JobID         string         `json:"job"`
	Problem       string         `json:"problem,omitempty"`
	Dispatch      *Dispatch      `json:"dispatch,omitempty"`
}

// Dispatch says where a new job would go from a process, and why. Times are in ms.
type Dispatch struct {
	// EntryVM and Domain are those of the process that answers.
	EntryVM string `json:"entry-vm"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
	// Scheduler is the address of the scheduler that the process follows; empty if there
	// is none. HeartbeatAgeMs is the age of what is known of it, -1 if nothing is.
	Scheduler      string `json:"scheduler"`
	IsScheduler    bool   `json:"schedules"`
	HeartbeatAgeMs int64  `json:"heartbeat-age-ms"`
	// ShedShare is the share of new jobs that the scheduler wants refused because its
	// processor can't start them all.
	ShedShare float64 `json:"shed-share"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []string `json:"evacuated"`
	// Held is set if a caller of the process already waits for the job.
	Held bool `json:"held"`
	// OtherCell is the address of the scheduler of another cell, if the job would go there
	// because its own has no scheduler or refuses it.
	OtherCell string `json:"other-cell,omitempty"`
	// Admission is what the process decides before the job goes to the scheduler.
	Admission Admission `json:"admission"`
	// Cell is nil unless the process schedules.
	Cell *cell.Explanation `json:"cell,omitempty"`
}

// Admission is the decision of an entry VM by the scheduler's last digest, which lists only
// services that refuse jobs. Load, Threshold and DrainMs are the digest's, 0 if it does not
// list the service.
type Admission struct {
	Refused      bool    `json:"refused"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs int64   `json:"retry-after-ms,omitempty"`
	Load         float64 `json:"load"`
	Threshold    float64 `json:"threshold"`
	DrainMs      int64   `json:"drain-ms"`
}
