package control

import (
	"context"
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
	"tanagerfall/shared/version/plan"
)

// Issue returns count new submission IDs for a team, or none if the ledger is
// frozen. The error is ErrStopped or the context's.
func (loop *Loop) Issue(ctx context.Context, team string, count int) ([]submission.ID, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- []submission.ID) event {
		return issue{
			team:  team,
			count: count,
			reply: reply,
		}
	})
}

// Submit runs a job under id, or attaches to the job that runs under id already,
// and returns when it has ended. If it has ended before, Submit returns its answer.
// The error is ErrStopped or the context's.
func (loop *Loop) Submit(ctx context.Context, id submission.ID, job job.Job) (Reply, error) {
	return loop.sendAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:    id,
			job:   job,
			reply: reply,
		}
	})
}

// Request runs a single request, a job of one task, under an id that was issued for
// it. It returns when the task has ended. The error is ErrStopped or the context's.
func (loop *Loop) Request(ctx context.Context, id submission.ID, job job.Job) (Reply, error) {
	return loop.sendAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:     id,
			job:    job,
			single: true,
			reply:  reply,
		}
	})
}

// Refuse records refusal as the answer under id, so that no job can run under it.
// If a submission has used id before, Refuse returns the reply of Submit instead.
// The error is ErrStopped or the context's.
func (loop *Loop) Refuse(ctx context.Context, id submission.ID, refusal job.Answer) (Reply, error) {
	return loop.sendAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:      id,
			refusal: &refusal,
			reply:   reply,
		}
	})
}

// Lookup returns the state of the submission under id, without waiting for a
// running job. The error is ErrStopped or the context's.
func (loop *Loop) Lookup(ctx context.Context, id submission.ID) (Reply, error) {
	return loop.sendAndWait(ctx, id, func(reply chan<- Reply) event {
		return lookup{
			id:    id,
			reply: reply,
		}
	})
}

// Cancel cancels the job of id and returns its answer when it has ended. If no job
// has used id yet, id is spent, so that none can. The error is ErrStopped or the
// context's.
func (loop *Loop) Cancel(ctx context.Context, id submission.ID) (Reply, error) {
	return loop.sendAndWait(ctx, id, func(reply chan<- Reply) event {
		return cancel{
			id:    id,
			reply: reply,
		}
	})
}

// NotifyDispatch passes an event to the dispatch core. It may block while the event
// queue is full.
func (loop *Loop) NotifyDispatch(event dispatch.Event) {
	_ = loop.send(context.Background(), dispatchEvent{
		coreEvent: event,
	})
}

// NotifyVMList passes a new list of VMs from the platform to the view of the fleet.
// It may block while the event queue is full.
func (loop *Loop) NotifyVMList(response platform.VMsResponse) {
	_ = loop.send(context.Background(), vmListRead{
		response: response,
	})
}

// ApplyRecords applies the records of a read of the plan stream and returns the
// offset of the next read. The records are decoded on the caller's goroutine,
// because a snapshot at the target scale takes 58 ms. The error is ErrStopped or
// the context's.
func (loop *Loop) ApplyRecords(ctx context.Context, response platform.ReadResponse) (int64, error) {
	read := plan.DecodeRead(response)
	return sendAndReceive(ctx, loop, func(reply chan<- int64) event {
		return recordsRead{
			read:  read,
			reply: reply,
		}
	})
}

// RecordsTrimmed reports that the plan stream now begins at firstOffset and returns
// the offset of the next read. The error is ErrStopped or the context's.
func (loop *Loop) RecordsTrimmed(ctx context.Context, firstOffset int64) (int64, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- int64) event {
		return recordsTrimmed{
			firstOffset: firstOffset,
			reply:       reply,
		}
	})
}

// Heartbeat processes a peer's heartbeat and returns this VM's. The error is
// ErrStopped or the context's.
func (loop *Loop) Heartbeat(ctx context.Context, message peer.HeartbeatMessage) (peer.HeartbeatMessage, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- peer.HeartbeatMessage) event {
		return heartbeat{
			message: message,
			reply:   reply,
		}
	})
}

// NotifyFleet passes an event to the view of the fleet. It may block while the event
// queue is full.
func (loop *Loop) NotifyFleet(event fleet.Event) {
	_ = loop.send(context.Background(), fleetEvent{
		viewEvent: event,
	})
}

