package handover

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// maxPiecesInFlight is the number of pieces sent at the same time.
	maxPiecesInFlight = 4
	// retryDelay is the wait after a message that got no response.
	retryDelay = 200 * time.Millisecond
	// maxAttempts is the number of attempts in a row without a response after
	// which the next successor is taken.
	maxAttempts = 6
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
	incarnation uint64
	address     string
	pieces      []submission.Piece
	successors  []string
	transfer    uint64
	outcome     Outcome
	// step is what the current successor gets next.
	step Step
	// successor is the incarnation that answered the begin.
	successor        uint64
	acked            []bool
	inFlight         map[int]bool
	awaitingResponse bool
	attempts         int
	retryAt          time.Time
	// mayBeCommitted is set once a commit may have reached the current
	// successor.
	mayBeCommitted bool
}

// NewSender returns a Sender for the pieces of a frozen ledger. successors are
// tried in order. from and address are this VM's incarnation and peer address.
func NewSender(incarnation uint64, address string, pieces []submission.Piece, successors []string) *Sender {
	sender := &Sender{
		incarnation: incarnation,
		address:     address,
		pieces:      pieces,
		successors:  successors,
	}
	sender.startTransfer()
	return sender
}

// startTransfer begins with the first of the remaining successors. The new transfer
// number keeps a piece that is late apart from an earlier attempt.
func (sender *Sender) startTransfer() {
	if len(sender.successors) == 0 {
		sender.outcome = Abandoned
		return
	}
	sender.transfer++
	sender.step = StepBegin
	sender.successor = 0
	sender.acked = make([]bool, len(sender.pieces))
	sender.inFlight = make(map[int]bool)
	sender.awaitingResponse = false
	sender.attempts = 0
	sender.retryAt = time.Time{}
	sender.mayBeCommitted = false
}

func (sender *Sender) nextSuccessor() {
	sender.successors = sender.successors[1:]
	sender.startTransfer()
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
		if sender.mayBeCommitted || (sender.step == StepCommit && sender.awaitingResponse) {
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
		return sender.onlyIfIdle(sender.beginMessage())
	case StepPiece:
		return sender.pieceMessages()
	case StepCommit:
		return sender.onlyIfIdle(sender.commitMessage())
	}
	return nil
}

func (sender *Sender) onlyIfIdle(message Message) []Message {
	if sender.awaitingResponse {
		return nil
	}
	sender.awaitingResponse = true
	return []Message{message}
}

func (sender *Sender) beginMessage() Message {
	return Message{
		Address: sender.successors[0],
		Step:    StepBegin,
		Begin: &peer.HandOverBeginRequest{
			Transfer: sender.transfer,
			From:     sender.incarnation,
			Address:  sender.address,
			Pieces:   len(sender.pieces),
		},
	}
}

func (sender *Sender) commitMessage() Message {
	return Message{
		Address: sender.successors[0],
		Step:    StepCommit,
		Commit: &peer.HandOverCommitRequest{
			Transfer:  sender.transfer,
			From:      sender.incarnation,
			Pieces:    len(sender.pieces),
			Successor: sender.successor,
		},
	}
}

func (sender *Sender) pieceMessages() []Message {
	var messages []Message
	for index, acked := range sender.acked {
		if len(sender.inFlight) >= maxPiecesInFlight {
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
				From:     sender.incarnation,
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
		sender.awaitingResponse = false
	case StepPiece:
		delete(sender.inFlight, result.Message.Piece.Index)
	}
	if result.Message.Step == StepCommit {
		sender.handleCommitResult(now, result)
		return
	}
	if result.Response == nil {
		sender.handleNoResponse(now)
		return
	}
	if result.Message.Step == StepPiece && result.Response.Successor != sender.successor {
		sender.restartTransfer(now)
		return
	}
	if !result.Response.Accepted {
		sender.nextSuccessor()
		return
	}
	sender.handleAccepted(result)
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

// handleNoResponse counts an attempt without a response. Pieces that were sent at the
// same time fail together and count once.
func (sender *Sender) handleNoResponse(now time.Time) {
	if now.Before(sender.retryAt) {
		return
	}
	sender.attempts++
	if sender.attempts >= maxAttempts {
		sender.nextSuccessor()
		return
	}
	sender.retryAt = now.Add(retryDelay)
}

// handleAccepted takes the response to a begin or a piece.
func (sender *Sender) handleAccepted(result Result) {
	if result.Message.Step == StepBegin {
		sender.successor = result.Response.Successor
		sender.step = StepPiece
	}
	if result.Message.Step == StepPiece {
		sender.acked[result.Message.Piece.Index] = true
		sender.attempts = 0
	}
	for _, acked := range sender.acked {
		if !acked {
			return
		}
	}
	sender.step = StepCommit
	sender.attempts = 0
}

// restartTransfer begins again with a successor that started anew and lost its pieces.
func (sender *Sender) restartTransfer(now time.Time) {
	attempts := sender.attempts + 1
	if attempts >= maxAttempts {
		sender.nextSuccessor()
		return
	}
	sender.startTransfer()
	sender.attempts = attempts
	sender.retryAt = now.Add(retryDelay)
}

// handleCommitResult takes the result of a commit. Another successor is taken only
// where no commit can have taken effect: the incarnation that holds the pieces
// refused it, for good, or no commit was delivered to that incarnation.
func (sender *Sender) handleCommitResult(now time.Time, result Result) {
	response := result.Response
	if response != nil && response.Successor == sender.successor {
		if response.Accepted {
			sender.outcome = Committed
			return
		}
		sender.nextSuccessor()
		return
	}
	sender.mayBeCommitted = sender.mayBeCommitted || (response == nil && result.Delivered)
	sender.attempts++
	if response == nil && sender.attempts < maxAttempts {
		sender.retryAt = now.Add(retryDelay)
		return
	}
	if sender.mayBeCommitted {
		sender.outcome = CommitUnknown
		return
	}
	sender.nextSuccessor()
}
