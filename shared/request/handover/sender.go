package handover

import (
	"time"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/request/submission"
)

const (
	// maxPiecesInFlight is the maximum number of pieces sent at the same time.
	maxPiecesInFlight = 4
	// retryDelay is the delay of a retry after a message without a response.
	retryDelay = 200 * time.Millisecond
	// maxAttempts is the number of consecutive attempts without a response after
	// which the sender tries the next successor.
	maxAttempts = 6
)

// Step is the kind of a message of a hand-over.
type Step int

// Steps of a hand-over, in their order.
const (
	// StepBegin opens a transfer.
	StepBegin Step = iota
	// StepPiece sends one piece.
	StepPiece
	// StepCommit makes the successor the owner of the ledger.
	StepCommit
)

// Message is a message to send to the peer address Address. Of Begin, Piece and
// Commit, only the request that belongs to Step is set.
type Message struct {
	Address string
	Step    Step
	Begin   *peer.HandOverBeginRequest
	Piece   *peer.HandOverPieceRequest
	Commit  *peer.HandOverCommitRequest
}

// Result is the result of sending a Message. Response is nil if there was no
// response. Delivered is then false only if the message certainly did not reach
// the peer.
type Result struct {
	Message   Message
	Response  *peer.HandOverResponse
	Delivered bool
}

// Outcome is the state of a hand-over.
type Outcome int

// States of a hand-over.
const (
	// InProgress means that the hand-over has not ended.
	InProgress Outcome = iota
	// Committed means that the successor owns the ledger.
	Committed
	// CommitUnknown means that the successor may own the ledger, because a
	// commit was sent and not acknowledged. This VM must not spend any ID of the
	// ledger.
	CommitUnknown
	// Abandoned means that no commit took effect. This VM still owns the ledger.
	Abandoned
)

// Sender sends a frozen ledger to a successor. It is not safe for concurrent
// use.
type Sender struct {
	incarnation uint64
	address     string
	pieces      []submission.Piece
	successors  []string
	transfer    uint64
	outcome     Outcome
	// step is the next message for the current successor.
	step Step
	// successor is the incarnation that accepted the begin message.
	successor uint64
	// acked is set for the pieces that the successor accepted, by index. inFlight
	// holds the indexes of the pieces that await a response.
	acked    []bool
	inFlight map[int]bool
	// awaitingResponse is set while a begin or a commit message awaits its
	// response.
	awaitingResponse bool
	// attempts is the number of consecutive attempts without a response.
	attempts int
	retryAt  time.Time
	// mayBeCommitted is set once a commit may have reached the current
	// successor.
	mayBeCommitted bool
}

// NewSender returns a Sender for the pieces of a frozen ledger. successors holds
// the peer addresses to try in order. incarnation and address are those of this
// VM; address is its peer address.
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

// startTransfer starts a transfer to the first of the remaining successors. Its
// new number lets the receiver recognize late pieces of an earlier attempt.
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

// nextSuccessor starts a transfer to the next successor.
func (sender *Sender) nextSuccessor() {
	sender.successors = sender.successors[1:]
	sender.startTransfer()
}

// Outcome returns the state of the hand-over. For Committed and CommitUnknown it
// also returns the address and the incarnation of the successor.
func (sender *Sender) Outcome() (outcome Outcome, address string, successor uint64) {
	if sender.outcome == Committed || sender.outcome == CommitUnknown {
		return sender.outcome, sender.successors[0], sender.successor
	}
	return sender.outcome, "", 0
}

// Abandon ends a hand-over that is in progress, when the time for the stop is
// over. No message is sent afterwards. The outcome is CommitUnknown if a commit
// may have arrived, otherwise Abandoned.
func (sender *Sender) Abandon() Outcome {
	if sender.outcome == InProgress {
		sender.outcome = Abandoned
		if sender.mayBeCommitted || (sender.step == StepCommit && sender.awaitingResponse) {
			sender.outcome = CommitUnknown
		}
	}
	return sender.outcome
}

// Next returns the messages to send now. A Result must be passed to Handle for
// each of them.
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

// onlyIfIdle returns message unless another one awaits its response.
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
			Transfer:           sender.transfer,
			Predecessor:        sender.incarnation,
			PredecessorAddress: sender.address,
			PieceCount:         len(sender.pieces),
		},
	}
}

func (sender *Sender) commitMessage() Message {
	return Message{
		Address: sender.successors[0],
		Step:    StepCommit,
		Commit: &peer.HandOverCommitRequest{
			Transfer:    sender.transfer,
			Predecessor: sender.incarnation,
			PieceCount:  len(sender.pieces),
			Successor:   sender.successor,
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
				Transfer:    sender.transfer,
				Predecessor: sender.incarnation,
				Index:       index,
				Piece:       sender.pieces[index],
			},
		})
	}
	return messages
}

// Handle processes the result of a message. Results of earlier transfers are
// ignored.
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

// handleNoResponse counts an attempt without a response. Pieces that are in
// flight at the same time fail together and count once.
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

// handleAccepted processes the acceptance of a begin message or a piece.
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

// restartTransfer starts a new transfer to a successor that has restarted and
// lost its pieces.
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

// handleCommitResult processes the result of a commit. It tries another
// successor only if no commit can have taken effect: either the incarnation that
// holds the pieces refused the commit permanently, or no commit was delivered to
// that incarnation.
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
