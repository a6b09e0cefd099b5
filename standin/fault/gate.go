package fault

import (
	"sync"
	"time"
)

// Gate blocks those who wait at it while it is shut. Its zero value is open.
// It is safe for concurrent use.
type Gate struct {
	mutex     sync.Mutex
	opened    chan struct{}
	shutUntil time.Time
}

// Shut shuts the gate for duration from now, or longer if it is already shut
// for longer. It returns by how much the shut time grew.
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

// Wait returns once the gate is open.
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
