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

	service "tanagerfall/entry/binding"
	wire "tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/submission"
	"tanagerfall/standin/platform"
)

func keyring() *submission.Keyring {
	return submission.NewKeyring(submission.MacKey{ID: 1, Secret: []byte("a secret for tests")})
}

func keyOf(number uint64) binding.Key {
	var random [10]byte
	for i := range 8 {
		random[9-i] = byte(number >> (8 * i))
	}
	return binding.Key{Team: "workshop", UUID: binding.NewUUID(time.Now(), random)}
}

func idOf(number uint64) submission.ID {
	return submission.ID{
		Key:    submission.Key{Incarnation: 7, Counter: number},
		Team:   "workshop",
		Expiry: time.Now().Add(submission.Lifetime),
	}
}

// fakeLog is a log in memory whose calls can fail or hang.
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
		return 0, eris.Wrap(wire.ErrUnavailable, "append")
	case "silent":
		<-ctx.Done()
		return 0, eris.Wrap(wire.ErrAppendUnknown, "append")
	case "loses a reply":
		log.mode.Store("works")
		log.appends.Add(1)
		_, _ = log.Platform.Append(ctx, stream, data)
		return 0, eris.Wrap(wire.ErrAppendUnknown, "append")
	}
	log.appends.Add(1)
	return log.Platform.Append(ctx, stream, data)
}

func (log *fakeLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadResponse, error) {
	switch log.mode.Load() {
	case "out":
		return wire.ReadResponse{}, eris.Wrap(wire.ErrUnavailable, "read")
	case "silent":
		<-ctx.Done()
		return wire.ReadResponse{}, eris.Wrap(wire.ErrUnavailable, "read")
	}
	return log.Platform.Read(ctx, stream, from, limit, wait)
}

func start(t testing.TB, log service.Log) *service.Service {
	started := service.New(log, "keys", binding.New(binding.Config{Keyring: keyring}), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = started.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return started
}

// Guards against a caller that waits more than 2 s while the log is out, a
// bound key that needs the log, and a binding lost with the log's reply.
func TestLogOut(t *testing.T) {
	for _, mode := range []string{"out", "silent"} {
		t.Run(mode, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, log := context.Background(), newFakeLog()
				service := start(t, log)
				known, unknown := keyOf(1), keyOf(2)
				log.mode.Store("loses a reply")
				verdict, err := service.Bind(ctx, known, idOf(1))
				assert.NilError(t, err)
				first, bound := verdict.(binding.Bound)
				assert.Assert(t, bound)
				assert.Equal(t, first.ID.Key, idOf(1).Key)
				assert.Equal(t, log.appends.Load(), int64(1), "the append with the lost reply was repeated")

				log.mode.Store(mode)
				time.Sleep(10 * time.Second)
				began := time.Now()
				verdict, err = service.Look(ctx, known)
				assert.NilError(t, err)
				assert.Equal(t, verdict.(binding.Bound).ID.Key, first.ID.Key)
				verdict, err = service.Bind(ctx, unknown, idOf(2))
				assert.NilError(t, err)
				assert.Equal(t, verdict, binding.Resolution(binding.Unbound{Cause: binding.CauseLogUnavailable}))
				assert.Assert(t, time.Since(began) < 2*time.Second, "took %v", time.Since(began))

				log.mode.Store("works")
				verdict, err = service.Bind(ctx, unknown, idOf(3))
				assert.NilError(t, err)
				assert.Equal(t, verdict.(binding.Bound).ID.Key, idOf(3).Key)
			})
		})
	}
}

// Guards against a stop that leaves callers waiting.
func TestStopEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		log.mode.Store("silent")
		ctx, cancel := context.WithCancel(context.Background())
		stopping := service.New(log, "keys", binding.New(binding.Config{Keyring: keyring}), time.Now)
		go func() {
			time.Sleep(100 * time.Millisecond)
			cancel()
		}()
		go func() { _ = stopping.Run(ctx) }()
		_, err := stopping.Bind(context.Background(), keyOf(1), idOf(1))
		assert.ErrorIs(t, err, service.ErrStopped)
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
			counted := &countingLog{Client: wire.NewClient("http://"+address, &http.Client{Transport: &http.Transport{}})}
			service := start(b, counted)
			var number atomic.Uint64
			var binding sync.WaitGroup
			b.ResetTimer()
			for range callers {
				binding.Go(func() {
					for next := number.Add(1); next <= uint64(b.N); next = number.Add(1) {
						bindOne(b, service, next)
					}
				})
			}
			binding.Wait()
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(b.N)/seconds, "keys/s")
			b.ReportMetric(float64(counted.appends.Load())/seconds, "appends/s")
			b.ReportMetric(float64(counted.reads.Load())/float64(counted.appends.Load()), "reads/append")
		})
	}
}

func bindOne(b *testing.B, service *service.Service, number uint64) {
	verdict, err := service.Bind(context.Background(), keyOf(number), idOf(number))
	if err != nil {
		b.Error(err)
		return
	}
	if _, bound := verdict.(binding.Bound); !bound {
		b.Errorf("key %d: %v", number, verdict)
	}
}

type countingLog struct {
	*wire.Client
	appends atomic.Int64
	reads   atomic.Int64
}

func (log *countingLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	log.appends.Add(1)
	return log.Client.Append(ctx, stream, data)
}

func (log *countingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (wire.ReadResponse, error) {
	log.reads.Add(1)
	return log.Client.Read(ctx, stream, from, limit, wait)
}
