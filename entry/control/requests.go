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

// Issue returns count fresh IDs for a team. The error is ErrStopped or the
// context's.
func (loop *Loop) Issue(ctx context.Context, team string, count int) ([]submission.ID, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- []submission.ID) event {
		return issue{
			team:  team,
			count: count,
			reply: reply,
		}
	})
}

// Submit runs a job under id, or attaches to the run that is under way, and
// returns when the job has ended.
func (loop *Loop) Submit(ctx context.Context, id submission.ID, job job.Job) (Reply, error) {
	return loop.submitAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:    id,
			job:   job,
			reply: reply,
		}
	})
}

// Request runs a single request under id, which was issued for it.
func (loop *Loop) Request(ctx context.Context, id submission.ID, job job.Job) (Reply, error) {
	return loop.submitAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:     id,
			job:    job,
			single: true,
			reply:  reply,
		}
	})
}

// Refuse spends id on a refusal, unless it was spent before; the earlier
// answer is returned then.
func (loop *Loop) Refuse(ctx context.Context, id submission.ID, refusal job.Answer) (Reply, error) {
	return loop.submitAndWait(ctx, id, func(reply chan<- Reply) event {
		return submit{
			id:      id,
			refusal: &refusal,
			reply:   reply,
		}
	})
}

// Lookup returns what became of id.
func (loop *Loop) Lookup(ctx context.Context, id submission.ID) (Reply, error) {
	return loop.submitAndWait(ctx, id, func(reply chan<- Reply) event {
		return lookup{
			id:    id,
			reply: reply,
		}
	})
}

// Cancel gives the job of id up and returns its answer.
func (loop *Loop) Cancel(ctx context.Context, id submission.ID) (Reply, error) {
	return loop.submitAndWait(ctx, id, func(reply chan<- Reply) event {
		return cancel{
			id:    id,
			reply: reply,
		}
	})
}

// NotifyDispatch passes an event to the dispatch core.
func (loop *Loop) NotifyDispatch(event dispatch.Event) {
	_ = loop.send(context.Background(), dispatchEvent{
		coreEvent: event,
	})
}

// NotifyVMList passes a new VM list on.
func (loop *Loop) NotifyVMList(response platform.VmsResponse) {
	_ = loop.send(context.Background(), vmListRead{
		response: response,
	})
}

// ApplyRecords passes on what a read of the plan stream brought and returns
// the offset to read next. The records are decoded on the caller's goroutine:
// a snapshot at the target scale takes 58 ms.
func (loop *Loop) ApplyRecords(ctx context.Context, response platform.ReadResponse) (int64, error) {
	read := plan.DecodeRead(response)
	return sendAndReceive(ctx, loop, func(reply chan<- int64) event {
		return recordsRead{
			read:  read,
			reply: reply,
		}
	})
}

// RecordsTrimmed tells that the plan stream now begins at first and returns the
// offset to read next.
func (loop *Loop) RecordsTrimmed(ctx context.Context, first int64) (int64, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- int64) event {
		return recordsTrimmed{
			firstOffset: first,
			reply:       reply,
		}
	})
}

// Heartbeat takes in a peer's heartbeat and returns this VM's.
func (loop *Loop) Heartbeat(ctx context.Context, message peer.HeartbeatMessage) (peer.HeartbeatMessage, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- peer.HeartbeatMessage) event {
		return heartbeat{
			message: message,
			reply:   reply,
		}
	})
}

// NotifyFleet passes an event to the fleet's view.
func (loop *Loop) NotifyFleet(event fleet.Event) {
	_ = loop.send(context.Background(), fleetEvent{
		viewEvent: event,
	})
}

// PullPlan returns the plan known if its version is above after. It is encoded
// on the caller's goroutine.
func (loop *Loop) PullPlan(ctx context.Context, after int64) (peer.PullPlanResponse, error) {
	snapshot, err := sendAndReceive(ctx, loop, func(reply chan<- *plan.Snapshot) event {
		return planPull{
			aboveVersion: after,
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

// SnapshotAppendEnded tells that the append of a snapshot ended, well or not.
func (loop *Loop) SnapshotAppendEnded(ctx context.Context) {
	_ = loop.Do(ctx, loop.config.Plans.SnapshotAppendEnded)
}

// PlanPullEnded passes on the plan that a peer gave, or nil where it gave none.
func (loop *Loop) PlanPullEnded(snapshot *plan.Snapshot) {
	_ = loop.send(context.Background(), planPullEnded{
		snapshot: snapshot,
	})
}

// LendSlots answers a peer that is short of slots.
func (loop *Loop) LendSlots(ctx context.Context, request *peer.BorrowSlotsRequest) (peer.BorrowSlotsResponse, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- peer.BorrowSlotsResponse) event {
		return slotsRequested{
			request: request,
			reply:   reply,
		}
	})
}

// ReturnSlots takes slots back that were lent to a peer.
func (loop *Loop) ReturnSlots(request *peer.ReturnSlotsRequest) {
	_ = loop.send(context.Background(), slotsReturned{
		request: request,
	})
}

// RecallSlots ends the use of slots that a peer lent and wants back.
func (loop *Loop) RecallSlots(request *peer.RecallSlotsRequest) {
	_ = loop.send(context.Background(), slotsRecalled{
		request: request,
	})
}

// BorrowEnded passes on what a peer answered to a request for slots; nil
// means that it gave no answer, and delivered whether it may have got the
// request.
func (loop *Loop) BorrowEnded(response *peer.BorrowSlotsResponse, delivered bool) {
	_ = loop.send(context.Background(), borrowEnded{
		response:  response,
		delivered: delivered,
	})
}

// Dump returns a copy of the control state.
func (loop *Loop) Dump(ctx context.Context) (Dump, error) {
	return sendAndReceive(ctx, loop, func(reply chan<- Dump) event {
		return dump{
			reply: reply,
		}
	})
}

// Do runs a function on the control goroutine and waits for its end.
func (loop *Loop) Do(ctx context.Context, run func(now time.Time)) error {
	done := make(chan struct{})
	err := loop.send(ctx, functionCall{
		function: run,
		done:     done,
	})
	if err != nil {
		return err
	}
	_, err = receive(ctx, loop, done)
	return err
}

func (loop *Loop) submitAndWait(ctx context.Context, id submission.ID, build func(chan<- Reply) event) (Reply, error) {
	reply := make(chan Reply, 1)
	if err := loop.send(ctx, build(reply)); err != nil {
		return Reply{}, err
	}
	answered, err := receive(ctx, loop, reply)
	if err != nil {
		_ = loop.send(context.Background(), removeWaiter{
			key:   id.Key,
			reply: reply,
		})
	}
	return answered, err
}

// sendAndReceive sends an event that build makes and waits for its reply. The channel has
// room for the reply, so that the Loop never blocks on it.
func sendAndReceive[Value any](ctx context.Context, loop *Loop, build func(chan<- Value) event) (Value, error) {
	reply := make(chan Value, 1)
	if err := loop.send(ctx, build(reply)); err != nil {
		var none Value
		return none, err
	}
	return receive(ctx, loop, reply)
}

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
