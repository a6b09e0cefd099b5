package handover_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/handover"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

// successor serves the messages of hand-overs to a VM over DRPC.
type successor struct {
	peer.Handlers
	mutex sync.Mutex
	vm    *vm
}

func (successor *successor) HandOverBegin(_ context.Context, request *peer.HandOverBeginRequest) (*peer.HandOverResponse, error) {
	successor.mutex.Lock()
	defer successor.mutex.Unlock()
	return successor.vm.receiver.Begin(time.Now(), request, true), nil
}

func (successor *successor) HandOverPiece(_ context.Context, request *peer.HandOverPieceRequest) (*peer.HandOverResponse, error) {
	successor.mutex.Lock()
	defer successor.mutex.Unlock()
	return successor.vm.receiver.Piece(time.Now(), request), nil
}

func (successor *successor) HandOverCommit(_ context.Context, request *peer.HandOverCommitRequest) (*peer.HandOverResponse, error) {
	successor.mutex.Lock()
	defer successor.mutex.Unlock()
	response, transfer := successor.vm.receiver.Commit(time.Now(), request, true)
	if transfer != nil {
		successor.vm.ledger.Import(transfer.Pieces)
	}
	return response, nil
}

// handOver hands the pieces of a ledger over to the VM at address.
func handOver(b *testing.B, pool *peer.Pool, address string, pieces []submission.Piece) {
	sender := handover.NewSender(1, "a", pieces, []string{address})
	results := make(chan handover.Result)
	for {
		outcome, _, _ := sender.Outcome()
		if outcome != handover.InProgress {
			assert.Equal(b, outcome, handover.Committed)
			return
		}
		for _, message := range sender.Next(time.Now()) {
			go func() { results <- send(pool, message) }()
		}
		sender.Handle(time.Now(), <-results)
	}
}

func send(pool *peer.Pool, message handover.Message) handover.Result {
	ctx := context.Background()
	result := handover.Result{Message: message, Delivered: true}
	switch message.Step {
	case handover.StepBegin:
		result.Response, _ = peer.HandOverBegin.Call(ctx, pool, message.Address, message.Begin)
	case handover.StepPiece:
		result.Response, _ = peer.HandOverPiece.Call(ctx, pool, message.Address, message.Piece)
	case handover.StepCommit:
		result.Response, _ = peer.HandOverCommit.Call(ctx, pool, message.Address, message.Commit)
	}
	return result
}

// BenchmarkHandOver measures whole hand-overs on loopback.
func BenchmarkHandOver(b *testing.B) {
	for _, count := range []int{10_000, 100_000, 1_000_000} {
		for _, answered := range []bool{false, true} {
			b.Run(fmt.Sprintf("ids=%d/answers=%t", count, answered), func(b *testing.B) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(b, err)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				server := &successor{}
				go func() { _ = peer.Serve(ctx, listener, server, peer.ServerOptions{}) }()
				pool := peer.NewPool(peer.PoolOptions{})
				defer pool.Close()
				ledger := newFrozenLedger(count, answered)
				for b.Loop() {
					server.vm = newVM("b", 2)
					handOver(b, pool, listener.Addr().String(), ledger.Export(start, submission.DefaultPieceEntries))
				}
				assert.Equal(b, server.vm.ledger.Stats().Entries, count)
			})
		}
	}
}

// newFrozenLedger returns a frozen ledger of count spent IDs. If answered is
// set, it holds their answers with five results of about 40 bytes each, otherwise
// none.
func newFrozenLedger(count int, answered bool) *submission.Ledger {
	maxBytes := 0
	if answered {
		maxBytes = 1 << 30
	}
	ledger := submission.NewLedger(submission.Identity{Incarnation: 1}, maxBytes)
	answer := job.Answer{Outcome: job.Complete}
	for i := range 5 {
		answer.Results = append(answer.Results, job.Result{
			Index:    i,
			Upstream: "10.0.0.1:8000",
			RunMs:    120,
			Output:   []byte(`{"value":"0123456789012345678901234567"}`),
		})
	}
	for remaining := count; remaining > 0; {
		for _, id := range ledger.Issue(start, "team", min(remaining, submission.MaxBlock)) {
			ledger.Claim(start, id)
			ledger.Finish(id.Key, answer, 500)
			remaining--
		}
	}
	ledger.Freeze()
	return ledger
}
