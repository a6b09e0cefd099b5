// Package plan defines the plan, the configuration that operators publish, and
// replicates it from the plan stream, a totally ordered log that the platform
// keeps.
//
// Operators append a Publication that names the version it changes, its base.
// A Follower applies the records in the order of their offsets and adopts a
// publication only if its base is the current version, a compare-and-swap that
// every reader evaluates alike. The offset of an adopted record is the version
// of its plan. Entry VMs append a Snapshot now and then, so that new readers
// can start after the log has trimmed old records.
package plan
