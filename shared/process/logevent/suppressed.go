package logevent

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxListedJobs and maxSuppressedGroups bound what is kept of dropped lines until they
	// are reported.
	maxListedJobs       = 4096
	maxSuppressedGroups = 64
	// jobsPerLine bounds the length of a line that lists jobs.
	jobsPerLine = 100
)

// suppressedGroup identifies dropped lines that are reported together. Result and reason
// are empty unless the event lists jobs.
type suppressedGroup struct {
	number int
	result string
	reason string
}

func (group suppressedGroup) compare(other suppressedGroup) int {
	return cmp.Or(cmp.Compare(group.number, other.number), cmp.Compare(group.result, other.result),
		cmp.Compare(group.reason, other.reason))
}

// suppressedCount is what is known of the dropped lines of a group.
type suppressedCount struct {
	lines int
	// jobs holds the jobs of these lines, as far as there is room.
	jobs []string
}

// suppressedLines collects the lines that were dropped since the last report. It is safe
// for concurrent use.
type suppressedLines struct {
	mutex  sync.Mutex
	counts map[suppressedGroup]*suppressedCount
	// listed is the number of jobs in counts.
	listed int
	// isPending is set while there is something to report.
	isPending atomic.Bool
}

// add records a dropped line.
func (suppressed *suppressedLines) add(event Event, pairs []any) {
	group := suppressedGroup{
		number: event.Number,
	}
	job := ""
	if event.ListsJobs {
		job = textOf(pairs, "job")
		group.result = textOf(pairs, "result")
		group.reason = textOf(pairs, "reason")
	}
	suppressed.mutex.Lock()
	defer suppressed.mutex.Unlock()
	if suppressed.counts == nil {
		suppressed.counts = make(map[suppressedGroup]*suppressedCount)
	}
	count, known := suppressed.counts[group]
	if !known && len(suppressed.counts) >= maxSuppressedGroups {
		group = suppressedGroup{
			number: event.Number,
		}
		count, known = suppressed.counts[group]
	}
	if !known {
		count = &suppressedCount{}
		suppressed.counts[group] = count
	}
	count.lines++
	if job != "" && suppressed.listed < maxListedJobs {
		suppressed.listed++
		count.jobs = append(count.jobs, job)
	}
	suppressed.isPending.Store(true)
}

// textOf returns the value of a key if it is a string.
func textOf(pairs []any, key string) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] == key {
			text, _ := pairs[i+1].(string)
			return text
		}
	}
	return ""
}

// take returns what was collected and clears it.
func (suppressed *suppressedLines) take() map[suppressedGroup]*suppressedCount {
	suppressed.mutex.Lock()
	defer suppressed.mutex.Unlock()
	counts := suppressed.counts
	suppressed.counts = nil
	suppressed.listed = 0
	suppressed.isPending.Store(false)
	return counts
}

// reportSuppressed logs how many lines of each event were dropped since the last report, and
// the jobs of those that report refusals.
func (logger *Logger) reportSuppressed() {
	if !logger.suppressed.isPending.Load() {
		return
	}
	counts := logger.suppressed.take()
	for _, group := range slices.SortedFunc(maps.Keys(counts), suppressedGroup.compare) {
		count := counts[group]
		for jobs := range slices.Chunk(count.jobs, jobsPerLine) {
			logger.writeSuppressed(group, len(jobs), "jobs", strings.Join(jobs, " "))
		}
		if unlisted := count.lines - len(count.jobs); unlisted > 0 {
			logger.writeSuppressed(group, unlisted)
		}
	}
}

// writeSuppressed writes a line about dropped lines.
func (logger *Logger) writeSuppressed(group suppressedGroup, count int, pairs ...any) {
	described := []any{"of", fmt.Sprintf("E%03d", group.number), "count", count}
	if group.result != "" {
		described = append(described, "result", group.result)
	}
	if group.reason != "" {
		described = append(described, "reason", group.reason)
	}
	logger.writeLine(time.Now(), LinesSuppressed, append(described, pairs...))
}
