package process

import (
	"context"
	"errors"
	"sync"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/request/handover"
)

const (
	// drainGrace is the time for which a draining VM still accepts jobs, so that
	// the load balancer notices that the VM is not ready.
	drainGrace = time.Second
	// drainTimeout bounds the wait for running jobs and open requests. It exceeds
	// the longest deadline of a job.
	drainTimeout = 310 * time.Second
	// handoverTimeout bounds the hand-over of the ledger.
	handoverTimeout = 10 * time.Second
	// messageTimeout bounds one message of a hand-over.
	messageTimeout = time.Second
	// redirectGrace is the time for which the VM still forwards requests after the
	// hand-over, until all peers know the successor.
	redirectGrace = time.Second
	// drainPollInterval is the time between two checks for running jobs, and
	// between two checks for hand-over messages that are due.
	drainPollInterval = 5 * time.Millisecond
)

// awaitShutdown waits for a call of Drain and then carries out the graceful
// shutdown.
func (process *Process) awaitShutdown(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-process.shutdownRequested:
	}
	process.logger.Log(logevent.ProcessStopping)
	if err := process.handOver(ctx); err != nil {
		process.logger.Log(logevent.HandoverFailed, "cause", err.Error())
	}
	process.shutDownCallers(ctx)
	sleep(ctx, redirectGrace)
	process.group.Stop()
	return nil
}

// handOver drains this VM, that is, it waits until the running jobs have ended, and
// then hands the ledger over to a successor.
func (process *Process) handOver(ctx context.Context) error {
	if err := process.loop.BeginDrain(ctx); err != nil {
		return err
	}
	sleep(ctx, drainGrace)
	if err := process.loop.Freeze(ctx); err != nil {
		return err
	}
	if err := process.awaitJobs(ctx); err != nil {
		return err
	}
	sender, err := process.loop.StartHandover(ctx)
	if err != nil {
		return err
	}
	process.sendLedger(ctx, sender)
	redirects, err := process.loop.EndHandover(ctx, sender)
	if err != nil {
		return err
	}
	return process.announceRedirects(ctx, redirects)
}

// awaitJobs returns when no job is running or after drainTimeout.
func (process *Process) awaitJobs(ctx context.Context) error {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		running, err := process.loop.RunningJobs(ctx)
		if err != nil || running == 0 {
			return err
		}
		sleep(ctx, drainPollInterval)
	}
	return nil
}

// sendLedger sends the messages of a hand-over until it has ended. After
// handoverTimeout it abandons the hand-over.
func (process *Process) sendLedger(ctx context.Context, sender *handover.Sender) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	results := make(chan handover.Result)
	var messages sync.WaitGroup
	defer messages.Wait()
	for {
		if outcome, _, _ := sender.Outcome(); outcome != handover.InProgress {
			break
		}
		for _, message := range sender.Next(time.Now()) {
			messages.Go(func() { process.sendMessage(ctx, message, results) })
		}
		select {
		case result := <-results:
			sender.Handle(time.Now(), result)
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			sender.Abandon()
		}
	}
	cancel()
	go func() {
		for range results {
			continue
		}
	}()
	messages.Wait()
	close(results)
}

// sendMessage sends one message of a hand-over and passes on the result.
func (process *Process) sendMessage(ctx context.Context, message handover.Message, results chan<- handover.Result) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var response *peer.HandOverResponse
	var err error
	switch message.Step {
	case handover.StepBegin:
		response, err = peer.HandOverBegin.Call(ctx, process.pool, message.Address, message.Begin)
	case handover.StepPiece:
		response, err = peer.HandOverPiece.Call(ctx, process.pool, message.Address, message.Piece)
	case handover.StepCommit:
		response, err = peer.HandOverCommit.Call(ctx, process.pool, message.Address, message.Commit)
	}
	result := handover.Result{
		Message:   message,
		Response:  response,
		Delivered: true,
	}
	if err != nil {
		result.Response = nil
		result.Delivered = !errors.Is(err, peer.ErrNotDelivered)
	}
	results <- result
}

// announceRedirects sends the redirects of this VM's submissions to all live peers.
// Peers that do not receive them learn the redirects from heartbeats.
func (process *Process) announceRedirects(ctx context.Context, redirects []peer.Redirect) error {
	if len(redirects) == 0 {
		return nil
	}
	addresses, err := process.loop.LivePeers(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var messages sync.WaitGroup
	for _, address := range addresses {
		messages.Go(func() {
			_, _ = peer.AnnounceRedirect.Call(ctx, process.pool, address, &peer.RedirectRequest{
				Redirects: redirects,
			})
		})
	}
	messages.Wait()
	return nil
}

// shutDownCallers stops accepting requests of callers and waits for the open ones.
func (process *Process) shutDownCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_ = process.callerHTTPServer.Shutdown(ctx)
}

// sleep returns after duration or when ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
