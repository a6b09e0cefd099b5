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

// storeRecord is one record of a keyed topic.
type storeRecord struct {
	key, value string
}

// store is a stand-in for the platform's metadata store: keyed topics of one
// partition, of which it forgets nothing.
type store struct {
	mutex   sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

func newStore() *store {
	return &store{
		topics:  make(map[string][]storeRecord),
		changed: make(chan struct{}),
	}
}

// put appends a record. An empty value drops the key.
func (store *store) put(topic, key, value string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.topics[topic] = append(store.topics[topic], storeRecord{
		key:   key,
		value: value,
	})
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) read(topic string) ([]storeRecord, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic], store.changed
}

func (store *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	topic := query.Get("topic")
	// The store answers in about 4 ms.
	time.Sleep(4 * time.Millisecond)
	switch {
	case strings.HasSuffix(request.URL.Path, "/log-newest"):
		store.serveNewest(writer, topic)
	case strings.HasSuffix(request.URL.Path, "/log-read"):
		store.serveRead(writer, request, topic)
	case strings.HasSuffix(request.URL.Path, "/log-append"):
		store.serveAppend(writer, request, topic)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (store *store) serveNewest(writer http.ResponseWriter, topic string) {
	records, _ := store.read(topic)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	for offset, record := range records {
		newest[record.key] = item{
			Key:    record.key,
			Value:  base64.StdEncoding.EncodeToString([]byte(record.value)),
			Offset: offset,
		}
		if record.value == "" {
			delete(newest, record.key)
		}
	}
	items := []item{}
	for _, entry := range newest {
		items = append(items, entry)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"items":      items,
		"has-more":   false,
		"end-offset": len(records),
	})
}

func (store *store) serveRead(writer http.ResponseWriter, request *http.Request, topic string) {
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		records, changed := store.read(topic)
		if from < len(records) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	records, _ := store.read(topic)
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range records[min(from, len(records)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.key)+len(record.value)))
		body = append(body, byte(len(record.key)))
		body = append(body, record.key...)
		body = append(body, record.value...)
	}
	_, _ = writer.Write(body)
}

func (store *store) serveAppend(writer http.ResponseWriter, request *http.Request, topic string) {
	body, err := io.ReadAll(request.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	offset := 0
	for len(body) > 5 {
		length := int(binary.BigEndian.Uint32(body))
		keyLength := int(body[4])
		if 4+length > len(body) || 1+keyLength > length {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		store.put(topic, string(body[5:5+keyLength]), string(body[5+keyLength:4+length]))
		body = body[4+length:]
	}
	records, _ := store.read(topic)
	offset = len(records) - 1
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"offset":     offset,
		"end-offset": len(records),
	})
}
