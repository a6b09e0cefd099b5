package region

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// firstCombinedSeed is the first seed whose soak plays all disturbances and job classes
// of rplar-breizh beside cuts, in series on the same processes and workers.
const firstCombinedSeed = 3000

// combinesFaults reports whether the seed is one with all disturbances at once.
func (options Options) combinesFaults() bool {
	return options.Seed >= firstCombinedSeed && !options.overloads()
}

const (
	// spareWorkers is the number of workers that join during the faults.
	spareWorkers = 6
	// schedulerQueryTimeout limits a request for a process's state, which a process that
	// is not cut off answers in a few ms.
	schedulerQueryTimeout = 150 * time.Millisecond
	// takeoverTimeout limits the wait for the next scheduler, which is in charge 2 to 3 s
	// after the last one was lost.
	takeoverTimeout = 4 * time.Second
	// takeoverInterval is the time between two searches for it.
	takeoverInterval = 30 * time.Millisecond
)

// jobClass is a class of jobs of rplar-breizh.
type jobClass struct {
	// minTasks and maxTasks bound the number of tasks.
	minTasks, maxTasks int
	// taskTime is the mean run time of a task.
	taskTime time.Duration
}

// recoveryJob is the class dedication-queue.
var recoveryJob = jobClass{
	minTasks: 2,
	maxTasks: 4,
	taskTime: 200 * time.Millisecond,
}

// jobClasses holds the classes caller-check, dedication-queue and alert-flag. The first and
// the last are more frequent than there, so that more tasks run during a fault.
var jobClasses = []jobClass{
	{
		minTasks: 8,
		maxTasks: 32,
		taskTime: 60 * time.Millisecond,
	},
	recoveryJob,
	recoveryJob,
	{
		minTasks: 2,
		maxTasks: 8,
		taskTime: 900 * time.Millisecond,
	},
}

const (
	// classMilliCores is the processor capacity that a task takes: two run on a worker.
	classMilliCores = 6800
	// classTimeBudget is the time for which most callers wait.
	classTimeBudget = 1500 * time.Millisecond
	// classBudgetShare is the share of callers with classTimeBudget. The others wait as
	// long as those of earlier seeds, so that their jobs outlive a change of scheduler.
	classBudgetShare = 0.6
	// minLeave and leaveRange bound the time after which callers leave early.
	minLeave   = 100 * time.Millisecond
	leaveRange = 900 * time.Millisecond
	// estimateDeviation is the largest relative deviation of declared estimates.
	estimateDeviation = 0.4
)

// useClass gives the caller a job of some class. After the faults it is a small one: what
// is left of the jobs before them then takes too little capacity to refuse any.
func (caller *caller) useClass(faultsEnded bool) {
	job := jobClasses[caller.random.IntN(len(jobClasses))]
	if faultsEnded {
		job = recoveryJob
	}
	caller.tasks = job.minTasks + caller.random.IntN(job.maxTasks-job.minTasks+1)
	estimate := float64(job.taskTime.Milliseconds()) * (1 + estimateDeviation*(2*caller.random.Float64()-1))
	caller.body = jobBody(job.taskTime.String(), caller.tasks, classMilliCores, int(estimate))
	if faultsEnded {
		return
	}
	if caller.random.Float64() < classBudgetShare {
		caller.timeBudget = classTimeBudget
	}
	if caller.random.Float64() < caller.region.leaveShare() {
		caller.leaveAfter = minLeave + time.Duration(caller.random.Int64N(int64(leaveRange)))
	}
}

// leaveShare returns the share of callers that leave early.
func (region *region) leaveShare() float64 {
	region.mutex.Lock()
	defer region.mutex.Unlock()
	return region.leaving
}

// combinedState is the state that only a soak with combined faults has. The region's mutex protects
// leaving and absent.
type combinedState struct {
	// leaving is the share of callers that leave early.
	leaving float64
	// absent holds the workers, by index, that are not on the list.
	absent map[int]bool
	// callerConns holds the connections of callers.
	callerConns connSet
}

// connSet is the set of the connections that it dialed. It is safe for concurrent use.
type connSet struct {
	mutex sync.Mutex
	conns []*net.TCPConn
}

// dial opens a connection of the set.
func (set *connSet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		set.mutex.Lock()
		defer set.mutex.Unlock()
		set.conns = append(set.conns, tcp)
	}
	return conn, err
}

// reset closes a share of the connections with a TCP reset. Connections that are closed
// already are not affected.
func (set *connSet) reset(share float64) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for _, conn := range set.conns {
		if rand.Float64() < share {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// schedulers returns the indices of the processes that schedule, as far as they answer.
func (region *region) schedulers() []int {
	scheduling := make([]bool, len(region.processes))
	var queries sync.WaitGroup
	for index, process := range region.processes {
		queries.Go(func() { scheduling[index] = process.schedules() })
	}
	queries.Wait()
	var indices []int
	for index, schedules := range scheduling {
		if schedules {
			indices = append(indices, index)
		}
	}
	return indices
}

// schedules reports whether the process says that it schedules.
func (process *process) schedules() bool {
	ctx, cancel := context.WithTimeout(context.Background(), schedulerQueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address(process.ip, controlPort)+"/state", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var state struct {
		Schedules bool `json:"schedules"`
	}
	return json.NewDecoder(response.Body).Decode(&state) == nil && state.Schedules
}

// jobBody returns the body of a request for a job of one step.
func jobBody(spec string, tasks, milliCores, estimateMs int) string {
	return fmt.Sprintf(`{"spec":%q,"best-effort":true,"steps":[{"count":%d,"cpu":%d,"estimate-ms":%d}]}`,
		spec, tasks, milliCores, estimateMs)
}
