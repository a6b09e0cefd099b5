// Package scenario runs scripted failure scenarios against a local deployment
// and checks the invariants of the design page against the workers' journals.
//
// The commands of the scripts are described in docs/scenarios.md.
package scenario
