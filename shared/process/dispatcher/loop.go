package dispatcher

import (
	"context"
	"strconv"
	"time"

	"tanagerfall/shared/connection/link"
	"tanagerfall/shared/connection/relay"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/cell"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/version/region"
	"tanagerfall/shared/version/routing"
)

const (
	// tokenStep separates the fencing tokens of one process; the rest of a
	// token tells processes apart.
	tokenStep = 1024
	// staleAfter is the delay from which a message counts as held up. It is
	// below the silence after which a process counts as gone, and above the
	// time for which a busy process leaves messages unread.
	staleAfter = 600 * time.Millisecond
	// cancelWait is how long a caller's cancellation waits for the scheduler.
	cancelWait = time.Second
)

// loop is the state of the control goroutine.
type loop struct {
	dispatcher *Dispatcher
	options    Options
	ctx        context.Context
	now        time.Time
	lastTick   time.Time

	view      *region.View
	estimator *estimate.Estimator
	// leader is the process that this one submits to; empty if none is known.
	leader string
	held   map[string]*heldJob

	// cell is nil while this process does not schedule; activation numbers
	// the Cells of this process.
	cell       *cell.Cell
	activation int
	token      int64
	// fronts holds the entry VMs with jobs in the Cell, by address.
	fronts map[string]string
	// relays is nil while this process does not schedule; suspects are those
	// that were logged last.
	relays   *relay.Tracker
	suspects []string
	// carrying counts the orders that are carried out for other processes,
	// replies holds the answers that are not sent yet, and batched counts those
	// and the orders for relays.
	carrying int
	replies  map[destination][]relay.Reply
	batched  int

	routes    *routing.Table
	upstreams []cell.Upstream
	listedAt  time.Time
	// goneAt holds when upstreams left the list.
	goneAt       map[string]time.Time
	cancels      map[uint64]pendingCancel
	cancelNumber uint64
	// told holds when a peer was last sent something that is spaced.
	told map[string]time.Time
	pace pace
	// settled is what the last heartbeats told.
	settled   bool
	gaugesAt  time.Time
	beatAt    time.Time
	membersAt time.Time
	speedsAt  time.Time
}

type pendingCancel struct {
	known chan<- bool
	until time.Time
}

// frontName names one incarnation of an entry VM.
func frontName(address string, incarnation uint64) string {
	return address + "#" + strconv.FormatUint(incarnation, 36)
}

func (loop *loop) selfName() string {
	self := loop.view.Self()
	return frontName(self.Address, self.Incarnation)
}

func (loop *loop) begin() {
	for _, address := range loop.options.Peers {
		loop.learn([]region.Member{{
			Address: address,
		}})
	}
}

func (loop *loop) handle(now time.Time, event event) {
	loop.now = now
	switch event := event.(type) {
	case linked:
		loop.linked(event.event)
	case accepted:
		loop.accept(event)
	case callerLeft:
		loop.callerLeft(event)
	case cancelAsked:
		loop.cancel(event)
	case routesRead:
		loop.adoptRoutes(event.table, "platform")
	case upstreamsRead:
		loop.adoptUpstreams(event.rows, 0)
	case membersRead:
		loop.learn(event.members)
	case replied:
		if loop.cell != nil && event.activation == loop.activation {
			loop.orderReplied(event.event, event.began)
		}
	case carried:
		loop.carrying--
		loop.sendReply(event.to, event.reply)
	case leaveAsked:
		loop.leave()
	case giveUpAsked:
		for _, held := range loop.held {
			loop.giveUp(held, "stopping")
		}
	case dumpAsked:
		event.dump <- loop.state()
	case ticked:
		loop.tick()
	}
}

func (loop *loop) tick() {
	gap := loop.now.Sub(loop.lastTick) - tickEvery
	loop.lastTick = loop.now
	if gap <= pauseLimit {
		gap = 0
	}
	loop.view.Advance(loop.now, gap)
	if gap > 0 {
		loop.log(logevent.ProcessPaused, "pause", gap)
		loop.view.Abstain(abstainFor)
		loop.standDown("paused")
	}
	for _, address := range loop.view.RemoveExpired() {
		loop.dispatcher.links.Close(address)
	}
	if settled := loop.view.Eligible(); settled != loop.settled {
		loop.settled = settled
		loop.beatAll(false)
	}
	loop.elect()
	loop.beat()
	loop.tickHeld()
	loop.expireCancels()
	loop.yield()
	if loop.cell != nil {
		loop.pace.turn(loop.now)
		loop.dropLostFronts()
		loop.tickRelays()
		loop.act(loop.cell.Handle(loop.now, cell.Tick{}))
		loop.publishPending(loop.cell.Pending())
	}
	loop.gauges()
	loop.dispatcher.ready.Store(!loop.view.Leaving() && loop.routes != nil && loop.leader != "")
}

