// Package routing maps callers' requests to the services that run them. A
// table is one version of the operators' configuration; a process never goes
// back to a lower version.
package routing
