package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxAppendDelay is the longest time after which an append without an answer is executed.
const maxAppendDelay = 6 * time.Second

// AccessFaults holds the faults of an Access. A share is the probability, from 0 to 1,
// that a request is affected.
type AccessFaults struct {
	Outage Outage
	// Delay is the time before each answer.
	Delay time.Duration
	// LostAppendShare is the share of appends that get no answer. Half of them are
	// executed at once, the others up to 6 s later.
	LostAppendShare float64
	// Lag is the age from which on records are visible.
	Lag time.Duration
}

// Access is the address of a Store for one of its clients, with faults of its own. It is
// safe for concurrent use.
type Access struct {
	store  *Store
	mutex  sync.Mutex
	faults AccessFaults
}

// NewAccess returns an Access to a store without faults.
func NewAccess(store *Store) *Access {
	return &Access{
		store: store,
	}
}

// SetFaults replaces the faults for requests that arrive from now on.
func (access *Access) SetFaults(faults AccessFaults) {
	access.mutex.Lock()
	defer access.mutex.Unlock()
	access.faults = faults
}

// ServeHTTP answers a request as the store does, unless a fault prevents it.
func (access *Access) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	access.mutex.Lock()
	faults := access.faults
	access.mutex.Unlock()
	time.Sleep(faults.Delay)
	isAppend := strings.HasSuffix(request.URL.Path, "log-append")
	switch {
	case faults.Outage != OutageNone:
		faults.Outage.fail(writer, request)
	case isAppend && rand.Float64() < faults.LostAppendShare:
		topic := request.URL.Query().Get("topic")
		if key, value, ok := readRecord(request); ok {
			time.AfterFunc(max(0, rand.N(2*maxAppendDelay)-maxAppendDelay), func() { access.store.Append(topic, key, value) })
		}
		<-request.Context().Done()
	default:
		access.store.serve(writer, request, faults.Lag)
	}
}

// readRecord returns the key and value of the record that an append contains.
func readRecord(request *http.Request) (key, value string, ok bool) {
	body, err := io.ReadAll(request.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) {
		return "", "", false
	}
	keyEnd := 5 + int(body[4])
	return string(body[5:keyEnd]), string(body[keyEnd:]), true
}