func (loop *loop) publishPending(counts map[string]int) {
	loop.dispatcher.pending.Store(&counts)
}

// learn opens links to processes that were not known.
func (loop *loop) learn(members []region.Member) {
	for _, address := range loop.view.AddMembers(members) {
		loop.dispatcher.links.Open(loop.ctx, address)
	}
}

func (loop *loop) linked(event link.Event) {
	switch event := event.(type) {
	case link.Received:
		if event.Delay > staleAfter {
			loop.receiveStale(event.Message, event.Delay)
			return
		}
		loop.receive(event.Message)
	case link.Up:
		loop.sendBeat(event.Address, true)
		if event.Address == loop.leader {
			loop.submitAll()
		}
	case link.Down:
		loop.relayBroke(event.Address)
		if event.Refused {
			loop.view.HandleRefusal(event.Address)
			loop.elect()
		}
	}
}

func (loop *loop) receive(message link.Message) {
	switch {
	case message.Heartbeat != nil:
		loop.heard(*message.Heartbeat)
	case message.Submit != nil:
		loop.submitted(message.From, message.Incarnation, *message.Submit)
	case message.Withdraw != nil:
		loop.tell(cell.JobWithdrawn{
			EntryVM: frontName(message.From, message.Incarnation),
			ID:      message.Withdraw.JobID,
		})
	case message.Answer != nil:
		loop.answered(message.From, *message.Answer)
	case message.Decline != nil:
		loop.declined(message.From, message.Decline.JobID)
	case message.Cancel != nil:
		loop.cancelFor(message.From, *message.Cancel)
	case message.Cancelled != nil:
		loop.cancelled(*message.Cancelled)
	case message.Routes != nil:
		loop.adoptRoutes(message.Routes.Index(), message.From)
	case message.Upstreams != nil:
		loop.adoptUpstreams(message.Upstreams.Upstreams, message.Upstreams.Age)
	case message.Released != nil:
		for _, release := range message.Released.Jobs {
			loop.released(message.From, release)
		}
		loop.view.HandleStepDown(message.From)
		loop.elect()
	case message.Orders != nil:
		loop.carry(message.From, message.Incarnation, message.Orders.Orders)
	case message.Replies != nil:
		loop.relayed(*message.Replies)
	case message.Speeds != nil:
		for id, speed := range message.Speeds.Upstreams {
			loop.estimator.Declare(id, speed)
		}
	}
}

// receiveStale takes a message that a cut or a pause held up. What its sender
// believes or wants may have changed since: it is not counted as heard, a job
// is declined, so that its entry VM submits it anew if it still wants that, and
// orders are not carried out.
func (loop *loop) receiveStale(message link.Message, delay time.Duration) {
	loop.dispatcher.meters.count(metricStale)
	switch {
	case message.Heartbeat != nil, message.Released != nil:
	case message.Submit != nil:
		loop.log(logevent.MessageStale, "member", message.From, "job", message.Submit.ID, "delay", delay)
		loop.decline(message.From, message.Submit.ID)
	case message.Orders != nil:
		loop.log(logevent.MessageStale, "member", message.From, "orders", len(message.Orders.Orders), "delay", delay)
		to := destination{
			address:     message.From,
			incarnation: message.Incarnation,
		}
		for _, order := range message.Orders.Orders {
			loop.sendReply(to, relay.NewReply(order.Number, nil))
		}
	default:
		loop.receive(message)
	}
}

// tell hands an event to the Cell, if this process schedules.
func (loop *loop) tell(event cell.Event) {
	if loop.cell != nil {
		loop.act(loop.cell.Handle(loop.now, event))
	}
}

func (loop *loop) send(address string, message link.Message) {
	self := loop.view.Self()
	message.From = self.Address
	message.Incarnation = self.Incarnation
	loop.dispatcher.links.Send(address, message)
}

func (loop *loop) leave() {
	if loop.view.Leaving() {
		return
	}
	loop.log(logevent.ProcessStopping)
	loop.view.Leave()
	loop.dispatcher.ready.Store(false)
	loop.elect()
	loop.beatAll(false)
}

func (loop *loop) log(event logevent.Event, pairs ...any) {
	loop.options.Logger.Log(event, pairs...)
}
