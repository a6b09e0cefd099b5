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
	// drainGrace is how long a VM that stops goes on taking jobs, so that the
	// balancer notices that it is not ready.
	drainGrace = time.Second
	// drainTimeout bounds the wait for running jobs and open requests. It is
	// above the longest deadline of a job.
	drainTimeout = 310 * time.Second
	// handoverTimeout bounds the hand-over of the ledger.
	handoverTimeout = 10 * time.Second
	// messageTimeout bounds one message of a hand-over.
	messageTimeout = time.Second
	// redirectLinger is how long the VM still forwards after the hand-over,
	// until all peers know the successor.
	redirectLinger = time.Second
	drainPoll      = 5 * time.Millisecond
)

// awaitDrain carries out the graceful shutdown when it is asked for.
func (process *Process) awaitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-process.drain:
	}
	process.logger.Log(logevent.ProcessStopping)
	if err := process.handOver(ctx); err != nil {
		process.logger.Log(logevent.HandoverFailed, "cause", err.Error())
	}
	process.shutDownCallers(ctx)
	wait(ctx, redirectLinger)
	process.group.Stop()
	return nil
}

// handOver finishes the running jobs and hands the ledger to a successor.
func (process *Process) handOver(ctx context.Context) error {
	if err := process.loop.BeginDrain(ctx); err != nil {
		return err
	}
	wait(ctx, drainGrace)
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
	process.drive(ctx, sender)
	redirects, err := process.loop.EndHandover(ctx, sender)
	if err != nil {
		return err
	}
	return process.announce(ctx, redirects)
}

func (process *Process) awaitJobs(ctx context.Context) error {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		running, err := process.loop.RunningJobs(ctx)
		if err != nil || running == 0 {
			return err
		}
		wait(ctx, drainPoll)
	}
	return nil
}

// drive sends the messages of a hand-over until it has ended.
func (process *Process) drive(ctx context.Context, sender *handover.Sender) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	results := make(chan handover.Result)
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		if outcome, _, _ := sender.Outcome(); outcome != handover.InProgress {
			break
		}
		for _, message := range sender.Next(time.Now()) {
			sending.Go(func() { process.sendPart(ctx, message, results) })
		}
		select {
		case result := <-results:
			sender.Handle(time.Now(), result)
		case <-time.After(drainPoll):
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
	sending.Wait()
	close(results)
}

func (process *Process) sendPart(ctx context.Context, message handover.Message, results chan<- handover.Result) {
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

// announce tells all live peers who holds this VM's submissions now. Peers
// that do not get it learn it from heartbeats.
func (process *Process) announce(ctx context.Context, redirects []peer.Redirect) error {
	if len(redirects) == 0 {
		return nil
	}
	addresses, err := process.loop.Peers(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, address := range addresses {
		sending.Go(func() {
			_, _ = peer.AnnounceRedirect.Call(ctx, process.pool, address, &peer.RedirectRequest{
				Redirects: redirects,
			})
		})
	}
	sending.Wait()
	return nil
}

// shutDownCallers takes no more requests and lets the open ones end.
func (process *Process) shutDownCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	_ = process.callerHTTP.Shutdown(ctx)
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
