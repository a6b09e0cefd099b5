package handover_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/handover"
	"tanagerfall/shared/request/job"
	"tanagerfall/shared/request/submission"
)

var start = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

const maxAnswerBytes = 1 << 20

// vm is an entry VM that can receive a hand-over.
type vm struct {
	address   string
	ledger    *submission.Ledger
	receiver  *handover.Receiver
	accepting bool
}

func newVM(address string, incarnation uint64) *vm {
	return &vm{
		address: address,
		ledger: submission.NewLedger(submission.Identity{
			Address:     address,
			Incarnation: incarnation,
		}, maxAnswerBytes),
		receiver:  handover.NewReceiver(incarnation),
		accepting: true,
	}
}

// deliver encodes and decodes a message and passes it to the VM.
func (vm *vm) deliver(now time.Time, message handover.Message) *peer.HandOverResponse {
	switch message.Step {
	case handover.StepBegin:
		return vm.receiver.Begin(now, recode(message.Begin), vm.accepting)
	case handover.StepPiece:
		return vm.receiver.Piece(now, recode(message.Piece))
	case handover.StepCommit:
		response, transfer := vm.receiver.Commit(now, recode(message.Commit), vm.accepting)
		if transfer != nil {
			vm.ledger.Import(transfer.Pieces)
		}
		return response
	}
	panic("message has an unknown step")
}

func recode[Request any](request *Request) *Request {
	data, err := peer.Encoding{}.Marshal(request)
	if err != nil {
		panic(err)
	}
	result := new(Request)
	if err := (peer.Encoding{}).Unmarshal(data, result); err != nil {
		panic(err)
	}
	return result
}

// spendSomeIDs issues IDs on a VM and spends three quarters of them. IDs with an
// odd index are answered, and those whose index is a multiple of four still run.
func spendSomeIDs(vm *vm, count int) (spent, unspent []submission.ID) {
	for i, id := range vm.ledger.Issue(start, "team", count) {
		if i%2 == 0 && i%4 != 0 {
			unspent = append(unspent, id)
			continue
		}
		spent = append(spent, id)
		vm.ledger.Claim(start, id)
		if i%2 == 1 {
			vm.ledger.Finish(id.Key, job.Answer{Outcome: job.Complete, SubmissionID: id.Key.String()}, 100)
		}
	}
	return spent, unspent
}

// completeHandOver carries out a hand-over without faults to its end.
func completeHandOver(t assert.TestingT, from *vm, sender *handover.Sender, vms map[string]*vm) {
	now := start
	for range 1000 {
		if outcome, _, _ := sender.Outcome(); outcome != handover.InProgress {
			return
		}
		for _, message := range sender.Next(now) {
			sender.Handle(now, handover.Result{
				Message:  message,
				Response: vms[message.Address].deliver(now, message),
			})
		}
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, false, "hand-over of %s did not end", from.address)
}

// Guards against a chain of hand-overs that loses IDs or answers, or after which
// a spent ID can be spent again.
func TestChainOfHandOvers(t *testing.T) {
	vmA, vmB, vmC := newVM("a", 1), newVM("b", 2), newVM("c", 3)
	vms := map[string]*vm{"b": vmB, "c": vmC}
	spent, unspent := spendSomeIDs(vmA, 40)
	moreSpent, moreUnspent := spendSomeIDs(vmB, 40)
	for _, step := range []struct {
		from        *vm
		incarnation uint64
		to          string
	}{{vmA, 1, "b"}, {vmB, 2, "c"}} {
		step.from.ledger.Freeze()
		sender := handover.NewSender(step.incarnation, step.from.address, step.from.ledger.Export(start, 7), []string{step.to})
		completeHandOver(t, step.from, sender, vms)
		outcome, address, _ := sender.Outcome()
		assert.Equal(t, outcome, handover.Committed)
		assert.Equal(t, address, step.to)
	}
	for _, id := range append(spent, moreSpent...) {
		claim, answered := vmC.ledger.Claim(start, id).(submission.ClaimAnswered)
		assert.Assert(t, answered, "%v", id.Key)
		if id.Key.Counter%2 == 0 {
			assert.Equal(t, claim.Answer.SubmissionID, id.Key.String())
		} else {
			assert.Equal(t, claim.Answer.Started, job.StartedUnknown)
		}
	}
	for _, id := range append(unspent, moreUnspent...) {
		assert.Equal(t, vmB.ledger.Claim(start, id), submission.ClaimResult(submission.ClaimFrozen{}))
		assert.Equal(t, vmC.ledger.Claim(start, id), submission.ClaimResult(submission.ClaimNew{}))
	}
}

