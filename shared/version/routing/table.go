package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Table is one version of the routing configuration. Index must be called before
// Match; from then on the table is immutable.
type Table struct {
	Version  int64     `cbor:"1,keyasint" json:"version"`
	Routes   []Route   `cbor:"2,keyasint" json:"routes"`
	Services []Service `cbor:"3,keyasint" json:"services"`
	Limits   Limits    `cbor:"4,keyasint" json:"limits"`
	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
}

// Route maps the requests for a host and path prefix to a service, and sets how
// the jobs in them are scheduled.
type Route struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Host is compared with the host of a request regardless of case and port.
	Host   string `cbor:"2,keyasint" json:"host"`
	Prefix string `cbor:"3,keyasint" json:"prefix"`
	// Service is the name of the Service.
	Service string `cbor:"4,keyasint" json:"service"`
	// Priority orders the jobs of all routes; 0 is the highest priority.
	Priority int `cbor:"5,keyasint,omitempty" json:"priority"`
	// MaxAttempts is the number of failed runs of a task that fail its job.
	MaxAttempts int `cbor:"6,keyasint,omitempty" json:"max-attempts"`
	// Stretch and Objective set the latency objective of a job: Stretch times its
	// estimated run time, plus Objective.
	Stretch   float64       `cbor:"7,keyasint,omitempty" json:"stretch"`
	Objective time.Duration `cbor:"8,keyasint,omitempty" json:"objective-ns"`
	// Timeout is how long a caller waits for a job unless the request says so.
	Timeout time.Duration `cbor:"9,keyasint,omitempty" json:"timeout-ns"`
	// Advised routes require a permission for each worker, which this software
	// does not request.
	Advised bool `cbor:"10,keyasint,omitempty" json:"advised,omitempty"`
}

// Service is a group of upstreams that run the same tasks.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// EnforcesCapacity is set if the upstreams refuse tasks that exceed their
	// capacity.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty" json:"guards"`
	// MaxConnections limits the connections to one upstream; 0 means no limit.
	MaxConnections int `cbor:"3,keyasint,omitempty" json:"max-connections"`
	// WarmUp describes the upstreams after their start; zero if they start at full speed.
	WarmUp WarmUp `cbor:"4,keyasint,omitzero" json:"warm-up"`
}

// WarmUp describes upstreams that are slow after their start. Their speed rises for
// Duration. StartsPerSecond limits the starts at one of them meanwhile; 0 means no limit.
type WarmUp struct {
	Duration        time.Duration `cbor:"1,keyasint,omitempty" json:"duration-ns"`
	StartsPerSecond float64       `cbor:"2,keyasint,omitempty" json:"starts-per-second"`
}

// Limits bounds callers' requests. MaxHeaderBytes and MaxBodyBytes are sizes,
// HeaderTimeout is the time for reading a header, and IdleTimeout is the time for
// which an idle connection stays open. 0 means that the table sets no limit.
type Limits struct {
	MaxHeaderBytes int           `cbor:"1,keyasint,omitempty" json:"header-bytes"`
	MaxBodyBytes   int64         `cbor:"2,keyasint,omitempty" json:"body-bytes"`
	HeaderTimeout  time.Duration `cbor:"3,keyasint,omitempty" json:"header-timeout-ns"`
	IdleTimeout    time.Duration `cbor:"4,keyasint,omitempty" json:"idle-timeout-ns"`
}

// Index builds the lookup by host that Match uses, and returns the table.
func (table *Table) Index() *Table {
	table.routesByHost = make(map[string][]*Route)
	for i := range table.Routes {
		route := &table.Routes[i]
		host := canonicalHost(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	for _, routes := range table.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].Prefix) > len(routes[j].Prefix)
		})
	}
	return table
}

// EnforcesCapacity reports whether the upstreams of a service refuse tasks that exceed
// their capacity; false for a service that the table does not have.
func (table *Table) EnforcesCapacity(name string) bool {
	for i := range table.Services {
		if table.Services[i].Name == name {
			return table.Services[i].EnforcesCapacity
		}
	}
	return false
}

// WarmUp returns that of a service; zero for a service that the table does not have.
func (table *Table) WarmUp(name string) WarmUp {
	for i := range table.Services {
		if table.Services[i].Name == name {
			return table.Services[i].WarmUp
		}
	}
	return WarmUp{}
}

// Match returns the route for a host, with or without a port, that has the
// longest prefix of path, the remainder of the path after the prefix, and whether
// there is such a route.
func (table *Table) Match(host, path string) (Route, string, bool) {
	for _, route := range table.routesByHost[canonicalHost(host)] {
		if remainder, matches := strings.CutPrefix(path, route.Prefix); matches {
			return *route, remainder, true
		}
	}
	return Route{}, "", false
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
