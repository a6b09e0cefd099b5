package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	wire "tanagerfall/shared/connection/platform"
)

const (
	// initialOffset is the offset of the first record of a stream, so that 0
	// can stand for "before every record".
	initialOffset = 1
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
	firstOffset int64
	records     []wire.Record
	// appended is closed and replaced at every append.
	appended chan struct{}
}

// getOrCreateStream returns the stream of that name, new if there is none.
func (platform *Platform) getOrCreateStream(name string) *stream {
	result := platform.streams[name]
	if result == nil {
		result = &stream{
			firstOffset: initialOffset,
			appended:    make(chan struct{}),
		}
		platform.streams[name] = result
	}
	return result
}

// nextOffset returns the offset of the next record.
func (stream *stream) nextOffset() int64 {
	return stream.firstOffset + int64(len(stream.records))
}

// trim removes the records below before.
func (stream *stream) trim(before int64) {
	count := min(before-stream.firstOffset, int64(len(stream.records)))
	if count <= 0 {
		return
	}
	stream.records = append([]wire.Record(nil), stream.records[count:]...)
	stream.firstOffset += count
}

// expire removes the records that are older than the retention.
func (stream *stream) expire(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).UnixMilli()
	before := stream.firstOffset
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
	platform.middleware.Gate.Wait()
	offsets := make(chan int64, 1)
	wait := platform.reserveAppend()
	if wait <= 0 {
		return platform.appendNow(name, data), nil
	}
	time.AfterFunc(wait, func() {
		platform.middleware.Gate.Wait()
		offsets <- platform.appendNow(name, data)
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
	if platform.nextAppendAt.Before(now) {
		platform.nextAppendAt = now
	}
	platform.nextAppendAt = platform.nextAppendAt.Add(platform.config.AppendTime)
	return platform.nextAppendAt.Sub(now)
}

func (platform *Platform) appendNow(name string, data []byte) int64 {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	now := time.Now()
	stream := platform.getOrCreateStream(name)
	stream.expire(now, platform.config.Retention)
	offset := stream.nextOffset()
	stream.records = append(stream.records, wire.Record{
		Offset: offset,
		AtMs:   now.UnixMilli(),
		Data:   data,
	})
	close(stream.appended)
	stream.appended = make(chan struct{})
	return offset
}

// Read returns up to most records from offset from on. If there is none it
// waits for one, at most for wait or until ctx ends. The error is ErrTrimmed
// if the record at from was removed; the response then says where the
// retained records begin.
func (platform *Platform) Read(ctx context.Context, name string, from int64, maxRecords int, wait time.Duration) (wire.ReadResponse, error) {
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for {
		platform.middleware.Gate.Wait()
		response, appended, err := platform.readAvailable(name, from, maxRecords)
		if err != nil || len(response.Records) > 0 || wait <= 0 {
			return response, err
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return response, nil
		}
	}
}

// readAvailable reads without waiting and returns the channel that tells of the
// next append.
func (platform *Platform) readAvailable(name string, from int64, maxRecords int) (wire.ReadResponse, <-chan struct{}, error) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	stream := platform.getOrCreateStream(name)
	stream.expire(time.Now(), platform.config.Retention)
	response := wire.ReadResponse{
		FirstOffset: stream.firstOffset,
		NextOffset:  stream.nextOffset(),
		RetentionMs: platform.config.Retention.Milliseconds(),
		Records:     []wire.Record{},
	}
	if from < stream.firstOffset && stream.firstOffset > initialOffset {
		return response, nil, ErrTrimmed
	}
	totalBytes := 0
	for i := max(from-stream.firstOffset, 0); i < int64(len(stream.records)); i++ {
		if len(response.Records) >= min(maxRecords, MaxReadRecords) {
			break
		}
		totalBytes += len(stream.records[i].Data)
		if totalBytes > maxReadBytes && len(response.Records) > 0 {
			break
		}
		response.Records = append(response.Records, stream.records[i])
	}
	return response, stream.appended, nil
}

// Trim removes the records of a stream below before.
func (platform *Platform) Trim(name string, before int64) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.getOrCreateStream(name).trim(before)
}
