package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the store takes for an answer ("4 ms an answer").
const storeAnswerTime = 4 * time.Millisecond

// newestPageItems is the number of records of a page of log-newest.
const newestPageItems = 500

// store is a stand-in for the platform's metadata store: keyed topics of one
// partition. It loses nothing and answers all.
type store struct {
	mutex   sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
	// answerTime is how long the store takes for an answer.
	answerTime time.Duration
}

type storeRecord struct{ key, value string }

func newStore() *store {
	return &store{
		topics:  make(map[string][]storeRecord),
		changed: make(chan struct{}),

		answerTime: storeAnswerTime,
	}
}

// append adds a record. An empty value drops the key.
func (store *store) append(topic, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], storeRecord{key, value})
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) read(topic string) ([]storeRecord, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic], store.changed
}

// ServeHTTP implements log-newest, log-read and log-append.
func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	answerTime := store.answerTime
	store.mutex.Unlock()
	time.Sleep(answerTime)
	query := request.URL.Query()
	topic := query.Get("topic")
	switch {
	case strings.HasSuffix(request.URL.Path, "/log-newest"):
		store.serveNewest(writer, topic, query.Get("depends-on"))
	case strings.HasSuffix(request.URL.Path, "/log-read"):
		store.serveRead(writer, request, topic)
	case strings.HasSuffix(request.URL.Path, "/log-append"):
		store.serveAppend(writer, request, topic)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveNewest(writer http.ResponseWriter, topic, after string) {
	records, _ := store.read(topic)
	newest := make(map[string]int)
	for offset, record := range records {
		newest[record.key] = offset
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	hasMore := len(keys) > newestPageItems
	keys = keys[:min(len(keys), newestPageItems)]
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{
			"key":    key,
			"value":  base64.StdEncoding.EncodeToString([]byte(records[newest[key]].value)),
			"offset": newest[key],
		})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"items":      items,
		"has-more":   hasMore,
		"end-offset": len(records),
	})
}

func (store *store) serveRead(writer http.ResponseWriter, request *http.Request, topic string) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		records, changed := store.read(topic)
		if from < len(records) || !waiting {
			body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, record := range records[min(from, len(records)):] {
				body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
				body = append(body, byte(len(record.key)))
				body = append(body, record.key...)
				body = append(body, record.value...)
			}
			_, _ = writer.Write(body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func (store *store) serveAppend(writer http.ResponseWriter, request *http.Request, topic string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || len(body) < 5 || len(body) < 5+int(body[4]) || topic == "keyed.op" || topic == "keyed.servers" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	keyEnd := 5 + int(body[4])
	store.append(topic, string(body[5:keyEnd]), string(body[keyEnd:]))
	records, _ := store.read(topic)
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"offset":     len(records) - 1,
		"end-offset": len(records),
	})
}

// slow makes the store take factor times as long for an answer.
func (store *store) slow(factor int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.answerTime = time.Duration(factor) * storeAnswerTime
}
