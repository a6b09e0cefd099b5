package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	wire "tanagerfall/shared/connection/platform"
)

const (
	// firstOffset is the offset of the first record of a stream, so that 0
	// can stand for "before every record".
	firstOffset = 1
	// MaxRecordBytes bounds one record.
	MaxRecordBytes = 1 << 20
	// MaxReadRecords and maxReadBytes bound one read.
	MaxReadRecords = 1000
	maxReadBytes   = 4 << 20
	// MaxWait bounds the wait of a long poll.
	MaxWait = time.Minute
)

// ErrTrimmed is returned for a read from an offset that was trimmed.
var ErrTrimmed = eris.New("offset is trimmed")

// stream is one append-only list of records, guarded by the platform's mutex.
type stream struct {
	first   int64
	records []wire.Record
	// grown is closed and replaced at every append.
	grown chan struct{}
}

// stream returns the stream of that name, new if there is none.
func (platform *Platform) stream(name string) *stream {
	found := platform.streams[name]
	if found == nil {
		found = &stream{
			first: firstOffset,
			grown: make(chan struct{}),
		}
		platform.streams[name] = found
	}
	return found
}

// next returns the offset of the next record.
func (stream *stream) next() int64 {
	return stream.first + int64(len(stream.records))
}

// trim removes the records below before.
func (stream *stream) trim(before int64) {
	count := min(before-stream.first, int64(len(stream.records)))
	if count <= 0 {
		return
	}
	stream.records = append([]wire.Record(nil), stream.records[count:]...)
	stream.first += count
}

// expire removes the records that are older than the retention.
func (stream *stream) expire(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).UnixMilli()
	before := stream.first
	for _, record := range stream.records {
		if record.AtMs >= oldest {
			break
		}
		before = record.Offset + 1
	}
	stream.trim(before)
}

// Append appends data to a stream and returns its offset. It takes effect
// even if ctx ends first.
func (platform *Platform) Append(ctx context.Context, name string, data []byte) (int64, error) {
	platform.path.Gate.Wait()
	offsets := make(chan int64, 1)
	wait := platform.reserveAppend()
	if wait <= 0 {
		return platform.append(name, data), nil
	}
	time.AfterFunc(wait, func() {
		platform.path.Gate.Wait()
		offsets <- platform.append(name, data)
	})
	select {
	case offset := <-offsets:
		return offset, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// reserveAppend reserves the log's next free time and returns the time until
// the append is done.
func (platform *Platform) reserveAppend() time.Duration {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	now := time.Now()
	if platform.appendFree.Before(now) {
		platform.appendFree = now
	}
	platform.appendFree = platform.appendFree.Add(platform.config.AppendTime)
	return platform.appendFree.Sub(now)
}

func (platform *Platform) append(name string, data []byte) int64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	now := time.Now()
	stream := platform.stream(name)
	stream.expire(now, platform.config.Retention)
	offset := stream.next()
	stream.records = append(stream.records, wire.Record{
		Offset: offset,
		AtMs:   now.UnixMilli(),
		Data:   data,
	})
	close(stream.grown)
	stream.grown = make(chan struct{})
	return offset
}

// Read returns up to most records from offset from on. If there is none it
// waits for one, at most for wait or until ctx ends. The error is ErrTrimmed
// if the record at from was removed; the response then says where the
// retained records begin.
func (platform *Platform) Read(ctx context.Context, name string, from int64, most int, wait time.Duration) (wire.ReadResponse, error) {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		platform.path.Gate.Wait()
		response, grown, err := platform.readNow(name, from, most)
		if err != nil || len(response.Records) > 0 || wait <= 0 {
			return response, err
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return response, nil
		}
	}
}

// readNow reads without waiting and returns the channel that tells of the
// next append.
func (platform *Platform) readNow(name string, from int64, most int) (wire.ReadResponse, <-chan struct{}, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	stream := platform.stream(name)
	stream.expire(time.Now(), platform.config.Retention)
	response := wire.ReadResponse{
		FirstOffset: stream.first,
		NextOffset:  stream.next(),
		RetentionMs: platform.config.Retention.Milliseconds(),
		Records:     []wire.Record{},
	}
	if from < stream.first && stream.first > firstOffset {
		return response, nil, ErrTrimmed
	}
	size := 0
	for i := max(from-stream.first, 0); i < int64(len(stream.records)); i++ {
		if len(response.Records) >= min(most, MaxReadRecords) {
			break
		}
		size += len(stream.records[i].Data)
		if size > maxReadBytes && len(response.Records) > 0 {
			break
		}
		response.Records = append(response.Records, stream.records[i])
	}
	return response, stream.grown, nil
}

// Trim removes the records of a stream below before.
func (platform *Platform) Trim(name string, before int64) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.stream(name).trim(before)
}
