package logevent_test

import (
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"tanagerfall/shared/process/logevent"
)

// discardWriter discards all bytes. It replaces io.Discard, for which the log
// library skips its work.
type discardWriter struct{}

// Write discards the bytes.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkWriteLine measures formatting and writing a line, which the writing
// goroutine does.
func BenchmarkWriteLine(b *testing.B) {
	logger := logevent.New(discardWriter{}, log.InfoLevel, "vm")
	for b.Loop() {
		logJobLate(logger)
	}
}

// BenchmarkEnqueue measures the cost of a line for the goroutine that logs it.
func BenchmarkEnqueue(b *testing.B) {
	logger := logevent.NewBounded(discardWriter{}, log.InfoLevel, "vm", logevent.Budget{
		QueueSize:      1,
		LinesPerSecond: 1 << 30,
	})
	defer logger.Close(time.Second)
	for b.Loop() {
		logJobLate(logger)
	}
}

func logJobLate(logger *logevent.Logger) {
	logger.Log(logevent.JobLate, "job", "5c0e7a21d94b36f8", "kind", "r-x3absta", "result", "completed",
		"reason", "", "took", 225*time.Millisecond, "allowed", 181*time.Millisecond, "schedulers", 1)
}
