// Package check verifies the answers to the jobs of an experiment: whole
// answers with the right results, and agreement with the workers' journals on
// which tasks started, and how often.
package check
