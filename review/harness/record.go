package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, one line an event,
// with the time in ms since the start of the case.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{
		file:  file,
		start: time.Now(),
	}, nil
}

// add writes one line.
func (recorder *recorder) add(format string, args ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	fmt.Fprintf(recorder.file, "%8d  %s\n", time.Since(recorder.start).Milliseconds(), fmt.Sprintf(format, args...))
}
