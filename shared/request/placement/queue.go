package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"tanagerfall/shared/request/submission"
)

// jobState is a job with waiting or running tasks.
type jobState struct {
	submitted Job
	team      *teamState
	// arrivalNumber is the number of jobs that arrived before.
	arrivalNumber int
	// longestMs is the estimated run time of the longest task on the fastest
	// upstream with the capacity for it. workMs is the estimated sum of the run
	// times of all tasks on an upstream of speed 1.
	longestMs float64
	workMs    float64
	// ideal is the shortest possible response time: that of the longest task on
	// the fastest upstream or of all work on the total capacity, whichever is
	// longer, plus the network round trip.
	ideal time.Duration
	// theta is the current target as a multiple of the ideal.
	theta float64
	// target is the time by which the waiting tasks should end.
	target time.Time
	// expectedEnd is the latest expected end of a task that was placed.
	expectedEnd time.Time
	// sortKeyWorkMs is the value of remainingMs at the last update of the sort
	// keys.
	sortKeyWorkMs float64
	groups        []*group
	waitingTasks  int
	runningTasks  int
	// remainingMs is the estimated work of the waiting tasks on an upstream of
	// speed 1.
	remainingMs float64
	// urgent is set when the scheduler makes the job urgent, at urgentAt at the
	// earliest.
	urgent   bool
	urgentAt time.Time
	// recheckAt is the time at which the target, the urgency and the upstreams
	// that the job may use have to be reevaluated.
	recheckAt time.Time
	// timerIndex is the position in the timer heap, or -1.
	timerIndex int
}

// group holds waiting tasks of a job with the same needs and, under Target, about the
// same declared run times. Under Target and Greedy the longest task is first.
type group struct {
	job *jobState
	// rank orders the groups of a job; the highest goes first.
	rank  int
	need  resources
	tasks []Task
	// declaredMs is the sum of the tasks' declared run times.
	declaredMs float64
	// sortKey orders the groups of jobs of the same priority and service round;
	// the lowest goes first.
	sortKey float64
	// serviceRound is the team's service round when the group was queued.
	serviceRound int64
	// class is the class queue that the group was last added to.
	class int
	// heap is the class queue or the heap of blocked groups that holds the group,
	// and heapIndex is the position there.
	heapIndex int
	heap      *groupHeap
}

// groupRunTimeRatio is the ratio of the upper to the lower bound of the declared run
// times of one group under Target.
const groupRunTimeRatio = 1.1

var ranksPerLogRunTime = 1 / math.Log(groupRunTimeRatio)

// rankOf returns the rank of a declared run time on a logarithmic scale.
func rankOf(declaredMs float64) int {
	return int(math.Floor(math.Log(max(declaredMs, 1e-3)) * ranksPerLogRunTime))
}

// before reports whether a group goes before another: by the service rounds of their
// teams, then by priority, sort key and submission key, or by rank within a job.
func (group *group) before(other *group) bool {
	if group.serviceRound != other.serviceRound {
		return group.serviceRound < other.serviceRound
	}
	a, b := group.job, other.job
	if a == b {
		return group.rank > other.rank
	}
	if a.submitted.Priority != b.submitted.Priority {
		return a.submitted.Priority > b.submitted.Priority
	}
	if group.sortKey != other.sortKey {
		return group.sortKey < other.sortKey
	}
	return keyLess(a.submitted.Key, b.submitted.Key)
}

// keyLess orders jobs with equal sort keys by their submission keys.
func keyLess(a, b submission.Key) bool {
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
	group.heapIndex = len(heap.groups)
	heap.groups = append(heap.groups, group)
	heap.up(group.heapIndex)
}

// top returns the first group, or nil if the heap is empty.
func (heap *groupHeap) top() *group {
	if len(heap.groups) == 0 {
		return nil
	}
	return heap.groups[0]
}

func (heap *groupHeap) remove(group *group) {
	position := group.heapIndex
	last := len(heap.groups) - 1
	moved := heap.groups[last]
	heap.groups[last] = nil
	heap.groups = heap.groups[:last]
	group.heap = nil
	if moved == group {
		return
	}
	heap.groups[position] = moved
	moved.heapIndex = position
	heap.fix(position)
}

