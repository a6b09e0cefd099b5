package fleet_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/version/fleet"
)

// deployments lists the sizes at which the control traffic is measured, with the
// number of entry VMs per domain.
var deployments = []struct{ domains, entries int }{{1, 3}, {3, 3}, {3, 10}, {12, 20}}

// loadedStatus returns the status of a VM in a loaded domain: every field is set,
// and there are more wanted quotas than a heartbeat carries.
func loadedStatus() fleet.Event {
	status := fleet.Status{
		PlanVersion: 1 << 40,
		PlanDigest:  1 << 60,
		Load: peer.Load{
			Slots:    1000,
			Used:     900,
			Lent:     50,
			Borrowed: 50,
			Waiting:  2000,
		},
	}
	for i := range uint32(16) {
		status.WantedQuotas = append(status.WantedQuotas, peer.QuotaCount{
			Quota: 1<<30 + i,
			Slots: 300,
		})
	}
	return fleet.StatusChanged{Status: status}
}

// BenchmarkMeshOnVirtualTime reports the messages and encoded bytes per VM and
// second, sent and received together, and the CPU time of View and encoding.
func BenchmarkMeshOnVirtualTime(b *testing.B) {
	for _, size := range deployments {
		b.Run(fmt.Sprintf("vms=%d", size.domains*size.entries), func(b *testing.B) {
			mesh := newMesh(size.domains, size.entries, 210)
			mesh.handleAll(loadedStatus())
			mesh.advance(5 * time.Second)
			clear(mesh.messages)
			clear(mesh.bytes)
			seconds := 0
			for b.Loop() {
				mesh.advance(time.Second)
				seconds++
			}
			var messages, most, bytes int
			for _, address := range mesh.addresses {
				messages += mesh.messages[address]
				bytes += mesh.bytes[address]
				most = max(most, mesh.messages[address])
			}
			perVM := float64(seconds * len(mesh.addresses))
			b.ReportMetric(float64(messages)/perVM, "messages/s/VM")
			b.ReportMetric(float64(most)/float64(seconds), "messages/s/busiest-VM")
			b.ReportMetric(float64(bytes)/perVM, "encoded-B/s/VM")
			b.ReportMetric(b.Elapsed().Seconds()/perVM*1e6, "cpu-us/s/VM")
		})
	}
}

// BenchmarkList reports the size of the platform's VM list as JSON, plain and
// compressed by gzip, and the heap and the time that a View needs for the list.
func BenchmarkList(b *testing.B) {
	for _, size := range []struct{ domains, entries, workers int }{{3, 3, 17}, {12, 20, 210}} {
		b.Run(fmt.Sprintf("vms=%d", size.domains*(size.entries+size.workers)), func(b *testing.B) {
			list := vmList(1, size.domains, size.entries, size.workers)
			for i := range list.VMs {
				list.VMs[i].Rack = "rack-07"
				list.VMs[i].Service = "call-handling"
				list.VMs[i].Cores = 16
				list.VMs[i].MemoryMb = 65536
				list.VMs[i].Speed = 1.25
			}
			data, err := json.Marshal(list)
			assert.NilError(b, err)
			// The encoder's pooled buffer is freed by the second collection.
			runtime.GC()
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var view *fleet.View
			for b.Loop() {
				view = fleet.New(startTime, fleet.Self{Address: entryAddress(0, 0), Domain: domainName(0)})
				view.Handle(startTime.Add(time.Second), fleet.ListReceived{List: list})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(view)
			runtime.KeepAlive(data)
			runtime.KeepAlive(list)
			var compressed bytes.Buffer
			writer := gzip.NewWriter(&compressed)
			_, err = writer.Write(data)
			assert.NilError(b, err)
			assert.NilError(b, writer.Close())
			b.ReportMetric(float64(compressed.Len()), "list-gzip-B")
			b.ReportMetric(float64(len(data)), "list-B")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "view-heap-B")
		})
	}
}

// entryVM runs the View of an entry VM and exchanges heartbeats over loopback.
type entryVM struct {
	peer.Handlers
	mutex   sync.Mutex
	view    *fleet.View
	pool    *peer.Pool
	ctx     context.Context
	pending sync.WaitGroup
}

