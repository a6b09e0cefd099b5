package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	cancelBound  = 3000 * time.Millisecond
	contactBound = 3000 * time.Millisecond
)

// errNotAcknowledged means that the cancel was not acknowledged, so that there is
// nothing to judge.
var errNotAcknowledged = errors.New("the cancel was not acknowledged")

// chainedJob returns the body of a job of steps of 1 s, each of which depends on the
// one before.
func chainedJob(steps, tasks int) string {
	var rows []string
	for step := range steps {
		dependency := ""
		if step > 0 {
			dependency = fmt.Sprintf(`,"depends-on":[%d]`, step-1)
		}
		rows = append(rows, fmt.Sprintf(`{"count":%d,"cpu":6800,"mem-mb":64,"estimate-ms":1000%s}`, tasks, dependency))
	}
	return fmt.Sprintf(`{"spec":"1000","best-effort":true,"steps":[%s]}`, strings.Join(rows, ","))
}

// cancelFrozenEntry plays UNASKED: a machine freezes while it holds the POST of a
// job. Its client cancels the job through another machine and gets the
// acknowledgement. Then the machine wakes.
func cancelFrozenEntry(system *system, trouble bool) (result, error) {
	scheduler, err := system.scheduler()
	if err != nil {
		return cannotRun, err
	}
	entry := system.forward(zones[0], scheduler)
	id := newID()
	body := chainedJob(8, 2)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		system.call(context.Background(), entry, http.MethodPost, prefix+id, body, 20*time.Second)
	}()
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		system.signal(entry, syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	time.Sleep(2200 * time.Millisecond)
	// The client has heard nothing and gives the job up.
	status, _ := system.call(context.Background(), system.forward(entry.zone, entry), http.MethodDelete, prefix+id, "", 4*time.Second)
	acknowledgedAt := time.Now()
	if status/100 != 2 && status != http.StatusGone {
		return cannotRun, errNotAcknowledged
	}
	time.Sleep(time.Until(frozenAt.Add(3500 * time.Millisecond)))
	if trouble {
		system.signal(entry, syscall.SIGCONT)
	}
	wokenAt := time.Now()
	select {
	case <-answered:
	case <-time.After(20 * time.Second):
	}
	return system.judgeCancels(map[string]time.Time{id: acknowledgedAt}, wokenAt), nil
}

// judgeCancels checks UNASKED for jobs whose cancels were acknowledged at the given
// times. Only starts count at which all machines have been in touch since the end of
// the last disturbance.
func (system *system) judgeCancels(acknowledged map[string]time.Time, calmSince time.Time) result {
	outcome := held
	for _, start := range system.journal.all() {
		acknowledgedAt, cancelled := acknowledged[start.job()]
		if !cancelled || start.at.Before(acknowledgedAt.Add(cancelBound)) || start.at.Before(calmSince.Add(contactBound)) {
			continue
		}
		outcome = broken
		system.recorder.add("UNASKED: %s run %d was started %d ms after the cancel was acknowledged", start.task, start.run,
			start.at.Sub(acknowledgedAt).Milliseconds())
	}
	return outcome
}

// resendDelay is the time after which a client sends a job again.
const resendDelay = 1300 * time.Millisecond

// cancelResend plays UNASKED: a job is cancelled by one client while another one
// waits for its answer. That client gets a 504 and sends the job again, as clients
// do after a 504.
func cancelResend(system *system, trouble bool) (result, error) {
	startedAt := time.Now()
	id := newID()
	body := chainedJob(8, 2)
	entry := system.forward(zones[0], nil)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		const patience = 20 * time.Second
		sentAt := time.Now()
		for attempt := 1; ; attempt++ {
			left := patience - time.Since(sentAt)
			status, _ := system.call(context.Background(), entry, http.MethodPost, prefix+id, body, left)
			mayResend := status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
			if !trouble || !mayResend || attempt == 3 || left < 2*resendDelay {
				return
			}
			time.Sleep(resendDelay)
			entry = system.forward(entry.zone, entry)
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	status, _ := system.call(context.Background(), system.forward(zones[1], nil), http.MethodDelete, prefix+id, "", 4*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		return cannotRun, errNotAcknowledged
	}
	acknowledged := map[string]time.Time{id: time.Now()}
	<-finished
	time.Sleep(2 * time.Second)
	return system.judgeCancels(acknowledged, startedAt.Add(-contactBound)), nil
}
