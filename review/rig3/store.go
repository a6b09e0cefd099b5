package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's metadata store: topics of one partition.
type Store struct {
	world  *World
	mutex  sync.Mutex
	topics map[string][]storeRecord
}

type storeRecord struct{ key, value string }

func (store *Store) append(topic, key, value string) {
	store.mutex.Lock()
	store.topics[topic] = append(store.topics[topic], storeRecord{key, value})
	store.mutex.Unlock()
}

func (store *Store) records(topic string) []storeRecord {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.topics[topic]
}

var addressPlaceholder = regexp.MustCompile(`@w(\d+)@`)

// valueFor returns a value with the addresses at which the process that asks reaches the workers.
func (store *Store) valueFor(request *http.Request, value string) string {
	return addressPlaceholder.ReplaceAllStringFunc(value, func(found string) string {
		index, _ := strconv.Atoi(found[2 : len(found)-1])
		return store.world.workers[index].addresses[callerOf(request)]
	})
}

// isCut reports whether the process that sent a request is cut off from the store.
func (store *Store) isCut(request *http.Request) bool {
	store.world.mutex.Lock()
	none := len(store.world.storeCuts) == 0
	store.world.mutex.Unlock()
	return !none && store.world.storeCut(callerOf(request))
}

func (store *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	if store.isCut(request) {
		<-request.Context().Done()
		return
	}
	query := request.URL.Query()
	topic := query.Get("topic")
	writer.Header().Set("Content-Type", "application/json")
	switch {
	case strings.HasSuffix(request.URL.Path, "log-newest"):
		records := store.records(topic)
		newest := map[string]string{}
		offsets := map[string]int{}
		for i, record := range records {
			newest[record.key], offsets[record.key] = record.value, i
			if record.value == "" {
				delete(newest, record.key)
			}
		}
		keys := []string{}
		for key := range newest {
			if key > query.Get("depends-on") {
				keys = append(keys, key)
			}
		}
		sort.Strings(keys)
		items := []map[string]any{}
		for _, key := range keys {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(store.valueFor(request, newest[key]))), "offset": offsets[key]})
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "has-more": false, "end-offset": len(records)})
	case strings.HasSuffix(request.URL.Path, "log-read"):
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
		for {
			records := store.records(topic)
			if from < len(records) || !time.Now().Before(deadline) {
				out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
				out = binary.BigEndian.AppendUint64(out, 0)
				for _, record := range records[min(from, len(records)):] {
					record.value = store.valueFor(request, record.value)
					out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.key)+len(record.value)))
					out = append(out, byte(len(record.key)))
					out = append(append(out, record.key...), record.value...)
				}
				if store.isCut(request) {
					<-request.Context().Done()
					return
				}
				writer.Header().Set("Content-Type", "application/octet-stream")
				_, _ = writer.Write(out)
				return
			}
			select {
			case <-request.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	case strings.HasSuffix(request.URL.Path, "log-append"):
		if topic == "keyed.op" || topic == "keyed.servers" {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		first := len(store.records(topic))
		for len(body) >= 5 {
			length := int(binary.BigEndian.Uint32(body))
			record := body[4 : 4+length]
			body = body[4+length:]
			keyEnd := 1 + int(record[0])
			store.append(topic, string(record[1:keyEnd]), string(record[keyEnd:]))
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"offset": first, "end-offset": len(store.records(topic))})
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}