// fix restores the heap order after the group at a position changed.
func (heap *groupHeap) fix(position int) {
	if !heap.down(position) {
		heap.up(position)
	}
}

func (heap *groupHeap) up(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if !heap.groups[position].before(heap.groups[parent]) {
			return
		}
		heap.swap(position, parent)
		position = parent
	}
}

// down moves a group towards the leaves and reports whether it moved.
func (heap *groupHeap) down(position int) bool {
	start := position
	for {
		child := 2*position + 1
		if child >= len(heap.groups) {
			break
		}
		if child+1 < len(heap.groups) && heap.groups[child+1].before(heap.groups[child]) {
			child++
		}
		if !heap.groups[child].before(heap.groups[position]) {
			break
		}
		heap.swap(position, child)
		position = child
	}
	return position > start
}

func (heap *groupHeap) swap(i, j int) {
	heap.groups[i], heap.groups[j] = heap.groups[j], heap.groups[i]
	heap.groups[i].heapIndex = i
	heap.groups[j].heapIndex = j
}

// classQueues holds the queued groups by the class of the slowest upstream that meets
// their target.
type classQueues struct {
	heaps []groupHeap
	// nonEmpty is a bit set of the classes whose heaps contain groups.
	nonEmpty []uint64
}

func newClassQueues() classQueues {
	return classQueues{
		heaps:    make([]groupHeap, classCount),
		nonEmpty: make([]uint64, (classCount+63)/64),
	}
}

func (queues *classQueues) add(group *group, class int) {
	group.class = class
	queues.heaps[class].push(group)
	queues.nonEmpty[class/64] |= 1 << (class % 64)
}

func (queues *classQueues) remove(group *group) {
	heap := &queues.heaps[group.class]
	heap.remove(group)
	if len(heap.groups) == 0 {
		queues.nonEmpty[group.class/64] &^= 1 << (group.class % 64)
	}
}

// best returns the first group, in the order of before, in the classes from low to
// high inclusive, or nil.
func (queues *classQueues) best(low, high int) *group {
	var best *group
	for word := low / 64; word*64 <= high; word++ {
		set := queues.nonEmpty[word]
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

// timerHeap is a heap of jobs ordered by recheckAt. The entries hold copies of the
// times, so that comparisons don't access the jobs. It implements heap.Interface.
type timerHeap struct {
	entries []timerEntry
}

type timerEntry struct {
	// at is the job's recheckAt in Unix nanoseconds.
	at  int64
	job *jobState
}

func (timers *timerHeap) Len() int { return len(timers.entries) }

func (timers *timerHeap) Less(i, j int) bool {
	return timers.entries[i].at < timers.entries[j].at
}

func (timers *timerHeap) Swap(i, j int) {
	timers.entries[i], timers.entries[j] = timers.entries[j], timers.entries[i]
	timers.entries[i].job.timerIndex = i
	timers.entries[j].job.timerIndex = j
}

// Push appends a *jobState. It is called by container/heap.
func (timers *timerHeap) Push(pushed any) {
	job := pushed.(*jobState)
	job.timerIndex = len(timers.entries)
	timers.entries = append(timers.entries, timerEntry{
		at:  job.recheckAt.UnixNano(),
		job: job,
	})
}

// Pop removes the last entry and returns its *jobState. It is called by
// container/heap.
func (timers *timerHeap) Pop() any {
	last := len(timers.entries) - 1
	job := timers.entries[last].job
	timers.entries[last] = timerEntry{}
	timers.entries = timers.entries[:last]
	job.timerIndex = -1
	return job
}

// insert adds a task in descending order of the declared run times, after tasks of
// the same run time.
func (group *group) insert(task Task) {
	position, _ := slices.BinarySearchFunc(group.tasks, task, func(existing, added Task) int {
		if existing.DeclaredMs >= added.DeclaredMs {
			return -1
		}
		return 1
	})
	group.tasks = slices.Insert(group.tasks, position, task)
	group.declaredMs += task.DeclaredMs
}