// network delivers the messages of a hand-over and injects faults.
type network struct {
	now    time.Time
	sender *handover.Sender
	vms    []*vm
	// lastIncarnation is the incarnation of the VM that started last.
	lastIncarnation uint64
	// stopped holds the VMs that failed. They may have spent IDs before.
	stopped []*vm
	// pending holds the messages without a result. deliverable holds those with
	// a result that may still arrive, late or once more.
	pending     []handover.Message
	deliverable []handover.Message
}

func (network *network) target(message handover.Message) *vm {
	for _, vm := range network.vms {
		if vm.address == message.Address {
			return vm
		}
	}
	return nil
}

func (network *network) step(t *rapid.T) {
	network.now = network.now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
	network.pending = append(network.pending, network.sender.Next(network.now)...)
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0:
		if len(network.deliverable) > 0 {
			message := network.deliverable[rapid.IntRange(0, len(network.deliverable)-1).Draw(t, "late")]
			network.target(message).deliver(network.now, message)
		}
		return
	case 1:
		if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
			index := rapid.IntRange(0, len(network.vms)-1).Draw(t, "vm")
			network.lastIncarnation++
			network.stopped = append(network.stopped, network.vms[index])
			network.vms[index] = newVM(network.vms[index].address, network.lastIncarnation)
		}
		return
	}
	if len(network.pending) == 0 {
		return
	}
	index := rapid.IntRange(0, len(network.pending)-1).Draw(t, "message")
	message := network.pending[index]
	network.pending = append(network.pending[:index:index], network.pending[index+1:]...)
	result := handover.Result{Message: message}
	switch rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "lost", "response lost", "refused"}).Draw(t, "fate") {
	case "arrives":
		result.Response = network.target(message).deliver(network.now, message)
		result.Delivered = true
		network.deliverable = append(network.deliverable, message)
	case "lost":
		result.Delivered = true
		network.deliverable = append(network.deliverable, message)
	case "response lost":
		network.target(message).deliver(network.now, message)
		result.Delivered = true
		network.deliverable = append(network.deliverable, message)
	case "refused":
	}
	network.sender.Handle(network.now, result)
}

// Guards against an ID that two VMs can spend and against a spent ID that can be
// spent again. Lost, repeated, late and reordered messages, a lost commit, and
// successors that fail or refuse at any time could cause it.
func TestHandOverUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sendingVM := newVM("old", 1)
		spent, unspent := spendSomeIDs(sendingVM, 24)
		sendingVM.ledger.Freeze()
		network := &network{
			now:             start,
			vms:             []*vm{newVM("b", 2), newVM("c", 3)},
			lastIncarnation: 3,
		}
		network.vms[0].accepting = rapid.Bool().Draw(t, "b accepts transfers")
		network.sender = handover.NewSender(1, "old", sendingVM.ledger.Export(start, 5), []string{"b", "c"})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			network.step(t)
		}
		outcome := network.sender.Abandon()
		if outcome == handover.Abandoned {
			sendingVM.ledger.Thaw()
		}
		// Messages sent before the end may still arrive.
		network.deliverable = append(network.deliverable, network.pending...)
		for range len(network.deliverable) {
			message := network.deliverable[rapid.IntRange(0, len(network.deliverable)-1).Draw(t, "late")]
			network.target(message).deliver(network.now, message)
		}
		allVMs := append(append([]*vm{sendingVM}, network.vms...), network.stopped...)
		for _, id := range spent {
			for _, vm := range allVMs {
				if _, claimed := vm.ledger.Claim(start, id).(submission.ClaimNew); claimed {
					t.Fatalf("%s spends %v again", vm.address, id.Key)
				}
			}
		}
		_, address, _ := network.sender.Outcome()
		for _, id := range unspent {
			var spenders []string
			for _, vm := range allVMs {
				if _, spends := vm.ledger.Claim(start, id).(submission.ClaimNew); spends {
					spenders = append(spenders, vm.address)
				}
			}
			if len(spenders) > 1 {
				t.Fatalf("%v is spent by %v, outcome %d to %s", id.Key, spenders, outcome, address)
			}
			if outcome == handover.Abandoned && fmt.Sprint(spenders) != "[old]" {
				t.Fatalf("abandoned, but %v is spent by %v", id.Key, spenders)
			}
		}
	})
}

