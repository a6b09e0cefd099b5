package handover

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// window is the number of pieces sent at the same time.
	window = 4
	// retryAfter is the wait after a message that got no response.
	retryAfter = 200 * time.Millisecond
	// maxTries is the number of attempts in a row without a response after
	// which the next successor is taken.
	maxTries = 6
)

// Step names a message of a hand-over.
type Step int

// The steps.
const (
	StepBegin Step = iota
	StepPiece
	StepCommit
)

// Message is a message to be sent to Address. The request of its Step is set.
type Message struct {
	Address string
	Step    Step
	Begin   *peer.HandOverBeginRequest
	Piece   *peer.HandOverPieceRequest
	Commit  *peer.HandOverCommitRequest
}

// Result is what became of a Message. Response is nil if none came; Delivered
// is then false only if it is certain that the message did not reach the peer.
type Result struct {
	Message   Message
	Response  *peer.HandOverResponse
	Delivered bool
}

// Outcome is how a hand-over ended.
type Outcome int

// The outcomes.
const (
	// InProgress means that the hand-over goes on.
	InProgress Outcome = iota
	// Committed means that the successor owns the ledger.
	Committed
	// CommitUnknown means that the successor may own the ledger. This VM must
	// not spend an ID of it any more.
	CommitUnknown
	// Abandoned means that no successor got a commit: the ledger is still
	// this VM's.
	Abandoned
)

// Sender hands a frozen ledger over. It is not safe for concurrent use.
type Sender struct {
	from       uint64
	address    string
	pieces     []submission.Piece
	successors []string
	transfer   uint64
	outcome    Outcome
	// step is what the current successor gets next.
	step Step
	// successor is the incarnation that answered the begin.
	successor uint64
	acked     []bool
	inFlight  map[int]bool
	open      bool
	tries     int
	retryAt   time.Time
	// mayBeCommitted is set once a commit may have reached the current
	// successor.
	mayBeCommitted bool
}

// NewSender returns a Sender for the pieces of a frozen ledger. successors are
// tried in order. from and address are this VM's incarnation and peer address.
func NewSender(from uint64, address string, pieces []submission.Piece, successors []string) *Sender {
	sender := &Sender{
		from:       from,
		address:    address,
		pieces:     pieces,
		successors: successors,
	}
	sender.start()
	return sender
}

// start begins with the first of the remaining successors. The new transfer
// number keeps a piece that is late apart from an earlier attempt.
func (sender *Sender) start() {
	if len(sender.successors) == 0 {
		sender.outcome = Abandoned
		return
	}
	sender.transfer++
	sender.step = StepBegin
	sender.successor = 0
	sender.acked = make([]bool, len(sender.pieces))
	sender.inFlight = make(map[int]bool)
	sender.open = false
	sender.tries = 0
	sender.retryAt = time.Time{}
	sender.mayBeCommitted = false
}

func (sender *Sender) next() {
	sender.successors = sender.successors[1:]
	sender.start()
}

// Outcome returns the outcome, and the address and incarnation of the
// successor where it is Committed or CommitLost.
func (sender *Sender) Outcome() (outcome Outcome, address string, successor uint64) {
	if sender.outcome == Committed || sender.outcome == CommitUnknown {
		return sender.outcome, sender.successors[0], sender.successor
	}
	return sender.outcome, "", 0
}

// Abandon ends an open hand-over, when the time for the stop is over. Nothing
// more is sent.
func (sender *Sender) Abandon() Outcome {
	if sender.outcome == InProgress {
		sender.outcome = Abandoned
		if sender.mayBeCommitted || (sender.step == StepCommit && sender.open) {
			sender.outcome = CommitUnknown
		}
	}
	return sender.outcome
}

// Next returns the messages to be sent now. A Result must follow for each.
func (sender *Sender) Next(now time.Time) []Message {
	if sender.outcome != InProgress || now.Before(sender.retryAt) {
		return nil
	}
	switch sender.step {
	case StepBegin:
		return sender.single(sender.begin())
	case StepPiece:
		return sender.nextPieces()
	case StepCommit:
		return sender.single(sender.commit())
	}
	return nil
}

func (sender *Sender) single(message Message) []Message {
	if sender.open {
		return nil
	}
	sender.open = true
	return []Message{message}
}

