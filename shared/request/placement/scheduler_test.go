package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/submission"
)

var policies = []Policy{
	Target{},
	Greedy{},
	Random{},
	RoundRobin{},
	LeastLoaded{
		ViewAgeMs: 100,
	},
	TwoChoices{},
}

// placedTask is a task that the Scheduler placed and that has not finished.
type placedTask struct {
	assignment Assignment
	need       Need
}

// model tracks the expected state of a Scheduler and compares the two. It contains the
// actions of a property-based test.
type model struct {
	scheduler *Scheduler
	now       time.Time
	upstreams map[string]Upstream
	open      map[string]bool
	running   []placedTask
	needs     map[taskID]Need
	assigned  map[taskID]bool
	caps      map[string]int
	teams     map[submission.Key]string
	waiting   int
}

// taskID identifies a task by the key of its job and its index in the job.
type taskID struct {
	key   submission.Key
	index int
}

// TestPlacementKeepsLimits guards against a task being placed twice, on a closed
// upstream, beyond the capacity of an upstream or beyond the slot cap of its team. The
// sequence of changes is random.
func TestPlacementKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom(policies).Draw(t, "policy")
		model := &model{
			scheduler: New(policy, estimate.New(), rand.New(rand.NewPCG(1, 1))),
			now:       time.Unix(1000, 0),
			upstreams: make(map[string]Upstream),
			open:      make(map[string]bool),
			needs:     make(map[taskID]Need),
			assigned:  make(map[taskID]bool),
			caps:      make(map[string]int),
			teams:     make(map[submission.Key]string),
		}
		t.Repeat(map[string]func(*rapid.T){
			"upstream": model.setUpstream,
			"close":    model.closeUpstream,
			"cap":      model.setCap,
			"enqueue":  model.enqueue,
			"place":    model.place,
			"finish":   model.finish,
			"requeue":  model.requeue,
			"drop":     model.drop,
			"":         model.check,
		})
	})
}

func (model *model) setUpstream(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	model.upstreams[id] = Upstream{
		ID:           id,
		Rack:         rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"),
		Slots:        rapid.IntRange(1, 4).Draw(t, "slots"),
		Cores:        rapid.IntRange(0, 4).Draw(t, "cores"),
		MemoryMb:     rapid.IntRange(0, 4).Draw(t, "memory"),
		Accelerators: rapid.IntRange(0, 2).Draw(t, "accelerators"),
		Speed:        rapid.Float64Range(0.5, 2).Draw(t, "speed"),
	}
	model.open[id] = true
	model.scheduler.SetUpstream(model.upstreams[id])
}

func (model *model) closeUpstream(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	model.open[id] = false
	model.scheduler.CloseUpstream(id)
}

func (model *model) setCap(t *rapid.T) {
	team := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "team")
	model.caps[team] = rapid.IntRange(0, 3).Draw(t, "cap")
	model.scheduler.SetTeam(team, 1, model.caps[team])
}

func (model *model) enqueue(t *rapid.T) {
	job := Job{
		Key: submission.Key{
			Counter: uint64(len(model.teams)),
		},
		Team:    rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "team"),
		Kind:    "k",
		Arrival: model.now,
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "tasks") {
		task := Task{
			Index:      i,
			DeclaredMs: rapid.Float64Range(1, 1000).Draw(t, "declared"),
			Need: Need{
				Cores:        rapid.IntRange(0, 2).Draw(t, "cores"),
				MemoryMb:     rapid.IntRange(0, 2).Draw(t, "memory"),
				Accelerators: rapid.IntRange(0, 1).Draw(t, "accelerators"),
			},
		}
		job.Tasks = append(job.Tasks, task)
		model.needs[taskID{key: job.Key, index: i}] = task.Need
	}
	model.teams[job.Key] = job.Team
	model.waiting += len(job.Tasks)
	model.scheduler.Enqueue(job)
}

func (model *model) place(t *rapid.T) {
	model.now = model.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
	for {
		assignment, placed := model.scheduler.Next(model.now)
		if !placed {
			return
		}
		id := taskID{key: assignment.Key, index: assignment.Index}
		if model.assigned[id] {
			t.Fatalf("task %v was placed twice", id)
		}
		if !model.open[assignment.Upstream] {
			t.Fatalf("task %v was placed on the closed upstream %s", id, assignment.Upstream)
		}
		model.assigned[id] = true
		model.waiting--
		model.running = append(model.running, placedTask{
			assignment: assignment,
			need:       model.needs[id],
		})
		model.checkCapacity(t, assignment.Upstream)
		model.checkCap(t, model.teams[assignment.Key])
	}
}

func (model *model) checkCapacity(t *rapid.T, id string) {
	slots, used := 0, Need{}
	for _, task := range model.running {
		if task.assignment.Upstream == id {
			slots++
			used.Cores += task.need.Cores
			used.MemoryMb += task.need.MemoryMb
			used.Accelerators += task.need.Accelerators
		}
	}
	upstream := model.upstreams[id]
	if slots > upstream.Slots || used.Cores > upstream.Cores ||
		used.MemoryMb > upstream.MemoryMb || used.Accelerators > upstream.Accelerators {
		t.Fatalf("%d running tasks with a total need of %+v exceed the capacity of upstream %+v", slots, used, upstream)
	}
}

func (model *model) checkCap(t *rapid.T, team string) {
	used := 0
	for _, task := range model.running {
		if model.teams[task.assignment.Key] == team {
			used++
		}
	}
	if limit := model.caps[team]; limit > 0 && used > limit {
		t.Fatalf("team %s occupies %d slots, more than its cap of %d", team, used, limit)
	}
}

// finishRandom finishes a random running task and returns it.
func (model *model) finishRandom(t *rapid.T) placedTask {
	if len(model.running) == 0 {
		t.Skip("no task is running")
	}
	i := rapid.IntRange(0, len(model.running)-1).Draw(t, "running")
	task := model.running[i]
	model.running = append(model.running[:i], model.running[i+1:]...)
	assignment := task.assignment
	if !model.scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index) {
		t.Fatalf("Finish doesn't know running task %v", assignment)
	}
	if model.scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index) {
		t.Fatalf("Finish accepted task %v twice", assignment)
	}
	return task
}

func (model *model) finish(t *rapid.T) {
	model.finishRandom(t)
}

func (model *model) requeue(t *rapid.T) {
	task := model.finishRandom(t)
	key := task.assignment.Key
	model.assigned[taskID{key: key, index: task.assignment.Index}] = false
	model.waiting++
	model.scheduler.Requeue(Job{
		Key:     key,
		Team:    model.teams[key],
		Kind:    "k",
		Arrival: model.now,
	}, Task{
		Index:      task.assignment.Index,
		DeclaredMs: 100,
		Need:       task.need,
	})
}

func (model *model) drop(t *rapid.T) {
	if len(model.teams) == 0 {
		t.Skip("no job was enqueued")
	}
	key := submission.Key{
		Counter: uint64(rapid.IntRange(0, len(model.teams)-1).Draw(t, "job")),
	}
	model.waiting -= model.scheduler.Drop(key)
}

func (model *model) check(t *rapid.T) {
	assert.Equal(t, model.scheduler.Waiting(), model.waiting)
	stats := model.scheduler.Stats()
	assert.Equal(t, stats.RunningTasks, len(model.running))
	assert.Equal(t, stats.WaitingTasks, model.waiting)
}
