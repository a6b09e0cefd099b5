package fault

import (
	"sync"
	"time"
)

// Gate blocks those who wait at it while it is shut. Its zero value is open.
// It is safe for concurrent use.
type Gate struct {
	mutex sync.Mutex
	shut  chan struct{}
	until time.Time
}

// Shut shuts the gate for duration from now, or longer if it is already shut
// for longer. It returns by how much the shut time grew.
func (gate *Gate) Shut(duration time.Duration) time.Duration {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	now := time.Now()
	until := now.Add(duration)
	from := now
	if gate.shut != nil {
		from = gate.until
	}
	if !until.After(from) {
		return 0
	}
	if gate.shut == nil {
		gate.shut = make(chan struct{})
		time.AfterFunc(duration, gate.open)
	}
	gate.until = until
	return until.Sub(from)
}

func (gate *Gate) open() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	left := time.Until(gate.until)
	if left > 0 {
		time.AfterFunc(left, gate.open)
		return
	}
	close(gate.shut)
	gate.shut = nil
}

// Wait returns once the gate is open.
func (gate *Gate) Wait() {
	for {
		gate.mutex.Lock()
		shut := gate.shut
		gate.mutex.Unlock()
		if shut == nil {
			return
		}
		<-shut
	}
}
