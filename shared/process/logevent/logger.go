package logevent

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// Logger writes events.
type Logger struct {
	logger *log.Logger
	level  log.Level
	// queue is nil where lines are written by the caller of Log.
	queue   chan queuedLine
	dropped atomic.Int64
	done    chan struct{}
}

// queuedLine is an event that waits to be written.
type queuedLine struct {
	loggedAt time.Time
	event    Event
	pairs    []any
	// stop ends the writer.
	stop bool
}

// Budget bounds what a Logger writes.
type Budget struct {
	// QueueSize is the number of lines that may wait for a slow reader; more are
	// dropped and counted.
	QueueSize int
	// LinesPerSecond bounds the lines of one event.
	LinesPerSecond int
}

// New returns a Logger that writes lines at or above level in logfmt.
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

// NewBounded is New for a process that must not wait for its log: lines are
// formatted and written by a goroutine of their own, and those over the budget
// are counted and left out. Close writes what waits.
func NewBounded(writer io.Writer, level log.Level, vm string, budget Budget) *Logger {
	logger := New(writer, level, vm)
	logger.queue = make(chan queuedLine, budget.QueueSize)
	logger.done = make(chan struct{})
	go logger.writeQueue(budget.LinesPerSecond)
	return logger
}

// Log writes one event with alternating keys and values.
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
	}
}

// Dropped returns the number of lines that found the queue full.
func (logger *Logger) Dropped() int64 { return logger.dropped.Load() }

// Close writes the lines that wait, for at most the given time.
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

func (logger *Logger) writeLine(loggedAt time.Time, event Event, pairs []any) {
	pairs = append([]any{"event", fmt.Sprintf("E%03d", event.Number), "at", loggedAt.UnixMilli()}, pairs...)
	logger.logger.Log(event.Level, event.Text, pairs...)
}

// writeQueue formats and writes lines until one says stop.
func (logger *Logger) writeQueue(linesPerSecond int) {
	defer close(logger.done)
	written := make(map[int]int)
	suppressed := make(map[int]int)
	var currentSecond int64
	for queuedLine := range logger.queue {
		if queuedLine.stop {
			logger.reportSuppressed(suppressed)
			return
		}
		if lineSecond := queuedLine.loggedAt.Unix(); lineSecond != currentSecond {
			currentSecond = lineSecond
			clear(written)
			logger.reportSuppressed(suppressed)
		}
		number := queuedLine.event.Number
		if linesPerSecond > 0 && written[number] >= linesPerSecond {
			suppressed[number]++
			continue
		}
		written[number]++
		logger.writeLine(queuedLine.loggedAt, queuedLine.event, queuedLine.pairs)
	}
}

func (logger *Logger) reportSuppressed(suppressed map[int]int) {
	for number, count := range suppressed {
		logger.writeLine(time.Now(), LinesSuppressed, []any{"of", fmt.Sprintf("E%03d", number), "count", count})
	}
	clear(suppressed)
}
