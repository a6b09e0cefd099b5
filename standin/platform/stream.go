package platform

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	wire "tanagerfall/shared/connection/platform"
)

const (
	// initialOffset is the offset of a stream's first record. It is not 0, so
	// that 0 can mean "before every record".
	initialOffset = 1
	// MaxRecordBytes bounds the size of one record.
	MaxRecordBytes = 1 << 20
	// MaxReadRecords and maxReadBytes bound the records that one read returns.
	// If there are records a read returns at least one, whatever its size.
	MaxReadRecords = 1000
	maxReadBytes   = 4 << 20
	// MaxWait bounds the wait of a long poll.
	MaxWait = time.Minute
)

// ErrTrimmed is returned by Read if the record at the offset was removed.
var ErrTrimmed = eris.New("offset is trimmed")

// stream is an append-only list of records. The platform's mutex guards it.
type stream struct {
	// firstOffset is the offset of the oldest retained record, or of the next
	// one if there is none.
	firstOffset int64
	records     []wire.Record
	// appended is closed and replaced on every append.
	appended chan struct{}
}

// getOrCreateStream returns the stream called name and creates it if
// necessary. The platform's mutex is held.
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

// nextOffset returns the offset of the next appended record.
func (stream *stream) nextOffset() int64 {
	return stream.firstOffset + int64(len(stream.records))
}

// trim removes the records with offsets below before.
func (stream *stream) trim(before int64) {
	count := min(before-stream.firstOffset, int64(len(stream.records)))
	if count <= 0 {
		return
	}
	stream.records = append([]wire.Record(nil), stream.records[count:]...)
	stream.firstOffset += count
}

// expire removes the records that are older than retention.
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

// Append appends data to the stream called name and returns the record's
// offset. It returns the error of ctx if ctx ends first; the append takes
// effect nevertheless.
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

// reserveAppend reserves the next free time of the log for an append and
// returns how long it takes until the append is complete.
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

// appendNow appends a record without waiting and returns its offset.
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

// Read returns up to maxRecords records from offset from on. If there are none
// it waits for an append, at most for wait and until ctx ends, and then
// returns no records and no error. It returns ErrTrimmed if the record at from
// was removed; the response then holds the offset of the first retained
// record.
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

// readAvailable reads without waiting. It also returns a channel that is
// closed on the next append.
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

// Trim removes the records of a stream with offsets below before.
func (platform *Platform) Trim(name string, before int64) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.getOrCreateStream(name).trim(before)
}
