package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is an in-memory stand-in for the platform's log: keyed topics of one
// partition. It is safe for concurrent use.
type Store struct {
	mutex  sync.Mutex
	topics map[string][]record
	outage Outage
}

// Outage is the way in which a Store fails requests.
type Outage int

// Values of Outage.
const (
	// OutageNone means that requests are answered.
	OutageNone Outage = iota
	// OutageUnavailable answers with status 503.
	OutageUnavailable
	// OutageRateLimited answers with status 429.
	OutageRateLimited
	// OutageHanging sends no answer.
	OutageHanging
)

type record struct {
	key, value string
}

// NewStore returns an empty Store without an outage.
func NewStore() *Store {
	return &Store{
		topics: make(map[string][]record),
	}
}

// SetOutage sets the outage for requests that arrive from now on.
func (store *Store) SetOutage(outage Outage) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.outage = outage
}

// Append appends a record to a topic. An empty value marks the key as deleted.
func (store *Store) Append(topic, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], record{
		key:   key,
		value: value,
	})
}

// ServeHTTP answers the log requests of the platform's processes, unless there is
// an outage.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	topic := request.URL.Query().Get("topic")
	store.mutex.Lock()
	outage := store.outage
	records := store.topics[topic]
	store.mutex.Unlock()
	switch {
	case outage == OutageUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case outage == OutageRateLimited:
		writer.WriteHeader(http.StatusTooManyRequests)
	case outage == OutageHanging:
		<-request.Context().Done()
	case strings.HasSuffix(request.URL.Path, "log-newest"):
		writeNewest(writer, records)
	case strings.HasSuffix(request.URL.Path, "log-read"):
		store.handleRead(writer, request, topic)
	case strings.HasSuffix(request.URL.Path, "log-append"):
		store.handleAppend(writer, request, topic)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

// writeNewest writes the newest record of each key whose value is not empty.
func writeNewest(writer http.ResponseWriter, records []record) {
	newest := make(map[string]string)
	for _, record := range records {
		newest[record.key] = record.value
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	items := []map[string]string{}
	for key, value := range newest {
		items = append(items, map[string]string{
			"key":   key,
			"value": base64.StdEncoding.EncodeToString([]byte(value)),
		})
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"items":      items,
		"end-offset": len(records),
	})
}

// handleRead writes the records from an offset on. It waits up to wait-ms for the
// first one.
func (store *Store) handleRead(writer http.ResponseWriter, request *http.Request, topic string) {
	fromOffset, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		records := store.topics[topic]
		store.mutex.Unlock()
		if fromOffset < len(records) || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(fromOffset, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
				body = append(body, byte(len(record.key)))
				body = append(body, record.key...)
				body = append(body, record.value...)
			}
			_, _ = writer.Write(body)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (store *Store) handleAppend(writer http.ResponseWriter, request *http.Request, topic string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || len(body) < 5 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	keyEnd := 5 + int(body[4])
	store.Append(topic, string(body[5:keyEnd]), string(body[keyEnd:]))
	_, _ = writer.Write([]byte(`{"offset":0,"end-offset":1}`))
}