func (entryVM *entryVM) Heartbeat(_ context.Context, request *peer.HeartbeatMessage) (*peer.HeartbeatMessage, error) {
	entryVM.mutex.Lock()
	response, decisions := entryVM.view.HandleHeartbeat(time.Now(), *request)
	entryVM.mutex.Unlock()
	entryVM.carryOut(decisions)
	return &response, nil
}

func (entryVM *entryVM) handle(event fleet.Event) {
	entryVM.mutex.Lock()
	decisions := entryVM.view.Handle(time.Now(), event)
	entryVM.mutex.Unlock()
	entryVM.carryOut(decisions)
}

func (entryVM *entryVM) carryOut(decisions []fleet.Decision) {
	for _, decision := range decisions {
		if send, ok := decision.(fleet.SendHeartbeat); ok {
			entryVM.pending.Go(func() { entryVM.exchangeHeartbeat(send) })
		}
	}
}

func (entryVM *entryVM) exchangeHeartbeat(send fleet.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(entryVM.ctx, send.Timeout)
	defer cancel()
	response, err := peer.Heartbeat.Call(ctx, entryVM.pool, send.Address, &send.Message)
	if err != nil {
		entryVM.handle(fleet.HeartbeatFailed{Address: send.Address})
		return
	}
	entryVM.handle(fleet.HeartbeatReceived{Message: *response})
}

// meter counts the bytes and writes on the connections of all VMs.
type meter struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (conn meteredConn) Write(data []byte) (int, error) {
	conn.meter.bytes.Add(int64(len(data)))
	conn.meter.writes.Add(1)
	return conn.Conn.Write(data)
}

type meteredListener struct {
	net.Listener
	meter *meter
}

func (listener meteredListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return meteredConn{Conn: conn, meter: listener.meter}, err
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatsOnLoopback sends heartbeats over TCP for 10 s per
// deployment. It reports the bytes and writes per VM and second, sent and
// received together, and the share of a core that each VM uses, including the
// ticks of its control loop. It is meant to run with -benchtime 1x.
func BenchmarkHeartbeatsOnLoopback(b *testing.B) {
	const warmUp, measurement = 4 * time.Second, 10 * time.Second
	for _, size := range deployments[:3] {
		vms := size.domains * size.entries
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				meter := &meter{}
				stop := startVMs(b, size.domains, size.entries, meter)
				time.Sleep(warmUp)
				bytes, writes, cpu, begin := meter.bytes.Load(), meter.writes.Load(), cpuTime(b), time.Now()
				time.Sleep(measurement)
				seconds := time.Since(begin).Seconds() * float64(vms)
				// Each byte is sent by one VM and received by another.
				b.ReportMetric(2*float64(meter.bytes.Load()-bytes)/seconds, "B/s/VM")
				b.ReportMetric(2*float64(meter.writes.Load()-writes)/seconds, "writes/s/VM")
				b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%core/VM")
				stop()
			}
		})
	}
}

