package chart_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/tanagerload/chart"
	"tanagerfall/tanagerload/result"
)

// TestDraw guards against charts that are missing, cannot be decoded or do not
// mark the faults.
func TestDraw(t *testing.T) {
	data, err := os.ReadFile("../load/testdata/result.golden.json")
	assert.NilError(t, err)
	var experimentResult result.Result
	assert.NilError(t, json.Unmarshal(data, &experimentResult))
	directory := t.TempDir()
	files, err := chart.Draw([]result.Result{experimentResult}, directory)
	assert.NilError(t, err)
	var names []string
	for _, file := range files {
		names = append(names, filepath.Base(file))
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		if strings.HasSuffix(file, ".png") {
			_, err = png.Decode(bytes.NewReader(content))
			assert.NilError(t, err)
		}
	}
	assert.DeepEqual(t, names, []string{
		"response-over-ideal.png", "response-over-ideal.svg",
		"messages.png", "messages.svg",
		"golden-1-response.png", "golden-1-response.svg",
		"golden-1-failures.png", "golden-1-failures.svg",
	})
	timeline, err := os.ReadFile(filepath.Join(directory, "golden-1-failures.svg"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(timeline), "platform: log-down"))
	assert.Assert(t, strings.Contains(string(timeline), "refused"))
}
