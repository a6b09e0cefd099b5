package logevent_test

import (
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"tanagerfall/shared/process/logevent"
)

// sink takes all bytes. The log library skips its work for io.Discard.
type sink struct{}

// Write drops the bytes.
func (sink) Write(data []byte) (int, error) { return len(data), nil }

// BenchmarkLine measures a whole line, as the writing goroutine makes it.
func BenchmarkLine(b *testing.B) {
	logger := logevent.New(sink{}, log.InfoLevel, "vm")
	for b.Loop() {
		logLine(logger)
	}
}

// BenchmarkHandOver measures what a line costs the goroutine that logs it.
func BenchmarkHandOver(b *testing.B) {
	logger := logevent.NewBounded(sink{}, log.InfoLevel, "vm", logevent.Budget{
		QueueSize:      1,
		LinesPerSecond: 1 << 30,
	})
	defer logger.Close(time.Second)
	for b.Loop() {
		logLine(logger)
	}
}

func logLine(logger *logevent.Logger) {
	logger.Log(logevent.JobLate, "job", "5c0e7a21d94b36f8", "kind", "r-x3absta", "result", "completed",
		"reason", "", "took", 225*time.Millisecond, "allowed", 181*time.Millisecond, "schedulers", 1)
}
