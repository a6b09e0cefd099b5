package simulation

import (
	"fmt"
	"io"
	"math"
	"time"

	charmlog "github.com/charmbracelet/log"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/dispatcher"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/version/region"
)

const (
	// schedulerReadInterval and standbyReadInterval are the times between two reads of
	// the list of workers.
	schedulerReadInterval = 400 * time.Millisecond
	standbyReadInterval   = 1500 * time.Millisecond
	// orderTimeout is the time limit of an order, in addition to the wait of a poll.
	orderTimeout = 80 * time.Millisecond
	pollTimeout  = 100 * time.Millisecond
)

// process is an entry VM. Its fields from life on are those of one process.
type process struct {
	world   *world
	node    *node
	address string

	// life counts the processes at the address.
	life       int
	alive      bool
	silent     bool
	paused     bool
	startedAt  time.Duration
	dispatcher *dispatcher.Simulated
	inbox      *link.Inbox
	role       dispatcher.Role
	streams    map[string]*stream
	lastStream uint64
	// backlog holds what arrives during a pause, and wakingUp is set while it is read
	// afterwards.
	backlog   []received
	wakingUp  bool
	directory directory
	callers   []*connection
	// lag is how long what arrives waits in the queue, and handledUntil when the queue is
	// handled.
	lag          time.Duration
	handledUntil time.Duration
}

func newProcess(world *world, number int) *process {
	return &process{
		world: world,
		node: &node{
			name:      fmt.Sprintf("p%d", number),
			domain:    number % domainCount,
			isProcess: true,
		},
		address: fmt.Sprintf("10.0.0.%d:1", number+1),
	}
}

func (process *process) member() region.Member {
	weight := 1.0
	if process.world.overload.isDivided() {
		weight = weakProcess
	}
	return region.Member{
		Address:     process.address,
		Name:        process.node.name,
		Domain:      domainName(process.node.domain),
		Weight:      weight,
		Incarnation: uint64(process.life)<<8 | uint64(process.node.name[1]-'0'),
	}
}

// start starts a process at the address.
func (process *process) start() {
	world := process.world
	process.life++
	process.alive = true
	process.silent = false
	process.paused = false
	process.startedAt = world.now
	process.role = dispatcher.RoleStandby
	process.inbox = link.NewInbox()
	process.streams = make(map[string]*stream)
	process.lastStream = 0
	process.backlog = nil
	process.wakingUp = false
	process.lag = 0
	process.handledUntil = 0
	process.directory = directory{
		entries: make(map[string]cell.Upstream),
	}
	var peers []string
	for _, other := range world.processes {
		if other != process {
			peers = append(peers, other.address)
		}
	}
	logger := logevent.New(io.Discard, charmlog.FatalLevel, process.node.name)
	if world.options.Log != nil {
		logger = logevent.New(processWriter{
			world: world,
			name:  process.node.name,
		}, charmlog.DebugLevel, process.node.name)
	}
	relayFrom := math.MaxInt
	if world.options.Seed%4 == 3 {
		relayFrom = 1
	}
	world.trace("%s process starts", process.node.name)
	process.dispatcher = dispatcher.NewSimulated(world.time(), dispatcher.Options{
		Self:         process.member(),
		Peers:        peers,
		RelayFrom:    relayFrom,
		Logger:       logger,
		Limits:       world.overload.limits(),
		OnRoleChange: process.changeRole,
	}, process)
	process.dispatcher.SetRoutes(world.routes)
	if !world.blocked(process.node, world.log.node) {
		process.dispatcher.SetMembers(world.members())
	}
	process.handleQueued()
	process.repeat(dispatcher.TickInterval, process.tick)
	process.readList()
}

// repeat calls an action at an interval until the process ends.
func (process *process) repeat(interval time.Duration, action func()) {
	life := process.life
	var next func()
	next = func() {
		if process.life == life && process.alive {
			action()
			process.world.after(interval, next)
		}
	}
	process.world.after(process.world.between(0, interval), next)
}

// later schedules an action of the process, unless that has ended by then.
func (process *process) later(delay time.Duration, action func()) {
	life := process.life
	process.world.after(delay, func() {
		if process.life == life && process.alive {
			action()
		}
	})
}

// receive passes something from outside to the process, when it is not paused.
func (process *process) receive(action func()) { process.receiveFrom(nil, action) }

// enqueue handles something that has been received, after what waits in the queue of a
// process that lags.
func (process *process) enqueue(action func()) {
	now := process.world.now
	if process.lag == 0 && now >= process.handledUntil {
		action()
		return
	}
	process.handledUntil = max(process.handledUntil, now+process.lag)
	process.later(process.handledUntil-now, func() { process.receive(action) })
}