// startVMs runs the entry VMs of a deployment and returns the function that stops
// them.
func startVMs(b *testing.B, domains, entries int, meter *meter) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	list := vmList(1, domains, entries, 210)
	addresses := make(map[string]string)
	var listeners []net.Listener
	for range domains * entries {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, listener)
	}
	for i := range list.VMs {
		if index := len(addresses); list.VMs[i].Size > 0 {
			addresses[list.VMs[i].Address] = listeners[index].Addr().String()
			list.VMs[i].Address = listeners[index].Addr().String()
		}
	}
	for domain := range domains {
		for i := range entries {
			listener := listeners[domain*entries+i]
			entryVM := &entryVM{
				ctx: ctx,
				view: fleet.New(time.Now(), fleet.Self{
					Address:     listener.Addr().String(),
					Domain:      domainName(domain),
					Size:        1,
					Incarnation: uint64(domain*1000 + i + 1),
					Started:     time.Now(),
				}),
				pool: peer.NewPool(peer.PoolOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
					var dialer net.Dialer
					conn, err := dialer.DialContext(ctx, "tcp", address)
					return meteredConn{Conn: conn, meter: meter}, err
				}}),
			}
			group.Go(func() {
				_ = peer.Serve(ctx, meteredListener{Listener: listener, meter: meter}, entryVM, peer.ServerOptions{})
			})
			group.Go(func() {
				ticker := time.NewTicker(100 * time.Millisecond)
				defer ticker.Stop()
				entryVM.handle(fleet.ListReceived{List: list})
				entryVM.handle(loadedStatus())
				for ctx.Err() == nil {
					<-ticker.C
					entryVM.handle(fleet.Tick{})
				}
				entryVM.pending.Wait()
				entryVM.pool.Close()
			})
		}
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// BenchmarkPlanSpread compares two ways to spread a plan in a domain without
// access to the log: pulling the plan after a heartbeat, and push gossip in a
// bounded number of rounds. Both report the messages until all VMs have the plan,
// responses included, and the time until the last VM has it. Heartbeats are sent
// in any case and are not counted. A gossip push is a call with a response; a VM
// that gets the plan pushes it to fanout peers in each of the rounds.
func BenchmarkPlanSpread(b *testing.B) {
	for _, vms := range []int{3, 20} {
		b.Run(fmt.Sprintf("vms=%d/heartbeat-pull", vms), func(b *testing.B) {
			var messages, delay, runs float64
			for b.Loop() {
				count, elapsed := simulatePullSpread(vms, 1+int(runs))
				messages += float64(count)
				delay += elapsed.Seconds()
				runs++
			}
			b.ReportMetric(messages/runs, "messages")
			b.ReportMetric(1000*delay/runs, "delay-ms")
		})
		for _, gossip := range []struct{ fanout, rounds int }{{1, 4}, {1, 6}, {2, 3}, {2, 4}, {3, 3}} {
			b.Run(fmt.Sprintf("vms=%d/gossip/fanout=%d/rounds=%d", vms, gossip.fanout, gossip.rounds), func(b *testing.B) {
				random := rand.New(rand.NewPCG(1, 2))
				var messages, depth, missed, runs float64
				for b.Loop() {
					count, lastRound, missing := simulateGossipSpread(random, vms, gossip.fanout, gossip.rounds)
					messages += float64(count)
					depth += float64(lastRound)
					missed += float64(missing)
					runs++
				}
				b.ReportMetric(messages/runs, "messages")
				b.ReportMetric(depth/runs, "rounds-until-last")
				b.ReportMetric(missed/runs, "VMs-missed")
			})
		}
	}
}

// simulatePullSpread returns the number of messages of the pulls and the time
// until all VMs have the plan. phase varies the time of the new version.
func simulatePullSpread(vms, phase int) (int, time.Duration) {
	mesh := newMesh(1, vms, 0)
	mesh.advance(3*time.Second + time.Duration(phase%10)*100*time.Millisecond)
	begin := mesh.now
	source := mesh.addresses[phase%vms]
	mesh.handle(source, fleet.StatusChanged{Status: fleet.Status{PlanVersion: 5}})
	clear(mesh.decisions)
	messages, updated := 0, map[string]bool{source: true}
	for len(updated) < vms && mesh.now.Sub(begin) < time.Minute {
		mesh.advance(100 * time.Millisecond)
		for _, address := range mesh.addresses {
			for _, decision := range mesh.decisions[address] {
				if _, pulls := decision.(fleet.PullPlan); pulls && !updated[address] {
					updated[address] = true
					messages += 2
					mesh.handle(address, fleet.StatusChanged{Status: fleet.Status{PlanVersion: 5}})
					mesh.handle(address, fleet.PlanPullEnded{})
				}
			}
		}
	}
	return messages, mesh.now.Sub(begin)
}

// simulateGossipSpread returns the number of messages, the round in which the
// last VM got the plan, and the number of VMs that did not get it.
func simulateGossipSpread(random *rand.Rand, vms, fanout, rounds int) (messages, lastRound, missed int) {
	receivedRound := make([]int, vms)
	for i := 1; i < vms; i++ {
		receivedRound[i] = -1
	}
	reached := 1
	for round := 0; ; round++ {
		pushed := false
		for i := range vms {
			if receivedRound[i] < 0 || receivedRound[i] > round || round >= receivedRound[i]+rounds {
				continue
			}
			pushed = true
			for _, step := range random.Perm(vms - 1)[:min(fanout, vms-1)] {
				target := (i + 1 + step) % vms
				messages += 2
				if receivedRound[target] < 0 {
					receivedRound[target] = round + 1
					lastRound = round + 1
					reached++
				}
			}
		}
		if !pushed {
			return messages, lastRound, vms - reached
		}
	}
}
