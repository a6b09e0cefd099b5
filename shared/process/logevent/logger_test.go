package logevent

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
}

func (writer blockedWriter) Write(data []byte) (int, error) {
	<-writer.release
	return len(data), nil
}

// Guards against a process that blocks because the reader of its log has stopped
// reading. Lines that arrive while the queue is full are dropped and counted.
func TestBlockedWriterDoesNotBlockTheCaller(t *testing.T) {
	writer := blockedWriter{
		release: make(chan struct{}),
	}
	logger := NewBounded(writer, log.InfoLevel, "vm", Budget{
		QueueSize: 10,
	})
	startedAt := time.Now()
	for range 1000 {
		logger.Log(JobGivenUp, "job", "j")
	}
	logger.Close(20 * time.Millisecond)
	assert.Assert(t, time.Since(startedAt) < time.Second)
	assert.Assert(t, logger.Dropped() >= 980, "%d dropped", logger.Dropped())
	close(writer.release)
}

// syncBuffer is a buffer that can be read while it is written to.
type syncBuffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (syncBuffer *syncBuffer) Write(data []byte) (int, error) {
	syncBuffer.mutex.Lock()
	defer syncBuffer.mutex.Unlock()
	return syncBuffer.bytes.Write(data)
}

func (syncBuffer *syncBuffer) String() string {
	syncBuffer.mutex.Lock()
	defer syncBuffer.mutex.Unlock()
	return syncBuffer.bytes.String()
}

// Guards against a frequent event that displaces others, and against dropped lines
// that are not counted.
func TestRateLimitIsPerEvent(t *testing.T) {
	output := &syncBuffer{}
	logger := NewBounded(output, log.InfoLevel, "vm", Budget{
		QueueSize:      1000,
		LinesPerSecond: 5,
	})
	for range 50 {
		logger.Log(JobGivenUp, "job", "j")
	}
	logger.Log(SchedulerStarted, "token", 7)
	logger.Log(JobAccepted, "job", "below the level")
	logger.Close(time.Second)
	text := output.String()
	// The lines may fall into two calendar seconds, and the limit holds for each.
	lines := strings.Count(text, "event=E713")
	assert.Assert(t, lines >= 5 && lines <= 10, "%d lines", lines)
	assert.Equal(t, strings.Count(text, "event=E701"), 1)
	assert.Equal(t, strings.Count(text, "event=E711"), 0)
	assert.Assert(t, strings.Contains(text, "of=E713"), text)
}

// Guards against a refused job that the log does not name: in a burst its line was over
// the budget, or found the queue full.
func TestJobsOfSuppressedRefusalsAreListed(t *testing.T) {
	const jobs = 1000
	for _, test := range []struct {
		name   string
		budget Budget
	}{
		{"lines over the budget", Budget{
			QueueSize:      2 * jobs,
			LinesPerSecond: 5,
		}},
		{"full queue", Budget{
			QueueSize: 10,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			output := &syncBuffer{}
			output.mutex.Lock()
			logger := NewBounded(output, log.InfoLevel, "vm", test.budget)
			for number := range jobs {
				logger.Log(JobGivenUp, "job", fmt.Sprintf("%016x", number), "reason", "overload")
			}
			output.mutex.Unlock()
			logger.Close(time.Second)
			text := output.String()
			lines := strings.Count(text, "\n")
			assert.Assert(t, lines <= 40, "%d lines", lines)
			missing := 0
			for number := range jobs {
				if !strings.Contains(text, fmt.Sprintf("%016x", number)) {
					missing++
				}
			}
			assert.Equal(t, missing, 0, "refused jobs that no line names")
		})
	}
}