func (process *process) handleQueued() {
	process.dispatcher.HandleQueued(process.world.time())
	process.takeAnswers()
}

func (process *process) tick() {
	if process.paused {
		return
	}
	process.enqueue(func() {
		process.dispatcher.Tick(process.world.time())
		process.handleQueued()
	})
}

// pause stops the process for a time. What arrives meanwhile is handled afterwards,
// before or after the tick that is due.
func (process *process) pause(length time.Duration) {
	if !process.alive || process.paused {
		return
	}
	process.world.trace("%s is paused for %v", process.node.name, length)
	process.paused = true
	process.later(length, func() {
		process.paused = false
		if process.world.chance(0.5) {
			process.tick()
		}
		if process.world.overload != nil {
			process.readBacklog()
			return
		}
		process.handleBacklog()
	})
}

// end ends the process. A silent one leaves its peers without a sign.
func (process *process) end(silent bool) {
	if !process.alive {
		return
	}
	process.world.trace("%s process ends (silent: %v)", process.node.name, silent)
	process.alive = false
	process.silent = silent
	process.role = dispatcher.RoleMember
	for _, connection := range process.callers {
		connection.broken(true)
	}
	process.callers = nil
	if silent {
		return
	}
	for _, other := range process.world.processes {
		if other.alive && other.streams[process.address] != nil {
			other.streams[process.address].peerEnded()
		}
	}
}

func (process *process) changeRole(role dispatcher.Role) {
	process.role = role
	if role == dispatcher.RoleScheduler {
		process.world.result.Takeovers++
		process.world.aimTrouble(process)
	}
	if role != dispatcher.RoleMember {
		process.later(0, process.read)
	}
}

// readList reads the list of workers at the interval of the process's role.
func (process *process) readList() {
	process.read()
	interval := standbyReadInterval
	if process.role == dispatcher.RoleScheduler {
		interval = schedulerReadInterval
	}
	process.later(interval, process.readList)
}

// read reads the list of workers once.
func (process *process) read() {
	world := process.world
	if process.paused {
		return
	}
	if world.blocked(process.node, world.log.node) || world.blocked(world.log.node, process.node) {
		process.directory.recordOutage(world.now)
		return
	}
	list := world.log.list()
	readAt := world.time()
	delay := world.between(time.Millisecond, 6*time.Millisecond)
	if world.log.slow {
		delay = world.between(100*time.Millisecond, time.Second)
	}
	if world.evacuations != nil {
		process.later(delay, func() { world.evacuations.read(process) })
	}
	process.later(delay, func() {
		process.receive(func() { process.dispatcher.SetUpstreams(process.directory.apply(world.now, list), readAt) })
	})
}

// Execute sends an order to a worker, as the product's client does.
func (process *process) Execute(order relay.Order, done func(reply cell.Event)) {
	world := process.world
	exchange := &exchange{
		process: process,
		life:    process.life,
		order:   order,
		sentAt:  world.time(),
		done:    done,
		worker:  world.findWorker(order.Upstream()),
	}
	if world.evacuations != nil {
		world.evacuations.checkOrder(process, order)
	}
	exchange.bootSentTo = exchange.worker.life
	timeout := orderTimeout
	if order.Poll != nil {
		timeout = pollTimeout + order.Poll.Wait
	}
	world.after(timeout, func() { exchange.finish(cell.OutcomeUnknown) })
	exchange.send(world.now + timeout)
}

func (world *world) findWorker(id string) *worker {
	for _, worker := range world.workers {
		if worker.node.name == id {
			return worker
		}
	}
	return nil
}

// exchange is an order and its reply.
type exchange struct {
	process *process
	life    int
	order   relay.Order
	sentAt  time.Time
	done    func(reply cell.Event)
	worker  *worker
	// bootSentTo is the life of the worker when the order was sent.
	bootSentTo int
	finished   bool
	// answered is set when the answer has reached the process, which may be paused.
	answered bool
	clockMs  int64
	listing  cell.PollReplied
}

// finish passes the reply to the process that sent the order, unless it has one.
func (exchange *exchange) finish(outcome cell.Outcome) {
	process := exchange.process
	if exchange.finished || process.life != exchange.life || !process.alive {
		return
	}
	if process.paused && outcome == cell.OutcomeUnknown && exchange.answered && process.world.chance(0.5) {
		return
	}
	exchange.answered = true
	process.receive(func() {
		if exchange.finished {
			return
		}
		exchange.finished = true
		reply := exchange.reply(outcome)
		process.enqueue(func() { exchange.done(reply) })
	})
}

