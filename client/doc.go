// Package client submits jobs to tanagerfall and waits for their answers.
//
// A job is submitted under a submission ID, which the entry VM that owns it has
// issued. A Client first sends a job on the connection over which its ID was issued.
// Behind a balancer that assigns connections to VMs, the job therefore goes directly
// to its owner, without a hop between entry VMs.
//
// After a lost answer, the submission is sent again under the same ID, so that the
// job can't run twice. A new ID is used only if no entry VM can hold the submission
// under the previous one.
package client
