package admission

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var testConfig = Config{
	MinRetryAfter: time.Second,
	MaxRetryAfter: 5 * time.Second,
}

func worstKind(result *result) float64 {
	return min(result.kinds[0].mean(), result.kinds[1].mean(), result.kinds[2].mean())
}

func worstDomain(result *result) float64 {
	return min(result.domains[0].mean(), result.domains[1].mean(), result.domains[2].mean())
}

// loads holds the loads that the planner answers. Each bound is the share of jobs to
// serve in the overload, and more than the order by least slack serves.
var loads = []load{
	{
		name:    "burst-of-all-kinds",
		kinds:   [3]float64{3, 3, 3},
		measure: (*result).mean,
		bound:   0.6,
	},
	{
		name:    "burst-of-the-longest-kind",
		kinds:   [3]float64{1, 8, 1},
		measure: worstKind,
		bound:   0.6,
	},
	{
		name:    "burst-of-the-shortest-kind",
		kinds:   [3]float64{12, 1, 1},
		measure: worstKind,
		bound:   0.45,
	},
	{
		name:    "hot-key",
		kinds:   [3]float64{12, 1, 1},
		hotKey:  0.6,
		measure: func(result *result) float64 { return result.keys[0].mean() },
		bound:   0.62,
	},
	{
		name:    "quarter-of-upstreams-leaves",
		kinds:   [3]float64{2.2, 2.2, 2.2},
		leave:   0.25,
		measure: (*result).mean,
		bound:   0.65,
	},
	{
		name:    "wave-in-one-domain",
		kinds:   [3]float64{1, 1, 1},
		wave:    4,
		speeds:  []float64{0.8, 1, 1.25},
		spread:  0.4,
		tail:    0.03,
		measure: worstDomain,
		bound:   0.6,
	},
	{
		name:     "hopeless-jobs",
		kinds:    [3]float64{3, 3, 3},
		hopeless: 0.3,
		measure:  (*result).mean,
		bound:    0.7,
	},
	{
		name:     "callers-come-back",
		kinds:    [3]float64{2.2, 2.2, 2.2},
		attempts: 2,
		measure:  (*result).mean,
		bound:    0.9,
	},
}

// generateTable returns the arrivals of a load, one second a line.
func generateTable(load load) string {
	random := rand.New(rand.NewPCG(1, 1))
	spread := func(mean float64) float64 {
		return min(mean*math.Exp(0.4*random.NormFloat64()-0.08), 4*mean)
	}
	var arrivals []arrival
	for i, kind := range usualKinds {
		for domain := range 3 {
			for now := 0.0; now < overloadEnd+1; now += 0.001 {
				rate := kind.perSecond / 3
				if now >= overloadStart && now < overloadEnd {
					rate *= load.kinds[i]
					if domain == 0 {
						rate *= max(load.wave, 1)
					}
				}
				if random.Float64() >= 0.001*rate {
					continue
				}
				next := arrival{
					at:     now,
					kind:   i,
					domain: domain,
					tasks:  max(int(math.Round(spread(kind.tasks))), 1),
					run:    spread(kind.run),
				}
				next.objective = 1.6*next.run + 0.06
				if load.hotKey > 0 && i == 0 && random.Float64() < load.hotKey {
					next.key = "hot"
				}
				if load.hopeless > 0 && random.Float64() < load.hopeless {
					next.objective = 0.2 * next.run
				}
				arrivals = append(arrivals, next)
			}
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	table := &bytes.Buffer{}
	second := 0
	for _, arrival := range arrivals {
		for ; second < int(arrival.at); second++ {
			fmt.Fprintln(table)
		}
		fmt.Fprintf(table, "%.3f %d %d %d %.3f %.3f %q;", arrival.at, arrival.kind, arrival.domain, arrival.tasks, arrival.run, arrival.objective, arrival.key)
	}
	fmt.Fprintln(table)
	return table.String()
}

func readTable(t testing.TB, name string) []arrival {
	var arrivals []arrival
	for _, row := range bytes.Split(bytes.ReplaceAll(golden.Get(t, name), []byte("\n"), nil), []byte(";")) {
		if len(row) == 0 {
			continue
		}
		var next arrival
		_, err := fmt.Sscanf(string(row), "%f %d %d %d %f %f %q", &next.at, &next.kind, &next.domain, &next.tasks, &next.run, &next.objective, &next.key)
		assert.NilError(t, err)
		arrivals = append(arrivals, next)
	}
	return arrivals
}

// TestLoads guards against the failure of the order by least slack under overload: work
// goes to jobs that are about to miss, until all miss.
func TestLoads(t *testing.T) {
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			name := load.name + ".txt"
			golden.Assert(t, generateTable(load), name)
			arrivals := readTable(t, name)
			result := replay(load, arrivals, New(testConfig))
			slack := replay(load, arrivals, nil)
			delays := result.delays
			t.Logf("served %.2f, by least slack %.2f; kinds %.2f %.2f %.2f, largest %.2f, hot key %.2f", load.measure(result), load.measure(slack),
				result.kinds[0].mean(), result.kinds[1].mean(), result.kinds[2].mean(), result.large.mean(), result.keys[1].mean())
			t.Logf("%d refusals, %.3f s after arrival in the median, %.3f s for 99 of 100", len(delays), delays[len(delays)/2], delays[len(delays)*99/100])
			t.Logf("%d starts of hopeless tasks, by least slack %d; the weight of cost turned %d times", result.hopelessRuns, slack.hopelessRuns, result.weightTurns)
			assert.Assert(t, load.measure(result) >= load.bound)
			assert.Assert(t, load.measure(slack) < load.bound)
			assert.Assert(t, worstKind(result) >= 0.45, "a kind is starved")
			assert.Assert(t, result.large.mean() >= result.mean()/2, "large jobs are starved")
			assert.Assert(t, delays[len(delays)/2] <= 0.1, "refusals are late")
			assert.Assert(t, result.weightTurns <= 6, "the order oscillates")
			assert.Assert(t, result.hopelessRuns <= slack.hopelessRuns)
			most, sum := 0, 0
			for _, count := range result.returns {
				most = max(most, count)
				sum += count
			}
			assert.Assert(t, most*len(result.returns) <= 4*sum, "callers return together")
		})
	}
}