// Guards against a hand-over that stops at the first successor that fails or
// refuses, and against one that tries a second successor after a commit that may
// have arrived.
func TestSenderTriesNextSuccessor(t *testing.T) {
	cases := []struct {
		name   string
		result handover.Result
		step   handover.Step
		want   handover.Outcome
	}{
		{name: "begin refused", step: handover.StepBegin, result: handover.Result{Response: &peer.HandOverResponse{}}, want: handover.Committed},
		{name: "begin lost", step: handover.StepBegin, result: handover.Result{Delivered: true}, want: handover.Committed},
		{name: "pieces lost", step: handover.StepPiece, result: handover.Result{Delivered: true}, want: handover.Committed},
		{name: "commit refused for good", step: handover.StepCommit, result: handover.Result{Response: &peer.HandOverResponse{Successor: 2}}, want: handover.Committed},
		{name: "commit not delivered", step: handover.StepCommit, result: handover.Result{}, want: handover.Committed},
		{name: "commit lost", step: handover.StepCommit, result: handover.Result{Delivered: true}, want: handover.CommitUnknown},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			a, b, c := newVM("a", 1), newVM("b", 2), newVM("c", 3)
			spendSomeIDs(a, 40)
			a.ledger.Freeze()
			sender := handover.NewSender(1, "a", a.ledger.Export(start, 7), []string{"b", "c"})
			now := start
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				for _, message := range sender.Next(now) {
					result := test.result
					switch {
					case message.Address == "c":
						result = handover.Result{Response: c.deliver(now, message)}
					case message.Step != test.step:
						result = handover.Result{Response: b.deliver(now, message)}
					}
					result.Message = message
					sender.Handle(now, result)
				}
			}
			outcome, address, _ := sender.Outcome()
			assert.Equal(t, outcome, test.want)
			if test.want == handover.Committed {
				assert.Equal(t, address, "c")
			}
		})
	}
}

// Guards against a hand-over that starts over, or with another successor, after
// a short loss of the connection.
func TestHandOverResumesWithSameSuccessor(t *testing.T) {
	a, b, c := newVM("a", 1), newVM("b", 2), newVM("c", 3)
	spendSomeIDs(a, 80)
	a.ledger.Freeze()
	sender := handover.NewSender(1, "a", a.ledger.Export(start, 5), []string{"b", "c"})
	now, timesSent := start, make(map[int]int)
	for round := 0; ; round++ {
		now = now.Add(50 * time.Millisecond)
		if outcome, address, _ := sender.Outcome(); outcome != handover.InProgress {
			assert.Equal(t, outcome, handover.Committed)
			assert.Equal(t, address, "b")
			break
		}
		for _, message := range sender.Next(now) {
			result := handover.Result{Message: message, Delivered: true}
			if round < 3 || round >= 12 {
				result.Response = b.deliver(now, message)
				if message.Piece != nil {
					timesSent[message.Piece.Index]++
				}
			}
			sender.Handle(now, result)
		}
	}
	for index, times := range timesSent {
		assert.Equal(t, times, 1, "piece %d", index)
	}
	assert.Equal(t, c.ledger.Stats().Incarnations, 1)
}
