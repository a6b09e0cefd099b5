// Package scenario runs scripted failure scenarios against a local deployment.
// It checks the invariants of docs/design.md by comparing the answers to callers
// with the journals in which workers record each start of a task.
//
// docs/scenarios.md describes the commands of the scripts.
package scenario
