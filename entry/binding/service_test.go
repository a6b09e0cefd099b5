package binding_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	entrybinding "tanagerfall/entry/binding"
	platformclient "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/submission"
	"tanagerfall/standin/platform"
)

func keyring() *submission.Keyring {
	return submission.NewKeyring(submission.MacKey{ID: 1, Secret: []byte("a secret for tests")})
}

func newKey(number uint64) binding.Key {
	var random [10]byte
	for i := range 8 {
		random[9-i] = byte(number >> (8 * i))
	}
	return binding.Key{Team: "workshop", UUID: binding.NewUUID(time.Now(), random)}
}

func newID(number uint64) submission.ID {
	return submission.ID{
		Key:    submission.Key{Incarnation: 7, Counter: number},
		Team:   "workshop",
		Expiry: time.Now().Add(submission.Lifetime),
	}
}

// fakeLog is a log in memory. Its mode selects whether calls work, fail or hang.
type fakeLog struct {
	*platform.Platform
	mode atomic.Value
	// appends counts the appends that took effect.
	appends atomic.Int64
}

func newFakeLog() *fakeLog {
	log := &fakeLog{Platform: platform.New(platform.Config{})}
	log.mode.Store("works")
	return log
}

func (log *fakeLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	switch log.mode.Load() {
	case "out":
		return 0, eris.Wrap(platformclient.ErrUnavailable, "append")
	case "silent":
		<-ctx.Done()
		return 0, eris.Wrap(platformclient.ErrAppendUnknown, "append")
	case "loses a reply":
		log.mode.Store("works")
		log.appends.Add(1)
		_, _ = log.Platform.Append(ctx, stream, data)
		return 0, eris.Wrap(platformclient.ErrAppendUnknown, "append")
	}
	log.appends.Add(1)
	return log.Platform.Append(ctx, stream, data)
}

func (log *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformclient.ReadResponse, error) {
	switch log.mode.Load() {
	case "out":
		return platformclient.ReadResponse{}, eris.Wrap(platformclient.ErrUnavailable, "read")
	case "silent":
		<-ctx.Done()
		return platformclient.ReadResponse{}, eris.Wrap(platformclient.ErrUnavailable, "read")
	}
	return log.Platform.Read(ctx, stream, from, limit, wait)
}

func startService(t testing.TB, log entrybinding.Log) *entrybinding.Service {
	service := entrybinding.New(log, "keys", binding.New(binding.Config{Keyring: keyring}), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return service
}

// Guards against a caller that waits more than 2 s while the log is
// unavailable, a bound key whose lookup needs the log, and a binding that is
// lost together with the log's reply to the append.
func TestLogUnavailable(t *testing.T) {
	for _, mode := range []string{"out", "silent"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, log := context.Background(), newFakeLog()
				service := startService(t, log)
				boundKey, unboundKey := newKey(1), newKey(2)
				log.mode.Store("loses a reply")
				resolution, err := service.Bind(ctx, boundKey, newID(1))
				assert.NilError(t, err)
				first, bound := resolution.(binding.Bound)
				assert.Assert(t, bound)
				assert.Equal(t, first.ID.Key, newID(1).Key)
				assert.Equal(t, log.appends.Load(), int64(1), "the append with the lost reply was repeated")

				log.mode.Store(mode)
				time.Sleep(10 * time.Second)
				start := time.Now()
				resolution, err = service.Lookup(ctx, boundKey)
				assert.NilError(t, err)
				assert.Equal(t, resolution.(binding.Bound).ID.Key, first.ID.Key)
				resolution, err = service.Bind(ctx, unboundKey, newID(2))
				assert.NilError(t, err)
				assert.Equal(t, resolution, binding.Resolution(binding.Unbound{Cause: binding.CauseLogUnavailable}))
				assert.Assert(t, time.Since(start) < 2*time.Second, "took %v", time.Since(start))

				log.mode.Store("works")
				resolution, err = service.Bind(ctx, unboundKey, newID(3))
				assert.NilError(t, err)
				assert.Equal(t, resolution.(binding.Bound).ID.Key, newID(3).Key)
			})
		})
	}
}

// Guards against a stop of the service that leaves callers of Bind waiting.
func TestStopEndsPendingBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.mode.Store("silent")
		ctx, cancel := context.WithCancel(context.Background())
		service := entrybinding.New(log, "keys", binding.New(binding.Config{Keyring: keyring}), time.Now)
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		go func() { _ = service.Run(ctx) }()
		_, err := service.Bind(context.Background(), newKey(1), newID(1))
		assert.ErrorIs(t, err, entrybinding.ErrStopped)
	})
}

// BenchmarkGroupCommit binds keys from a number of callers at once through one
// VM, over HTTP to a stand-in log whose appends take 3 ms each.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			log := platform.New(platform.Config{
				Address:    "127.0.0.1:0",
				AppendTime: 3 * time.Millisecond,
			})
			address, err := log.Listen()
			assert.NilError(b, err)
			defer log.Close()
			counting := &countingLog{Client: platformclient.NewClient("http://"+address, &http.Client{Transport: &http.Transport{}})}
			service := startService(b, counting)
			var lastNumber atomic.Uint64
			var callerGroup sync.WaitGroup
			b.ResetTimer()
			for range callers {
				callerGroup.Go(func() {
					for number := lastNumber.Add(1); number <= uint64(b.N); number = lastNumber.Add(1) {
						bindKey(b, service, number)
					}
				})
			}
			callerGroup.Wait()
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(b.N)/seconds, "keys/s")
			b.ReportMetric(float64(counting.appends.Load())/seconds, "appends/s")
			b.ReportMetric(float64(counting.reads.Load())/float64(counting.appends.Load()), "reads/append")
		})
	}
}

func bindKey(b *testing.B, service *entrybinding.Service, number uint64) {
	resolution, err := service.Bind(context.Background(), newKey(number), newID(number))
	if err != nil {
		b.Error(err)
		return
	}
	if _, bound := resolution.(binding.Bound); !bound {
		b.Errorf("key %d: %v", number, resolution)
	}
}

// countingLog counts the appends and reads sent to a log.
type countingLog struct {
	*platformclient.Client
	appends atomic.Int64
	reads   atomic.Int64
}

func (log *countingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	log.appends.Add(1)
	return log.Client.Append(ctx, stream, data)
}

func (log *countingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformclient.ReadResponse, error) {
	log.reads.Add(1)
	return log.Client.Read(ctx, stream, from, limit, wait)
}
