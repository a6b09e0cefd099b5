package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
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
	// firstOffsets holds, by topic, the offset of the first record that reads return.
	firstOffsets map[string]int
	outage       Outage
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
	// OutageReset closes the connection without an answer.
	OutageReset
)

// fail fails a request. The outage is not OutageNone.
func (outage Outage) fail(writer http.ResponseWriter, request *http.Request) {
	switch outage {
	case OutageUnavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case OutageRateLimited:
		writer.WriteHeader(http.StatusTooManyRequests)
	case OutageReset:
		panic(http.ErrAbortHandler)
	default:
		<-request.Context().Done()
	}
}

type record struct {
	key, value string
	appendedAt time.Time
}

// NewStore returns an empty Store without an outage.
func NewStore() *Store {
	return &Store{
		topics:       make(map[string][]record),
		firstOffsets: make(map[string]int),
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
		key:        key,
		value:      value,
		appendedAt: time.Now(),
	})
}

// Trim drops the history of a topic: reads from earlier offsets on fail, and the newest
// record of each key is kept.
func (store *Store) Trim(topic string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.firstOffsets[topic] = len(store.topics[topic])
}

// visible returns the records of a topic that are at least as old as lag, and the offset
// of the first one that reads return.
func (store *Store) visible(topic string, lag time.Duration) ([]record, int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	records := store.topics[topic]
	for lag > 0 && len(records) > 0 && time.Since(records[len(records)-1].appendedAt) < lag {
		records = records[:len(records)-1]
	}
	return records, store.firstOffsets[topic]
}

// ServeHTTP answers the log requests of the platform's processes, unless there is
// an outage.
func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.serve(writer, request, 0)
}

// serve is like ServeHTTP; records are visible from the age of lag on.
func (store *Store) serve(writer http.ResponseWriter, request *http.Request, lag time.Duration) {
	topic := request.URL.Query().Get("topic")
	store.mutex.Lock()
	outage := store.outage
	store.mutex.Unlock()
	switch {
	case outage != OutageNone:
		outage.fail(writer, request)
	case strings.HasSuffix(request.URL.Path, "log-newest"):
		records, _ := store.visible(topic, lag)
		writeNewest(writer, records)
	case strings.HasSuffix(request.URL.Path, "log-read"):
		store.handleRead(writer, request, topic, lag)
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
func (store *Store) handleRead(writer http.ResponseWriter, request *http.Request, topic string, lag time.Duration) {
	fromOffset, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		records, firstOffset := store.visible(topic, lag)
		if fromOffset < firstOffset {
			writer.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(writer).Encode(map[string]any{
				"first-offset": firstOffset,
			})
			return
		}
		if fromOffset < len(records) || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, uint64(firstOffset))
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
	key, value, ok := readRecord(request)
	if !ok {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.Append(topic, key, value)
	_, _ = writer.Write([]byte(`{"offset":0,"end-offset":1}`))
}
