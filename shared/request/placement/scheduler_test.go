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

type placedTask struct {
	assignment Assignment
	need       Need
}

// model checks a Scheduler against counts of its own.
type model struct {
	scheduler *Scheduler
	now       time.Time
	upstreams map[string]Upstream
	open      map[string]bool
	running   []placedTask
	needs     map[taskName]Need
	assigned  map[taskName]bool
	caps      map[string]int
	teams     map[submission.Key]string
	waiting   int
}

type taskName struct {
	key   submission.Key
	index int
}

// TestPlacementKeepsLimits guards against placing a task twice, on a closed
// upstream, beyond the slots and resources of an upstream or the cap of its
// team, under any sequence of changes.
func TestPlacementKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom(policies).Draw(t, "policy")
		model := &model{
			scheduler: New(policy, estimate.New(), rand.New(rand.NewPCG(1, 1))),
			now:       time.Unix(1000, 0),
			upstreams: make(map[string]Upstream),
			open:      make(map[string]bool),
			needs:     make(map[taskName]Need),
			assigned:  make(map[taskName]bool),
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
		model.needs[taskName{key: job.Key, index: i}] = task.Need
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
		name := taskName{key: assignment.Key, index: assignment.Index}
		if model.assigned[name] {
			t.Fatalf("task %v is placed twice", name)
		}
		if !model.open[assignment.Upstream] {
			t.Fatalf("task %v is placed on %s, which is closed", name, assignment.Upstream)
		}
		model.assigned[name] = true
		model.waiting--
		model.running = append(model.running, placedTask{
			assignment: assignment,
			need:       model.needs[name],
		})
		model.checkRoom(t, assignment.Upstream)
		model.checkCap(t, model.teams[assignment.Key])
	}
}

func (model *model) checkRoom(t *rapid.T, id string) {
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
		t.Fatalf("%d tasks with %+v run on %+v", slots, used, upstream)
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
		t.Fatalf("team %s holds %d slots, its cap is %d", team, used, limit)
	}
}

func (model *model) take(t *rapid.T) placedTask {
	if len(model.running) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(model.running)-1).Draw(t, "running")
	task := model.running[i]
	model.running = append(model.running[:i], model.running[i+1:]...)
	assignment := task.assignment
	if !model.scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index) {
		t.Fatalf("running task %v is unknown", assignment)
	}
	if model.scheduler.Finish(assignment.Upstream, assignment.Key, assignment.Index) {
		t.Fatalf("task %v finished twice", assignment)
	}
	return task
}

func (model *model) finish(t *rapid.T) {
	model.take(t)
}

func (model *model) requeue(t *rapid.T) {
	task := model.take(t)
	key := task.assignment.Key
	model.assigned[taskName{key: key, index: task.assignment.Index}] = false
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
		t.Skip("no job")
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
