package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/version/routing"
)

// Guards against a request that is mapped to a route with a shorter prefix or of
// another host.
func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	table := (&routing.Table{
		Routes: []routing.Route{
			{
				Name:   "short",
				Host:   "a.example",
				Prefix: "/q/",
			},
			{
				Name:   "long",
				Host:   "a.example",
				Prefix: "/q/fast/",
			},
			{
				Name:   "other",
				Host:   "b.example",
				Prefix: "/q/",
			},
		},
	}).Index()
	for _, test := range []struct {
		host, path, route, remainder string
	}{
		{"a.example", "/q/1", "short", "1"},
		{"A.example:8080", "/q/fast/2", "long", "2"},
		{"b.example", "/q/fast/2", "other", "fast/2"},
		{"b.example", "/q/", "other", ""},
	} {
		route, remainder, found := table.Match(test.host, test.path)
		assert.Assert(t, found, test.path)
		assert.Equal(t, route.Name, test.route)
		assert.Equal(t, remainder, test.remainder)
	}
	_, _, found := table.Match("c.example", "/q/1")
	assert.Assert(t, !found)
	_, _, found = table.Match("a.example", "/qq")
	assert.Assert(t, !found)
}
