package check_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/soak/check"
)

// play feeds a Checker with events of task "j.0.0.0", separated by commas. Each is a
// time in ms, the event, the worker (w0 of boot 1 is w0.1) and a number. A start has a
// lease of 1000 ms. Ends on a worker are numbered from 1.
func play(t *testing.T, kept bool, events string) *check.Checker {
	t.Helper()
	checker := check.New()
	if kept {
		checker.RecordKept("j")
	}
	sequences := make(map[check.Worker]int)
	for _, text := range strings.Split(events, ", ") {
		var ms, number int64
		var event, id string
		_, err := fmt.Sscan(text, &ms, &event, &id, &number)
		assert.NilError(t, err, text)
		worker := check.Worker{
			ID:   id[:2],
			Boot: int64(id[3] - '0'),
		}
		now := time.UnixMilli(ms).UTC()
		switch event {
		case "start", "late-start", "out-of-touch-start":
			run := check.Run{
				Worker:           worker,
				Job:              "j",
				Task:             "j.0.0.0",
				Number:           int(number),
				FencingToken:     100 + number,
				StartTime:        now,
				ExecutedLate:     event == "late-start",
				SenderOutOfTouch: event == "out-of-touch-start",
				IsOver:           func(at time.Time) bool { return at.After(now.Add(time.Second)) },
			}
			if run.ExecutedLate {
				run.Sender = "127.0.0.1:9"
			}
			checker.RecordStart(run)
		case "done", "stopped":
			sequences[worker]++
			checker.RecordEnd(check.End{
				Worker:   worker,
				Job:      "j",
				Task:     "j.0.0.0",
				Number:   int(number),
				Sequence: sequences[worker],
				Outcome:  event,
				Time:     now,
			})
		case "note":
			checker.RecordNote(worker, int(number), now)
		case "lapse":
			checker.RecordLapse(worker)
		case "restart":
			checker.RecordStop(worker)
		case "shown":
			checker.RecordShownCompleted("j", now)
		default:
			t.Fatal(text)
		}
	}
	return checker
}

// assertRules plays the events and asserts which rules the violations name.
func assertRules(t *testing.T, kept bool, events string, rules ...check.Rule) *check.Checker {
	t.Helper()
	checker := play(t, kept, events)
	_, violations := checker.Result()
	var found []check.Rule
	for _, violation := range violations {
		found = append(found, check.Rule(strings.SplitN(violation, ":", 2)[0]))
	}
	assert.DeepEqual(t, found, rules)
	return checker
}

// TestSameTime guards against a second run that is missed, or reported although the
// first one is over by its end, its lease or a restart.
func TestSameTime(t *testing.T) {
	assertRules(t, false, "0 start w0.1 1, 1000 start w1.1 2", check.SameTime)
	assertRules(t, false, "0 start w0.1 1, 1001 start w1.1 2")
	assertRules(t, false, "0 start w0.1 1, 400 stopped w0.1 1, 500 start w1.1 2")
	assertRules(t, false, "0 start w0.1 1, 400 restart w0.1 0, 500 start w1.1 2")
	assertRules(t, false, "0 start w0.1 1, 400 restart w0.2 0, 500 start w1.1 2", check.SameTime)
	// The process before still runs beside the one that replaced it under its ID.
	assertRules(t, false, "0 start w0.1 1, 500 start w0.2 2, 600 done w0.2 2, 700 start w1.1 3", check.SameTime, check.SameTime)
}

