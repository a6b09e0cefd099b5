package dispatcher

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The page for operators must name each metric, and no other of this package.
func TestMetricsPageNamesAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/metrics.md")
	assert.NilError(t, err)
	for _, name := range MetricNames() {
		assert.Assert(t, strings.Contains(string(page), "`"+name), "%s is missing", name)
	}
	assert.Equal(t, strings.Count(string(page), "| `tanagerfall_region_"), len(MetricNames()))
}
