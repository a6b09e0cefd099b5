package dispatcher

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"tanagerfall/shared/request/cell"
)

// The metrics of a dispatcher. docs/metrics.md lists them, and a test holds the
// two against each other.
const (
	metricAnswers    = "tanagerfall_region_answers_total"
	metricSeconds    = "tanagerfall_region_answer_seconds"
	metricWithdrawn  = "tanagerfall_region_withdrawn_total"
	metricOrders     = "tanagerfall_region_orders_total"
	metricOrderTime  = "tanagerfall_region_order_seconds"
	metricRunsLost   = "tanagerfall_region_runs_lost_total"
	metricSchedules  = "tanagerfall_region_schedules"
	metricLive       = "tanagerfall_region_live_processes"
	metricHeld       = "tanagerfall_region_held_jobs"
	metricListAge    = "tanagerfall_region_list_age_seconds"
	metricVersion    = "tanagerfall_region_routes_version"
	metricUpstreams  = "tanagerfall_region_upstreams"
	metricTakeovers  = "tanagerfall_region_takeovers_total"
	metricSuppressed = "tanagerfall_region_log_lines_dropped_total"
	metricRelayed    = "tanagerfall_region_relayed_orders"
	metricRelayLost  = "tanagerfall_region_relayed_orders_lost_total"
	metricStale      = "tanagerfall_region_stale_messages_total"
)

// MetricNames returns the names of all metrics.
func MetricNames() []string {
	return []string{
		metricAnswers, metricSeconds, metricWithdrawn, metricOrders, metricOrderTime, metricRunsLost, metricSchedules,
		metricLive, metricHeld, metricListAge, metricVersion, metricUpstreams, metricTakeovers, metricSuppressed,
		metricRelayed, metricRelayLost, metricStale,
	}
}

// meters are the metrics of one process.
type meters struct {
	set *metrics.Set
}

func newMeters() *meters {
	return &meters{
		set: metrics.NewSet(),
	}
}

func (meters *meters) count(name string) { meters.set.GetOrCreateCounter(name).Inc() }

func (meters *meters) gauge(name string, value float64) {
	meters.set.GetOrCreateGauge(name, nil).Set(value)
}

func (meters *meters) answered(kind string, answer cell.Answer, took time.Duration) {
	meters.count(fmt.Sprintf("%s{kind=%q,result=%q,reason=%q}", metricAnswers, kind, string(answer.Result), answer.Reason))
	if answer.Result == cell.Completed {
		meters.set.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", metricSeconds, kind)).Update(took.Seconds())
	}
}

func (meters *meters) ordered(call string, reply cell.Reply) {
	meters.count(fmt.Sprintf("%s{call=%q,outcome=%q}", metricOrders, call, reply.Outcome.String()))
	if call != "watch" {
		meters.set.GetOrCreateHistogram(fmt.Sprintf("%s{call=%q}", metricOrderTime, call)).
			Update(reply.ReceivedAt.Sub(reply.SentAt).Seconds())
	}
}

// reply counts the answer to an order.
func (meters *meters) reply(event cell.Event) {
	switch event := event.(type) {
	case cell.StartReplied:
		meters.ordered("start", event.Reply)
	case cell.StopReplied:
		meters.ordered("stop", event.Reply)
	case cell.PollReplied:
		meters.ordered("watch", event.Reply)
	default:
	}
}

// gaugesEvery spaces the updates of the gauges.
const gaugesEvery = time.Second

// gauges tells the present state.
func (loop *loop) gauges() {
	if loop.now.Sub(loop.gaugesAt) < gaugesEvery {
		return
	}
	loop.gaugesAt = loop.now
	meters := loop.dispatcher.meters
	schedules := 0.0
	if loop.cell != nil {
		schedules = 1
	}
	meters.gauge(metricSchedules, schedules)
	meters.gauge(metricLive, float64(loop.view.LiveCount()))
	meters.gauge(metricHeld, float64(len(loop.held)))
	meters.gauge(metricListAge, loop.listAge().Seconds())
	if loop.routes != nil {
		meters.gauge(metricVersion, float64(loop.routes.Version))
	}
	meters.gauge(metricSuppressed, float64(loop.options.Logger.Dropped()))
	meters.gauge(metricRelayed, float64(loop.carrying))
	if loop.cell == nil {
		return
	}
	for state, count := range loop.cell.UpstreamStates() {
		meters.gauge(fmt.Sprintf("%s{state=%q}", metricUpstreams, state), float64(count))
	}
}