// TestAfterDone guards against a start after an end done that is missed, whether that
// was noted before or after the start, and against one that is reported twice.
func TestAfterDone(t *testing.T) {
	for _, events := range []string{
		"0 start w0.1 1, 100 done w0.1 1, 200 note w0.1 1, 300 start w1.1 2",
		"0 start w0.1 1, 100 done w0.1 1, 300 start w1.1 2, 400 note w0.1 1",
		"0 start w0.1 1, 100 done w0.1 1, 200 note w0.1 1, 250 lapse w0.1 0, 300 start w1.1 2, 400 note w0.1 1",
		"0 start w0.1 1, 100 done w0.1 1, 200 note w0.1 1, 250 restart w0.1 0, 300 start w1.1 2",
	} {
		assertRules(t, true, events, check.AfterDone)
		counts, _ := assertRules(t, false, events).Result()
		assert.Equal(t, counts[string(check.AfterDone)], 1, events)
	}
	assertRules(t, true, "0 start w0.1 1, 100 done w0.1 1, 200 start w1.1 2, 300 done w1.1 2, 400 start w2.1 3, "+
		"500 note w0.1 1, 600 note w1.1 1", check.AfterDone, check.AfterDone)
}

// TestAfterUnnotedEnd guards against the report of a start after an end that was not
// done, or was never taken note of.
func TestAfterUnnotedEnd(t *testing.T) {
	for _, events := range []string{
		"0 start w0.1 1, 100 stopped w0.1 1, 200 note w0.1 1, 300 start w1.1 2",
		"0 start w0.1 1, 100 done w0.1 1, 200 note w0.1 0, 300 start w1.1 2",
		"0 start w0.1 1, 100 done w0.1 1, 200 note w0.2 1, 300 start w1.1 2",
		"0 start w0.1 1, 100 done w0.1 1, 150 lapse w0.1 0, 200 note w0.1 1, 300 start w1.1 2, 400 note w0.1 1",
		"0 start w0.1 1, 100 done w0.1 1, 150 restart w0.1 0, 300 start w1.1 2, 400 note w0.1 1",
	} {
		counts, _ := assertRules(t, true, events).Result()
		assert.Equal(t, counts[string(check.AfterDone)], 0, events)
	}
}

// TestLongAfter guards against a start over a second after a note or a completed job
// that is missed, or reported within a second or where no time bound holds.
func TestLongAfter(t *testing.T) {
	const noted = "0 start w0.1 1, 100 done w0.1 1, 200 note w0.1 1, "
	assertRules(t, true, noted+"1200 start w1.1 2", check.AfterDone)
	assertRules(t, true, noted+"1201 start w1.1 2", check.AfterDone, check.LongAfterNote)
	assertRules(t, true, noted+"1201 late-start w1.1 2", check.AfterDone)
	assertRules(t, true, noted+"1201 out-of-touch-start w1.1 2", check.AfterDone)
	assertRules(t, true, "0 shown w0.1 0, 1000 start w1.1 2")
	assertRules(t, true, "0 shown w0.1 0, 1001 late-start w1.1 2")
	assertRules(t, true, "0 shown w0.1 0, 1001 start w1.1 2", check.LongAfterCompleted)
	counts, _ := assertRules(t, false, noted+"300 shown w0.1 0, 1301 start w1.1 2").Result()
	assert.Equal(t, counts[string(check.LongAfterNote)], 1)
	assert.Equal(t, counts[string(check.LongAfterCompleted)], 1)
}

// TestTraceAndCounts guards against a violation that can't be traced in the logs, and
// against starts late or after a noted end that are not counted.
func TestTraceAndCounts(t *testing.T) {
	counts, violations := play(t, false, "0 start w0.1 1, 500 late-start w1.1 3001, 600 stopped w1.1 3001, "+
		"700 note w1.1 1, 1100 start w1.1 3002").Result()
	assert.DeepEqual(t, violations, []string{"runs-at-the-same-time: task j.0.0.0: " +
		"run 3001 on w1 (boot 1, fencing token 3101, started 00:00:00.500000, executed late, sent by 127.0.0.1:9); " +
		"run 1 on w0 (boot 1, fencing token 101, started 00:00:00.000000)"})
	assert.DeepEqual(t, counts, map[string]int{
		"starts":                     3,
		"starts-executed-late":       1,
		"starts-after-noted-stopped": 1,
	})
}
