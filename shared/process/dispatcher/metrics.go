package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagerfall/shared/request/cell"
)

// The names of the metrics. docs/metrics.md lists them, and a test compares the
// two.
const (
	metricAnswers           = "tanagerfall_region_answers_total"
	metricAnswerSeconds     = "tanagerfall_region_answer_seconds"
	metricWithdrawn         = "tanagerfall_region_withdrawn_total"
	metricOrders            = "tanagerfall_region_orders_total"
	metricOrderSeconds      = "tanagerfall_region_order_seconds"
	metricRunsLost          = "tanagerfall_region_runs_lost_total"
	metricStartsAllowed     = "tanagerfall_region_starts_allowed_total"
	metricLeasesExpired     = "tanagerfall_region_leases_expired_total"
	metricSchedules         = "tanagerfall_region_schedules"
	metricLiveProcesses     = "tanagerfall_region_live_processes"
	metricHeldJobs          = "tanagerfall_region_held_jobs"
	metricListAge           = "tanagerfall_region_list_age_seconds"
	metricRoutesVersion     = "tanagerfall_region_routes_version"
	metricUpstreams         = "tanagerfall_region_upstreams"
	metricTakeovers         = "tanagerfall_region_takeovers_total"
	metricDroppedLogLines   = "tanagerfall_region_log_lines_dropped_total"
	metricRelayedOrders     = "tanagerfall_region_relayed_orders"
	metricLostRelayedOrders = "tanagerfall_region_relayed_orders_lost_total"
	metricStaleMessages     = "tanagerfall_region_stale_messages_total"
	metricInvalidMessages   = "tanagerfall_region_invalid_messages_total"
	metricEvacuatedDomains  = "tanagerfall_region_evacuated_domains"
	metricEvacuatedOrders   = "tanagerfall_region_evacuated_orders_refused_total"
	metricMoves             = "tanagerfall_region_moves"
	metricMovesInVain       = "tanagerfall_region_moves_in_vain"
	metricCancellations     = "tanagerfall_region_cancellations"

	metricCancelledSubmissions = "tanagerfall_region_cancelled_submissions_total"
	metricEarlyRefusals        = "tanagerfall_region_early_refusals_total"
	metricLoad                 = "tanagerfall_region_load"
	metricDeferredJobs         = "tanagerfall_region_deferred_jobs"
	metricDiscardedStarts      = "tanagerfall_region_discarded_starts"
	metricResubmissions        = "tanagerfall_region_resubmissions_total"
	metricRepliesIgnored       = "tanagerfall_region_replies_ignored_total"
)

// MetricNames returns the names of all metrics of a Dispatcher.
func MetricNames() []string {
	return []string{
		metricAnswers, metricAnswerSeconds, metricWithdrawn, metricOrders, metricOrderSeconds, metricRunsLost, metricStartsAllowed, metricLeasesExpired, metricSchedules,
		metricLiveProcesses, metricHeldJobs, metricListAge, metricRoutesVersion, metricUpstreams, metricTakeovers, metricDroppedLogLines,
		metricRelayedOrders, metricLostRelayedOrders, metricStaleMessages, metricInvalidMessages, metricEvacuatedDomains, metricEvacuatedOrders,
		metricMoves, metricMovesInVain, metricCancellations, metricCancelledSubmissions,
		metricEarlyRefusals, metricLoad, metricDeferredJobs, metricDiscardedStarts,
		metricResubmissions, metricRepliesIgnored,
	}
}

// instruments holds the metrics of one process.
type instruments struct {
	set *metrics.Set
}

func newInstruments() *instruments {
	return &instruments{
		set: metrics.NewSet(),
	}
}

func (instruments *instruments) increment(name string) {
	instruments.set.GetOrCreateCounter(name).Inc()
}

func (instruments *instruments) setGauge(name string, value float64) {
	instruments.set.GetOrCreateGauge(name, nil).Set(value)
}

// recordAnswer counts the answer of a job and, if the job was completed, records
// how long it took.
func (instruments *instruments) recordAnswer(kind string, answer cell.Answer, elapsed time.Duration) {
	instruments.increment(fmt.Sprintf("%s{kind=%q,result=%q,reason=%q}", metricAnswers, kind, string(answer.Result), answer.Reason))
	if answer.Result == cell.Completed {
		instruments.set.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", metricAnswerSeconds, kind)).Update(elapsed.Seconds())
	}
}

// recordCall counts a call to an upstream and, except for polls, records its
// duration. A long poll mostly waits.
func (instruments *instruments) recordCall(call string, reply cell.Reply) {
	instruments.increment(fmt.Sprintf("%s{call=%q,outcome=%q}", metricOrders, call, reply.Outcome.String()))
	if call != "watch" {
		instruments.set.GetOrCreateHistogram(fmt.Sprintf("%s{call=%q}", metricOrderSeconds, call)).
			Update(reply.ReceivedAt.Sub(reply.SentAt).Seconds())
	}
}

// recordOrderReply counts the reply to an order.
func (instruments *instruments) recordOrderReply(event cell.Event) {
	switch event := event.(type) {
	case cell.StartReplied:
		instruments.recordCall("start", event.Reply)
	case cell.StopReplied:
		instruments.recordCall("stop", event.Reply)
	case cell.PollReplied:
		instruments.recordCall("watch", event.Reply)
	default:
	}
}

// gaugesInterval is the time between updates of the gauges.
const gaugesInterval = time.Second

// updateGauges sets the gauges to the present state.
func (loop *loop) updateGauges() {
	if loop.now.Sub(loop.gaugesUpdatedAt) < gaugesInterval {
		return
	}
	loop.gaugesUpdatedAt = loop.now
	loop.updateRole()
	instruments := loop.dispatcher.instruments
	isScheduler := 0.0
	if loop.cell != nil {
		isScheduler = 1
	}
	instruments.setGauge(metricSchedules, isScheduler)
	instruments.setGauge(metricLiveProcesses, float64(loop.view.LiveCount()))
	instruments.setGauge(metricHeldJobs, float64(len(loop.heldJobs)))
	instruments.setGauge(metricCancellations, float64(loop.cancellations.Len()))
	instruments.setGauge(metricListAge, loop.listAge().Seconds())
	if loop.routes != nil {
		instruments.setGauge(metricRoutesVersion, float64(loop.routes.Version))
	}
	instruments.setGauge(metricEvacuatedDomains, float64(len(loop.evacuations.Domains())))
	instruments.setGauge(metricDroppedLogLines, float64(loop.options.Logger.Dropped()))
	instruments.setGauge(metricRelayedOrders, float64(loop.relayedOrders))
	if loop.cell == nil {
		return
	}
	counters := loop.cell.Counters()
	instruments.setGauge(metricMoves, float64(counters.MovedRuns))
	instruments.setGauge(metricMovesInVain, float64(counters.MovedInVain))
	instruments.setGauge(metricDiscardedStarts, float64(counters.DiscardedStarts))
	for service, load := range loop.cell.Loads() {
		instruments.setGauge(fmt.Sprintf("%s{service=%q}", metricLoad, service), load.Load)
		instruments.setGauge(fmt.Sprintf("%s{service=%q}", metricDeferredJobs, service), float64(load.Deferred))
	}
	for state, count := range loop.cell.UpstreamStates() {
		instruments.setGauge(fmt.Sprintf("%s{state=%q}", metricUpstreams, state), float64(count))
	}
}