func (sender *Sender) begin() Message {
	return Message{
		Address: sender.successors[0],
		Step:    StepBegin,
		Begin: &peer.HandOverBeginRequest{
			Transfer: sender.transfer,
			From:     sender.from,
			Address:  sender.address,
			Pieces:   len(sender.pieces),
		},
	}
}

func (sender *Sender) commit() Message {
	return Message{
		Address: sender.successors[0],
		Step:    StepCommit,
		Commit: &peer.HandOverCommitRequest{
			Transfer:  sender.transfer,
			From:      sender.from,
			Pieces:    len(sender.pieces),
			Successor: sender.successor,
		},
	}
}

func (sender *Sender) nextPieces() []Message {
	var messages []Message
	for index, acked := range sender.acked {
		if len(sender.inFlight) >= window {
			break
		}
		if acked || sender.inFlight[index] {
			continue
		}
		sender.inFlight[index] = true
		messages = append(messages, Message{
			Address: sender.successors[0],
			Step:    StepPiece,
			Piece: &peer.HandOverPieceRequest{
				Transfer: sender.transfer,
				From:     sender.from,
				Index:    index,
				Piece:    sender.pieces[index],
			},
		})
	}
	return messages
}

// Handle takes what became of a message.
func (sender *Sender) Handle(now time.Time, result Result) {
	if sender.outcome != InProgress || sender.isStale(result.Message) {
		return
	}
	switch result.Message.Step {
	case StepBegin, StepCommit:
		sender.open = false
	case StepPiece:
		delete(sender.inFlight, result.Message.Piece.Index)
	}
	if result.Message.Step == StepCommit {
		sender.committed(now, result)
		return
	}
	if result.Response == nil {
		sender.failed(now)
		return
	}
	if result.Message.Step == StepPiece && result.Response.Successor != sender.successor {
		sender.restart(now)
		return
	}
	if !result.Response.Accepted {
		sender.next()
		return
	}
	sender.accepted(result)
}

func (sender *Sender) isStale(message Message) bool {
	switch message.Step {
	case StepBegin:
		return message.Begin.Transfer != sender.transfer
	case StepPiece:
		return message.Piece.Transfer != sender.transfer
	case StepCommit:
		return message.Commit.Transfer != sender.transfer
	}
	return true
}

// failed counts an attempt without a response. Pieces that were sent at the
// same time fail together and count once.
func (sender *Sender) failed(now time.Time) {
	if now.Before(sender.retryAt) {
		return
	}
	sender.tries++
	if sender.tries >= maxTries {
		sender.next()
		return
	}
	sender.retryAt = now.Add(retryAfter)
}

// accepted takes the response to a begin or a piece.
func (sender *Sender) accepted(result Result) {
	if result.Message.Step == StepBegin {
		sender.successor = result.Response.Successor
		sender.step = StepPiece
	}
	if result.Message.Step == StepPiece {
		sender.acked[result.Message.Piece.Index] = true
		sender.tries = 0
	}
	for _, acked := range sender.acked {
		if !acked {
			return
		}
	}
	sender.step = StepCommit
	sender.tries = 0
}

// restart begins again with a successor that started anew and lost its pieces.
func (sender *Sender) restart(now time.Time) {
	tries := sender.tries + 1
	if tries >= maxTries {
		sender.next()
		return
	}
	sender.start()
	sender.tries = tries
	sender.retryAt = now.Add(retryAfter)
}

// committed takes the result of a commit. Another successor is taken only
// where no commit can have taken effect: the incarnation that holds the pieces
// refused it, for good, or no commit was delivered to that incarnation.
func (sender *Sender) committed(now time.Time, result Result) {
	response := result.Response
	if response != nil && response.Successor == sender.successor {
		if response.Accepted {
			sender.outcome = Committed
			return
		}
		sender.next()
		return
	}
	sender.mayBeCommitted = sender.mayBeCommitted || (response == nil && result.Delivered)
	sender.tries++
	if response == nil && sender.tries < maxTries {
		sender.retryAt = now.Add(retryAfter)
		return
	}
	if sender.mayBeCommitted {
		sender.outcome = CommitUnknown
		return
	}
	sender.next()
}
