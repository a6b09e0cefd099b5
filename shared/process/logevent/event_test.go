package logevent

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a catalogue that differs from the code: each event has exactly
// one row with its number, name, level and text, and there are no other rows.
func TestCatalogueMatchesEvents(t *testing.T) {
	data, err := os.ReadFile("../../../docs/log-events.md")
	assert.NilError(t, err)
	var want, got []string
	for _, event := range Events() {
		want = append(want, fmt.Sprintf("| E%03d | %s | %s | %s |", event.Number, event.Name, event.Level, event.Text))
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "| E") {
			got = append(got, catalogueRow(line))
		}
	}
	assert.DeepEqual(t, got, want)
}

// catalogueRow returns a row without the columns that the code does not define.
func catalogueRow(line string) string {
	const columns = 5
	cells := strings.SplitN(strings.TrimSpace(line), "|", columns+1)
	return strings.Join(cells[:columns], "|") + "|"
}

// Guards against two events with the same number or name.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, event := range Events() {
		for _, key := range []string{fmt.Sprint(event.Number), event.Name} {
			assert.Assert(t, !seen[key], "%s is used twice", key)
			seen[key] = true
		}
	}
}

// Guards against an event that is in the catalogue but that no program logs.
func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.Contains(path, "/logevent/") {
			return err
		}
		data, err := os.ReadFile(path)
		source.Write(data)
		return err
	})
	assert.NilError(t, err)
	for _, event := range Events() {
		words := strings.Split(event.Name, "-")
		for i, word := range words {
			words[i] = strings.ToUpper(word[:1]) + word[1:]
		}
		reference := "logevent." + strings.Join(words, "")
		assert.Assert(t, strings.Contains(source.String(), reference), "%s is never used", reference)
	}
}
