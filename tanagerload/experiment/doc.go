// Package experiment defines and reads the YAML files that describe a load
// experiment: the fleet, the workload, the callers, the steps of load and the
// faults to inject.
package experiment