// PullPlan returns the latest known plan if its version is above aboveVersion,
// otherwise an empty response. The plan is encoded on the caller's goroutine. The
// error is ErrStopped, the context's or that of the encoding.
func (loop *Loop) PullPlan(ctx context.Context, aboveVersion int64) (peer.PullPlanResponse, error) {
	snapshot, err := sendAndReceive(ctx, loop, func(reply chan<- *plan.Snapshot) event {
		return planPull{
			aboveVersion: aboveVersion,
			reply:        reply,
		}
	})
	if err != nil || snapshot == nil {
		return peer.PullPlanResponse{}, err
	}
	data, err := plan.Encode(snapshot)
	if err != nil {
		return peer.PullPlanResponse{}, err
	}
	return peer.PullPlanResponse{
		Version:  snapshot.Version,
		ReadUpTo: snapshot.ReadUpTo,
		Snapshot: data,
	}, nil
}

// SnapshotAppendEnded reports that the append of a snapshot ended, successfully or
// not.
func (loop *Loop) SnapshotAppendEnded(ctx context.Context) {
	_ = loop.Do(ctx, loop.config.Plans.SnapshotAppendEnded)
}

// PlanPullEnded reports the snapshot that a peer sent in response to a plan pull, or
// nil if it sent none.
func (loop *Loop) PlanPullEnded(snapshot *plan.Snapshot) {
	_ = loop.send(context.Background(), planPullEnded{
		snapshot: snapshot,
	})
}

// LendSlots lends slots and shares of team caps to a peer and returns the response
// to its request. The error is ErrStopped or the context's.
func (loop *Loop) LendSlots(ctx context.Context, request *peer.BorrowSlotsRequest) (peer.BorrowSlotsResponse, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- peer.BorrowSlotsResponse) event {
		return slotsRequested{
			request: request,
			reply:   reply,
		}
	})
}

// ReturnSlots takes back slots and shares that a peer returns.
func (loop *Loop) ReturnSlots(request *peer.ReturnSlotsRequest) {
	_ = loop.send(context.Background(), slotsReturned{
		request: request,
	})
}

// RecallSlots ends the use of slots that a peer lent to this VM and now recalls.
func (loop *Loop) RecallSlots(request *peer.RecallSlotsRequest) {
	_ = loop.send(context.Background(), slotsRecalled{
		request: request,
	})
}

// BorrowEnded reports the response of a peer to a request for slots. The response is
// nil if there was none; delivered then reports whether the peer may have received
// the request.
func (loop *Loop) BorrowEnded(response *peer.BorrowSlotsResponse, delivered bool) {
	_ = loop.send(context.Background(), borrowEnded{
		response:  response,
		delivered: delivered,
	})
}

// Dump returns the state dump of the control goroutine. The error is ErrStopped or
// the context's.
func (loop *Loop) Dump(ctx context.Context) (Dump, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- Dump) event {
		return dump{
			reply: reply,
		}
	})
}

// Do calls function on the control goroutine and returns when the call has ended.
// The error is ErrStopped or the context's; function may still be called then.
func (loop *Loop) Do(ctx context.Context, function func(now time.Time)) error {
	done := make(chan struct{})
	err := loop.send(ctx, functionCall{
		function: function,
		done:     done,
	})
	if err != nil {
		return err
	}
	_, err = receive(ctx, loop, done)
	return err
}

// sendAndWait sends an event about id that build returns and waits for its reply.
// If it stops waiting, it removes the waiter that the event may have added.
func (loop *Loop) sendAndWait(ctx context.Context, id submission.ID, build func(chan<- Reply) event) (Reply, error) {
	reply := make(chan Reply, 1)
	if err := loop.send(ctx, build(reply)); err != nil {
		return Reply{}, err
	}
	result, err := receive(ctx, loop, reply)
	if err != nil {
		_ = loop.send(context.Background(), removeWaiter{
			key:   id.Key,
			reply: reply,
		})
	}
	return result, err
}

// sendAndReceive sends an event that build returns and waits for its reply. The
// channel has capacity for the reply, so that the Loop never blocks on it.
func sendAndReceive[Value any](ctx context.Context, loop *Loop, build func(chan<- Value) event) (Value, error) {
	reply := make(chan Value, 1)
	if err := loop.send(ctx, build(reply)); err != nil {
		var none Value
		return none, err
	}
	return receive(ctx, loop, reply)
}

// send puts an event into the queue. The error is ErrStopped or the context's.
func (loop *Loop) send(ctx context.Context, event event) error {
	select {
	case loop.events <- event:
		return nil
	case <-loop.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receive waits for a reply. The error is ErrStopped or the context's.
func receive[Value any](ctx context.Context, loop *Loop, reply <-chan Value) (Value, error) {
	var zero Value
	select {
	case value := <-reply:
		return value, nil
	case <-loop.stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