// reply returns the event for the outcome of the order.
func (exchange *exchange) reply(outcome cell.Outcome) cell.Event {
	common := cell.Reply{
		Outcome:    outcome,
		SentAt:     exchange.sentAt,
		ReceivedAt: exchange.process.world.time(),
	}
	if outcome != cell.OutcomeUnknown && outcome != cell.OutcomeNotSent && outcome != cell.OutcomeRefused {
		common.Clock = exchange.clockMs
	}
	switch order := exchange.order; {
	case order.Start != nil:
		common.Order = order.Start.Order
		return cell.StartReplied{
			Reply: common,
			Run:   order.Start.Run,
		}
	case order.Stop != nil:
		common.Order = order.Stop.Order
		return cell.StopReplied{
			Reply: common,
			Run:   order.Stop.Run,
		}
	default:
		common.Order = order.Poll.Order
		replied := cell.PollReplied{}
		if outcome == cell.OutcomeDone {
			replied = exchange.listing
		}
		replied.Reply = common
		replied.Immediate = order.Poll.Immediate
		return replied
	}
}

// send sends the order into the network. The call times out at a time, when its
// connection is reset, so that an order which a cut holds up is lost.
func (exchange *exchange) send(timesOutAt time.Duration) {
	world := exchange.process.world
	worker := exchange.worker
	faults := worker.faults
	switch {
	case world.refused(exchange.process.node, worker.node):
		world.after(2*world.latency(), func() { exchange.finish(cell.OutcomeRefused) })
	case world.blocked(exchange.process.node, worker.node):
		if world.chance(0.4) {
			// No connection could be opened.
			world.after(orderTimeout-time.Millisecond, func() { exchange.finish(cell.OutcomeNotSent) })
			return
		}
		exchange.retransmit(min(world.now+2*time.Second, timesOutAt))
	case world.chance(faults.late):
		world.after(world.between(2*time.Second, 12*time.Second), exchange.carryOutLate)
	case world.chance(faults.unhealthy):
		world.after(2*world.latency(), func() { exchange.finish(cell.OutcomeUnhealthy) })
	case world.chance(faults.lostAnswer):
		world.after(world.latency(), exchange.carryOutLate)
	default:
		world.after(world.latency(), func() { exchange.arrive(world.chance(faults.slowAnswer)) })
	}
}

// retransmit carries the order out after a cut that ends before a time, without an answer
// in time.
func (exchange *exchange) retransmit(until time.Duration) {
	world := exchange.process.world
	world.after(world.between(100*time.Millisecond, 400*time.Millisecond), func() {
		switch {
		case world.now > until:
		case world.blocked(exchange.process.node, exchange.worker.node):
			exchange.retransmit(until)
		default:
			exchange.carryOutLate()
		}
	})
}

// carryOutLate carries the order out without an answer.
func (exchange *exchange) carryOutLate() {
	isForBoot := exchange.worker.life == exchange.bootSentTo || exchange.process.world.lateOrdersSurvive()
	if exchange.worker.up && isForBoot {
		exchange.carryOut(func() {})
	}
}

// arrive carries the order out and answers it.
func (exchange *exchange) arrive(slowly bool) {
	world := exchange.process.world
	if !exchange.worker.up {
		exchange.finish(cell.OutcomeRefused)
		return
	}
	life := exchange.worker.life
	respond := func(outcome cell.Outcome) {
		delay := world.latency()
		if slowly {
			delay += world.between(10*time.Millisecond, 120*time.Millisecond)
		}
		world.after(delay, func() {
			if exchange.worker.life == life && !world.blocked(exchange.worker.node, exchange.process.node) {
				exchange.finish(outcome)
			}
		})
	}
	outcome := exchange.carryOut(func() { respond(cell.OutcomeDone) })
	if exchange.order.Poll == nil || outcome != cell.OutcomeDone {
		respond(outcome)
	}
}

// carryOut carries the order out at the worker's present process. answer is called when a
// poll is answered.
func (exchange *exchange) carryOut(answer func()) cell.Outcome {
	worker := exchange.worker
	exchange.clockMs = worker.clockMs()
	switch order := exchange.order; {
	case order.Start != nil:
		return worker.start(*order.Start)
	case order.Stop != nil:
		return worker.stop(*order.Stop)
	default:
		return worker.poll(*order.Poll, func() {
			exchange.clockMs = worker.clockMs()
			worker.list(&exchange.listing)
			answer()
		})
	}
}
