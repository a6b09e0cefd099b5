package dispatcher

import (
	"iter"
	"maps"
	"slices"
)

// inOrder iterates over the entries that a map has now, by key, so that equal events
// have equal effects. Entries that are deleted meanwhile are omitted.
func inOrder[Value any](entries map[string]Value) iter.Seq2[string, Value] {
	return func(yield func(key string, value Value) bool) {
		for _, key := range slices.Sorted(maps.Keys(entries)) {
			if value, exists := entries[key]; exists && !yield(key, value) {
				return
			}
		}
	}
}
