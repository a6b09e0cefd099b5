package fault

import (
	"sync"
	"time"
)

// Gate blocks the callers of Wait while it is shut. Its zero value is open. It
// is safe for concurrent use.
type Gate struct {
	mutex sync.Mutex
	// opened is closed when the gate opens. It is nil while the gate is open.
	opened    chan struct{}
	shutUntil time.Time
}

// Shut keeps the gate shut for duration from now, or longer if an earlier call
// set a later end. It returns by how much this extends the time for which the
// gate is shut.
func (gate *Gate) Shut(duration time.Duration) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	end := now.Add(duration)
	previousEnd := now
	if gate.opened != nil {
		previousEnd = gate.shutUntil
	}
	if !end.After(previousEnd) {
		return 0
	}
	if gate.opened == nil {
		gate.opened = make(chan struct{})
		time.AfterFunc(duration, gate.open)
	}
	gate.shutUntil = end
	return end.Sub(previousEnd)
}

// open opens the gate once its time is over.
func (gate *Gate) open() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	remaining := time.Until(gate.shutUntil)
	if remaining > 0 {
		time.AfterFunc(remaining, gate.open)
		return
	}
	close(gate.opened)
	gate.opened = nil
}

// Wait blocks until the gate is open.
func (gate *Gate) Wait() {
	for {
		gate.mutex.Lock()
		opened := gate.opened
		gate.mutex.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}
