package logevent_test

import (
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"tanagerfall/shared/process/logevent"
)

// discardWriter takes all bytes. The log library skips its work for io.Discard.
type discardWriter struct{}

// Write drops the bytes.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkWriteLine measures a whole line, as the writing goroutine makes it.
func BenchmarkWriteLine(b *testing.B) {
	logger := logevent.New(discardWriter{}, log.InfoLevel, "vm")
	for b.Loop() {
		logJobLate(logger)
	}
}

// BenchmarkEnqueue measures what a line costs the goroutine that logs it.
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
