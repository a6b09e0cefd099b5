// Package experiment reads the YAML files that describe a load experiment.
package experiment
