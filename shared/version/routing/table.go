package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Table is one version of the configuration of callers' requests. It is
// immutable once Index was called.
type Table struct {
	Version  int64     `cbor:"1,keyasint" json:"version"`
	Routes   []Route   `cbor:"2,keyasint" json:"routes"`
	Services []Service `cbor:"3,keyasint" json:"services"`
	Limits   Limits    `cbor:"4,keyasint" json:"limits"`
	// routesByHost holds the routes of a host, those with the longest prefix first.
	routesByHost map[string][]*Route
}

// Route sends the requests for a host and path prefix to a service.
type Route struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Host    string `cbor:"2,keyasint" json:"host"`
	Prefix  string `cbor:"3,keyasint" json:"prefix"`
	Service string `cbor:"4,keyasint" json:"service"`
	// Priority 0 goes first.
	Priority    int `cbor:"5,keyasint,omitempty" json:"priority"`
	MaxAttempts int `cbor:"6,keyasint,omitempty" json:"max-attempts"`
	// Stretch times the run time, plus Objective, is the latency objective.
	Stretch   float64       `cbor:"7,keyasint,omitempty" json:"stretch"`
	Objective time.Duration `cbor:"8,keyasint,omitempty" json:"objective-ns"`
	Timeout   time.Duration `cbor:"9,keyasint,omitempty" json:"timeout-ns"`
	// Advised routes need a permission for each worker, which this product
	// does not ask for.
	Advised bool `cbor:"10,keyasint,omitempty" json:"advised,omitempty"`
}

// Service is a group of upstreams that run the same tasks.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// EnforcesCapacity tells that the upstreams refuse what does not fit.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty" json:"guards"`
	// MaxConnections bounds the connections to one upstream; 0 means no bound.
	MaxConnections int `cbor:"3,keyasint,omitempty" json:"max-connections"`
}

// Limits bounds callers' requests; 0 means no bound.
type Limits struct {
	MaxHeaderBytes   int           `cbor:"1,keyasint,omitempty" json:"header-bytes"`
	MaxBodyBytes     int64         `cbor:"2,keyasint,omitempty" json:"body-bytes"`
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty" json:"header-timeout-ns"`
	IdleTimeout   time.Duration `cbor:"4,keyasint,omitempty" json:"idle-timeout-ns"`
}

// Index prepares the table for Match. It returns the table.
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

// Match returns the route with the longest prefix for a host and path, and
// the rest of the path.
func (table *Table) Match(host, path string) (Route, string, bool) {
	for _, route := range table.routesByHost[canonicalHost(host)] {
		if rest, matches := strings.CutPrefix(path, route.Prefix); matches {
			return *route, rest, true
		}
	}
	return Route{}, "", false
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
