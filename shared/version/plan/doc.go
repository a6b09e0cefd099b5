// Package plan defines the operators' plan, the records that publish it on
// the platform's log, and the rule by which every reader picks the same plan.
package plan
