package dispatcher

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a page for operators that lacks a metric of this package or lists
// one that does not exist.
func TestMetricsPageNamesAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	assert.NilError(t, err)
	for _, name := range MetricNames() {
		assert.Assert(t, strings.Contains(string(page), "`"+name), "%s is missing", name)
	}
	assert.Equal(t, strings.Count(string(page), "| `tanagerfall_region_"), len(MetricNames()))
}
