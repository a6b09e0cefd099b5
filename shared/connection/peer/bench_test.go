package peer_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
)

// processCPUTime returns the CPU time that the process has used, in microseconds.
func processCPUTime(b *testing.B) float64 {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1000
}

// BenchmarkHeartbeat measures the CPU time of one heartbeat exchange over
// loopback, for both sides together.
func BenchmarkHeartbeat(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = peer.Serve(ctx, listener, &stub{}, peer.ServerOptions{}) }()
	pool := peer.NewPool(peer.PoolOptions{})
	defer pool.Close()
	message := &peer.HeartbeatMessage{
		Address: "10.0.0.1:7000",
		Domain:  "ege-izmir",
		Load:    peer.Load{Slots: 100, Used: 90},
	}
	b.ReportAllocs()
	cpuTimeBefore := processCPUTime(b)
	for b.Loop() {
		_, err := peer.Heartbeat.Call(ctx, pool, listener.Addr().String(), message)
		assert.NilError(b, err)
	}
	b.ReportMetric((processCPUTime(b)-cpuTimeBefore)/float64(b.N), "cpu-us/exchange")
}
