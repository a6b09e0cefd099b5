package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"tanagerfall/shared/request/submission"
)

// entry is a job with waiting or running tasks.
type entry struct {
	job  Job
	team *team
	// number counts the jobs in order of arrival.
	number int
	// longestMs and workMs are estimates of the longest task and the sum of
	// all tasks on an upstream of speed 1.
	longestMs float64
	workMs    float64
	// ideal is the shortest time in which the job could run.
	ideal time.Duration
	// theta is the current target as a multiple of the ideal.
	theta float64
	// target is the time by which the waiting tasks should end.
	target time.Time
	// expectedEnd is the latest expected end of a task that was placed.
	expectedEnd time.Time
	// keyedMs is the value of remainingMs behind the keys of the groups.
	keyedMs float64
	groups  []*group
	waiting int
	running int
	// remainingMs is the estimated work of the waiting tasks.
	remainingMs float64
	// urgent is set once urgentAt has passed.
	urgent   bool
	urgentAt time.Time
	// relaxAt is the time at which the target, the urgency or the upstreams
	// that the job may use have to be looked at again.
	relaxAt time.Time
	timer   int
}

// group holds the waiting tasks of a job whose lengths are about equal and
// whose needs are the same. The longest is first.
type group struct {
	entry *entry
	rank  int
	need  room
	tasks []Task
	// declaredMs is the sum of the tasks' declared run times.
	declaredMs float64
	// key orders groups of one team and priority; the least goes first.
	key float64
	// debt is the team's debt when the group was filed.
	debt  int64
	class int
	place int
	heap  *groupHeap
}

// groupStep is the ratio of the run times that bound the tasks of one group.
const groupStep = 1.1

var groupScale = 1 / math.Log(groupStep)

func rankOf(declaredMs float64) int {
	return int(math.Floor(math.Log(max(declaredMs, 1e-3)) * groupScale))
}

// before reports whether a group goes before another.
func (group *group) before(other *group) bool {
	if group.debt != other.debt {
		return group.debt < other.debt
	}
	a, b := group.entry, other.entry
	if a == b {
		return group.rank > other.rank
	}
	if a.job.Priority != b.job.Priority {
		return a.job.Priority > b.job.Priority
	}
	if group.key != other.key {
		return group.key < other.key
	}
	return less(a.job.Key, b.job.Key)
}

func less(a, b submission.Key) bool {
	if a.Counter != b.Counter {
		return a.Counter < b.Counter
	}
	return a.Incarnation < b.Incarnation
}

// groupHeap is a binary heap of groups in the order of before.
type groupHeap struct {
	groups []*group
}

func (heap *groupHeap) push(group *group) {
	group.heap = heap
	group.place = len(heap.groups)
	heap.groups = append(heap.groups, group)
	heap.up(group.place)
}

func (heap *groupHeap) top() *group {
	if len(heap.groups) == 0 {
		return nil
	}
	return heap.groups[0]
}

func (heap *groupHeap) remove(group *group) {
	place := group.place
	last := len(heap.groups) - 1
	moved := heap.groups[last]
	heap.groups[last] = nil
	heap.groups = heap.groups[:last]
	group.heap = nil
	if moved == group {
		return
	}
	heap.groups[place] = moved
	moved.place = place
	heap.fix(place)
}

func (heap *groupHeap) fix(place int) {
	if !heap.down(place) {
		heap.up(place)
	}
}

func (heap *groupHeap) up(place int) {
	for place > 0 {
		parent := (place - 1) / 2
		if !heap.groups[place].before(heap.groups[parent]) {
			return
		}
		heap.swap(place, parent)
		place = parent
	}
}

func (heap *groupHeap) down(place int) bool {
	start := place
	for {
		child := 2*place + 1
		if child >= len(heap.groups) {
			break
		}
		if child+1 < len(heap.groups) && heap.groups[child+1].before(heap.groups[child]) {
			child++
		}
		if !heap.groups[child].before(heap.groups[place]) {
			break
		}
		heap.swap(place, child)
		place = child
	}
	return place > start
}

func (heap *groupHeap) swap(i, j int) {
	heap.groups[i], heap.groups[j] = heap.groups[j], heap.groups[i]
	heap.groups[i].place = i
	heap.groups[j].place = j
}

// classQueues holds the filed groups by the class of the slowest upstream that
// meets their target.
type classQueues struct {
	heaps  []groupHeap
	filled []uint64
}

func newClassQueues() classQueues {
	return classQueues{
		heaps:  make([]groupHeap, classCount),
		filled: make([]uint64, (classCount+63)/64),
	}
}

func (queues *classQueues) add(group *group, class int) {
	group.class = class
	queues.heaps[class].push(group)
	queues.filled[class/64] |= 1 << (class % 64)
}

func (queues *classQueues) remove(group *group) {
	heap := &queues.heaps[group.class]
	heap.remove(group)
	if len(heap.groups) == 0 {
		queues.filled[group.class/64] &^= 1 << (group.class % 64)
	}
}

// best returns the group that goes first among the classes from low to high,
// or nil.
func (queues *classQueues) best(low, high int) *group {
	var best *group
	for word := low / 64; word*64 <= high; word++ {
		set := queues.filled[word]
		if skip := low - word*64; skip > 0 {
			set &^= 1<<skip - 1
		}
		if rest := high - word*64; rest < 63 {
			set &= 1<<(rest+1) - 1
		}
		for set != 0 {
			bit := bits.TrailingZeros64(set)
			set &= set - 1
			top := queues.heaps[word*64+bit].groups[0]
			if best == nil || top.before(best) {
				best = top
			}
		}
	}
	return best
}

// timers is a heap of jobs by their relaxAt. The times lie in the heap itself,
// so that comparisons read no job.
type timers struct {
	entries []timer
}

type timer struct {
	// at is relaxAt in Unix nanoseconds.
	at    int64
	entry *entry
}

func (timers *timers) Len() int { return len(timers.entries) }

func (timers *timers) Less(i, j int) bool {
	return timers.entries[i].at < timers.entries[j].at
}

func (timers *timers) Swap(i, j int) {
	timers.entries[i], timers.entries[j] = timers.entries[j], timers.entries[i]
	timers.entries[i].entry.timer = i
	timers.entries[j].entry.timer = j
}

// Push is called by container/heap.
func (timers *timers) Push(added any) {
	held := added.(*entry)
	held.timer = len(timers.entries)
	timers.entries = append(timers.entries, timer{
		at:    held.relaxAt.UnixNano(),
		entry: held,
	})
}

// Pop is called by container/heap.
func (timers *timers) Pop() any {
	last := len(timers.entries) - 1
	held := timers.entries[last].entry
	timers.entries[last] = timer{}
	timers.entries = timers.entries[:last]
	held.timer = -1
	return held
}

// insert puts a task into its place by descending run time.
func (group *group) insert(task Task) {
	place, _ := slices.BinarySearchFunc(group.tasks, task, func(held, added Task) int {
		if held.DeclaredMs >= added.DeclaredMs {
			return -1
		}
		return 1
	})
	group.tasks = slices.Insert(group.tasks, place, task)
	group.declaredMs += task.DeclaredMs
}
