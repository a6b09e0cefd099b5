package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// resendAfter is resend-ms.
const resendAfter = 1300 * time.Millisecond

// playResent runs a region that is divided by failure domain. In each wave, clients hand jobs in
// at one entry VM that does not schedule. The trouble is that channels of this VM are reset: those
// of the clients, and the one to the process that schedules its zone. As the pages say, the
// clients send the jobs again resend-ms later, to another node.
func playResent(options options, record *record) error {
	deployment, err := newDeployment(options.program, record)
	if err != nil {
		return err
	}
	defer deployment.close(options.keep)
	closeAtSignal(deployment)
	deployment.proxied = true
	zones := []string{"ege-izmir", "ege-manisa"}
	for _, zone := range zones {
		if err := deployment.addWorkers(zone, 60, true); err != nil {
			return err
		}
	}
	const budget = 6 * time.Second
	deployment.publish([]route{{name: "uzun", timeoutMs: int(budget.Milliseconds()), targetMs: 60, stretch: 1.6, attempts: 2}}, true)
	if err := deployment.startVMs([]string{zones[0], zones[1], zones[0], zones[1], zones[0], zones[1]}, weakMachine); err != nil {
		return err
	}
	if err := deployment.awaitDivided(); err != nil {
		return err
	}
	for wave := range 9 {
		scheduler := deployment.scheduler(zones[0])
		if scheduler == nil {
			return fmt.Errorf("%w: no scheduler", errNotRun)
		}
		var entry *vm
		for _, vm := range deployment.vms {
			if vm.zone == zones[0] && vm != scheduler {
				entry = vm
			}
		}
		var clients sync.WaitGroup
		var callers []*caller
		for range 8 {
			// A long task of the pages' example takes 7 s; these take 2.5 s.
			caller := &caller{deployment: deployment, job: &job{id: newID(), route: "uzun", tasks: 2, cpu: taskCPU, length: 2500 * time.Millisecond}}
			callers = append(callers, caller)
			other := deployment.vms[1+2*(wave%3)]
			clients.Go(func() { caller.run(entry, other, budget) })
		}
		time.Sleep(300 * time.Millisecond)
		if options.trouble {
			var channels []*net.TCPConn
			for _, caller := range callers {
				channels = append(channels, caller.channel())
			}
			toScheduler := scheduler.proxy.channelsOf(entry)
			record.add("reset", "channels of %s: %d of clients, %d to %s, of %d sockets", entry.name, len(channels), len(toScheduler)/2, scheduler.name, entry.sockets())
			channels = append(channels, toScheduler...)
			var resets sync.WaitGroup
			for _, channel := range channels {
				if channel != nil {
					resets.Go(func() { resetChannel(channel) })
				}
			}
			resets.Wait()
		}
		clients.Wait()
		time.Sleep(2 * time.Second)
	}
	return nil
}

// caller is a client whose channel can be reset.
type caller struct {
	deployment *deployment
	job        *job
	mutex      sync.Mutex
	conn       *net.TCPConn
}

func (caller *caller) channel() *net.TCPConn {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	return caller.conn
}

// run hands the job in, and once more after a broken channel, 502 or 504, with what is left of
// the time budget.
func (caller *caller) run(first, second *vm, budget time.Duration) {
	began := time.Now()
	status := caller.send(first, budget)
	if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		return
	}
	time.Sleep(resendAfter)
	if left := budget - time.Since(began); left > 0 {
		caller.send(second, left)
	}
}

func (caller *caller) send(vm *vm, deadline time.Duration) int {
	deployment, job := caller.deployment, caller.job
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		caller.mutex.Lock()
		defer caller.mutex.Unlock()
		caller.conn = conn.(*net.TCPConn)
		return conn, nil
	}}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.address(deployment.ports.front)+"/"+job.route+"/"+job.id, strings.NewReader(job.body()))
	if err != nil {
		return 0
	}
	request.Host = "nony24.example"
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	deployment.record.add("send", "POST %s at %s deadline=%d", job.id, vm.name, deadline.Milliseconds())
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		reason := "channel broken"
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = "no answer in time"
		}
		deployment.record.add("answer", "POST %s: %s", job.id, reason)
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	deployment.record.add("answer", "POST %s: %d %s", job.id, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}
