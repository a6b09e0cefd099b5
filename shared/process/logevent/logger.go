package logevent

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Logger writes log events. Its methods are safe for concurrent use.
type Logger struct {
	logger *log.Logger
	level  log.Level
	// queue is nil if the caller of Log writes the lines itself.
	queue   chan queuedLine
	dropped atomic.Int64
	// suppressed collects the lines that were dropped for any reason.
	suppressed suppressedLines
	// done is closed when the writing goroutine has ended.
	done chan struct{}
}

// queuedLine is an event that waits to be written.
type queuedLine struct {
	loggedAt time.Time
	event    Event
	pairs    []any
	// stop ends the writing goroutine; the other fields are not set.
	stop bool
}

// Budget limits the lines of a Logger.
type Budget struct {
	// QueueSize is the number of lines that may wait for a slow reader of the log.
	// Further lines are dropped and counted.
	QueueSize int
	// LinesPerSecond limits the lines of each event; 0 means no limit.
	LinesPerSecond int
}

// New returns a Logger that writes lines at or above level in logfmt, with the
// name of the VM on each. Log waits until its line is written.
func New(writer io.Writer, level log.Level, vm string) *Logger {
	logger := log.NewWithOptions(writer, log.Options{
		Level:           level,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
		Formatter:       log.LogfmtFormatter,
	})
	return &Logger{
		logger: logger.With("vm", vm),
		level:  level,
	}
}

// NewBounded returns a Logger for a process that must not wait for its log. A
// separate goroutine formats and writes the lines; lines over the budget are
// dropped, counted, and reported with the jobs that were refused. Close writes the lines
// that are still queued.
func NewBounded(writer io.Writer, level log.Level, vm string, budget Budget) *Logger {
	logger := New(writer, level, vm)
	logger.queue = make(chan queuedLine, budget.QueueSize)
	logger.done = make(chan struct{})
	go logger.writeQueue(budget.LinesPerSecond)
	return logger
}

// Log writes an event with alternating keys and values, unless its level is below
// that of the Logger.
func (logger *Logger) Log(event Event, pairs ...any) {
	if event.Level < logger.level {
		return
	}
	if logger.queue == nil {
		logger.writeLine(time.Now(), event, pairs)
		return
	}
	select {
	case logger.queue <- queuedLine{
		loggedAt: time.Now(),
		event:    event,
		pairs:    pairs,
	}:
	default:
		logger.dropped.Add(1)
		logger.suppressed.add(event, pairs)
	}
}

// Dropped returns the number of lines that were dropped because the queue was full.
func (logger *Logger) Dropped() int64 { return logger.dropped.Load() }

// Close writes the queued lines and ends the writing goroutine. It returns after
// timeout even if lines are left.
func (logger *Logger) Close(timeout time.Duration) {
	if logger.queue == nil {
		return
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case logger.queue <- queuedLine{
		stop: true,
	}:
	case <-timer.C:
		return
	}
	select {
	case <-logger.done:
	case <-timer.C:
	}
}

// writeLine formats and writes one line with its event number and its time in ms.
func (logger *Logger) writeLine(loggedAt time.Time, event Event, pairs []any) {
	pairs = append([]any{"event", fmt.Sprintf("E%03d", event.Number), "at", loggedAt.UnixMilli()}, pairs...)
	logger.logger.Log(event.Level, event.Text, pairs...)
}

// reportDelay is the longest time until dropped lines are reported if no line follows.
const reportDelay = time.Second

// writeQueue writes queued lines until one has stop set. Lines of an event over
// linesPerSecond are dropped. Dropped lines are reported when the first line of another
// second is written, after reportDelay, and at the end.
func (logger *Logger) writeQueue(linesPerSecond int) {
	defer close(logger.done)
	written := make(map[int]int)
	var currentSecond int64
	timer := time.NewTimer(reportDelay)
	timer.Stop()
	defer timer.Stop()
	isTimed := false
	for {
		select {
		case <-timer.C:
			isTimed = false
			logger.reportSuppressed()
			continue
		case queuedLine := <-logger.queue:
			if queuedLine.stop {
				logger.reportSuppressed()
				return
			}
			if lineSecond := queuedLine.loggedAt.Unix(); lineSecond != currentSecond {
				currentSecond = lineSecond
				clear(written)
				logger.reportSuppressed()
			}
			number := queuedLine.event.Number
			if linesPerSecond > 0 && written[number] >= linesPerSecond {
				logger.suppressed.add(queuedLine.event, queuedLine.pairs)
			} else {
				written[number]++
				logger.writeLine(queuedLine.loggedAt, queuedLine.event, queuedLine.pairs)
			}
		}
		if !isTimed && logger.suppressed.isPending.Load() {
			isTimed = true
			timer.Reset(reportDelay)
		}
	}
}
