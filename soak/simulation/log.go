package simulation

import (
	"slices"
	"strings"
	"time"

	"tanagerfall/shared/request/cell"
)

const (
	// entryLifetime is how long the log keeps an entry that its worker does not renew.
	entryLifetime = 3 * time.Second
	// reappearTime is how long a process keeps missing entries after an outage of the
	// log, as the product does.
	reappearTime = 2500 * time.Millisecond
)

// platformLog is a stand-in for the platform's log, which holds the workers' entries.
type platformLog struct {
	world   *world
	node    *node
	entries map[string]logEntry
	// slow makes reads take up to a second.
	slow bool
}

// logEntry is an entry and when it was written.
type logEntry struct {
	upstream  cell.Upstream
	writtenAt time.Duration
}

func newPlatformLog(world *world) *platformLog {
	return &platformLog{
		world: world,
		node: &node{
			name:   "log",
			domain: -1,
		},
		entries: make(map[string]logEntry),
	}
}

// write replaces the entry of a worker.
func (log *platformLog) write(worker *worker) {
	log.entries[worker.node.name] = logEntry{
		upstream:  worker.entry(),
		writtenAt: log.world.now,
	}
}

// list returns the entries that have not expired, sorted by ID.
func (log *platformLog) list() []cell.Upstream {
	var upstreams []cell.Upstream
	for id, entry := range log.entries {
		if log.world.now-entry.writtenAt > entryLifetime {
			delete(log.entries, id)
			continue
		}
		upstreams = append(upstreams, entry.upstream)
	}
	slices.SortFunc(upstreams, func(a, b cell.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return upstreams
}

// directory is a process's copy of the list. It follows the product's rules: an entry
// that is missing stays during an outage of the log and for reappearTime after it.
type directory struct {
	entries        map[string]cell.Upstream
	lastFailure    time.Duration
	answeringSince time.Duration
}

// apply replaces the list by one that was read, and returns the workers sorted by ID.
func (directory *directory) apply(now time.Duration, read []cell.Upstream) []cell.Upstream {
	if directory.answeringSince == 0 {
		directory.answeringSince = now
	}
	present := make(map[string]bool, len(read))
	for _, upstream := range read {
		present[upstream.ID] = true
		known, exists := directory.entries[upstream.ID]
		if exists && upstream.Incarnation < known.Incarnation {
			continue
		}
		upstream.Leaving = upstream.Leaving || (exists && known.Incarnation == upstream.Incarnation && known.Leaving)
		directory.entries[upstream.ID] = upstream
	}
	inOutage := directory.lastFailure > 0 && now-directory.answeringSince < reappearTime
	var upstreams []cell.Upstream
	for id, upstream := range directory.entries {
		if !present[id] && !inOutage {
			delete(directory.entries, id)
			continue
		}
		upstreams = append(upstreams, upstream)
	}
	slices.SortFunc(upstreams, func(a, b cell.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return upstreams
}

// recordOutage records that a read failed.
func (directory *directory) recordOutage(now time.Duration) {
	directory.lastFailure = now
	directory.answeringSince = 0
}
