// Package routing maps callers' requests to the services that run them.
//
// A Table is one version of the routes, services and limits that operators
// configure. A process never replaces its table by one of a lower version.
package routing
