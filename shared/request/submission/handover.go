package submission

import (
	"slices"
	"time"

	"tanagerfall/shared/request/job"
)

const (
	// DefaultPieceEntries is the usual value of maxEntries for Ledger.Export.
	DefaultPieceEntries = 8192
	// maxPieceBytes is the size of entries and answers from which a piece takes
	// no further entry.
	maxPieceBytes = 1 << 20
	// entryBytes is the size that an entry adds to a piece, without its answer.
	entryBytes = 16
)

// Piece is a part of the exported ledger of one incarnation. Counters and
// Expiries are columns of the same length with one element for each entry.
type Piece struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// LastIssued is the highest issued counter. Counters up to it that have no
	// entry in any piece of the incarnation are unspent.
	LastIssued uint64 `cbor:"2,keyasint"`
	// ExpiryUnix is the time in Unix seconds from which no ID of the incarnation
	// can be looked up any more.
	ExpiryUnix int64    `cbor:"3,keyasint"`
	Counters   []uint64 `cbor:"4,keyasint,omitempty"`
	// Expiries are the expiries of the IDs in Unix seconds.
	Expiries []uint32 `cbor:"5,keyasint,omitempty"`
	// Answers holds the answers that are not evicted yet. An entry without an
	// answer is a Tombstone unless its counter is in Refused or Unknown.
	Answers []PieceAnswer `cbor:"6,keyasint,omitempty"`
	// Refused holds the counters of the entries in state TombstoneRefused,
	// Unknown those in state TombstoneUnknown.
	Refused []uint64 `cbor:"7,keyasint,omitempty"`
	Unknown []uint64 `cbor:"8,keyasint,omitempty"`
}

// Valid reports whether the piece can be imported: it has an expiry, and its
// columns have the same length.
func (piece *Piece) Valid() bool {
	return piece.ExpiryUnix > 0 && len(piece.Counters) == len(piece.Expiries)
}

// PieceAnswer is the answer to the submission with the given counter.
type PieceAnswer struct {
	Counter uint64     `cbor:"1,keyasint"`
	Answer  job.Answer `cbor:"2,keyasint"`
	// Bytes is the size by which the answer counts against the memory limit of
	// the ledger.
	Bytes int `cbor:"3,keyasint"`
}

// Freeze stops issuing and spending IDs. Running jobs may still finish.
func (ledger *Ledger) Freeze() { ledger.frozen = true }

// Thaw undoes Freeze. The caller must be certain that no successor has
// committed a hand-over of this ledger or can still do so.
func (ledger *Ledger) Thaw() { ledger.frozen = false }

// Holds reports whether the ledger holds the IDs of an incarnation.
func (ledger *Ledger) Holds(incarnation uint64) bool {
	_, holds := ledger.partitions[incarnation]
	return holds
}

// Running returns the number of jobs without an answer.
func (ledger *Ledger) Running() int { return ledger.running }

// Export returns the frozen ledger in pieces of at most maxEntries entries. The
// pieces cover this incarnation and those taken over earlier. A job that still
// runs is exported as failed, started unknown, because its tasks may have
// started and only this process knows. Export panics if the ledger is not
// frozen.
func (ledger *Ledger) Export(now time.Time, maxEntries int) []Piece {
	if !ledger.frozen {
		panic("submission: export of a ledger that is not frozen")
	}
	incarnations := make([]uint64, 0, len(ledger.partitions))
	for incarnation := range ledger.partitions {
		incarnations = append(incarnations, incarnation)
	}
	slices.Sort(incarnations)
	var pieces []Piece
	for _, incarnation := range incarnations {
		pieces = append(pieces, ledger.exportPartition(now, incarnation, maxEntries)...)
	}
	return pieces
}

func (ledger *Ledger) exportPartition(now time.Time, incarnation uint64, maxEntries int) []Piece {
	partition := ledger.partitions[incarnation]
	header := Piece{
		Incarnation: incarnation,
		LastIssued:  partition.lastIssued,
		ExpiryUnix:  partition.expiryUnix,
	}
	if incarnation == ledger.identity.Incarnation {
		header.LastIssued = ledger.lastIssued
		header.ExpiryUnix = now.Add(Lifetime + retention).Unix()
	}
	counters := make([]uint64, 0, len(partition.entries))
	for counter := range partition.entries {
		counters = append(counters, counter)
	}
	slices.Sort(counters)
	pieces := []Piece{header}
	bytes := 0
	for _, counter := range counters {
		last := &pieces[len(pieces)-1]
		if len(last.Counters) >= maxEntries || bytes >= maxPieceBytes {
			pieces = append(pieces, header)
			last = &pieces[len(pieces)-1]
			bytes = 0
		}
		bytes += ledger.exportEntry(last, counter, partition.entries[counter])
	}
	return pieces
}

// exportEntry appends an entry to a piece and returns the size in bytes that
// it adds to the piece.
func (ledger *Ledger) exportEntry(piece *Piece, counter uint64, entry ledgerEntry) int {
	key := Key{
		Incarnation: piece.Incarnation,
		Counter:     counter,
	}
	bytes := entryBytes
	switch entry.state {
	case Running:
		piece.Answers = append(piece.Answers, PieceAnswer{
			Counter: counter,
			Answer:  job.Failure(job.StartedUnknown, job.ReasonOwnerGone, "the owner stopped before the job ended"),
		})
	case Answered:
		stored := ledger.answers[key]
		piece.Answers = append(piece.Answers, PieceAnswer{
			Counter: counter,
			Answer:  *stored.answer,
			Bytes:   stored.bytes,
		})
		bytes += stored.bytes
	case TombstoneRefused:
		piece.Refused = append(piece.Refused, counter)
	case TombstoneUnknown:
		piece.Unknown = append(piece.Unknown, counter)
	case Unspent, Tombstone:
	}
	piece.Counters = append(piece.Counters, counter)
	piece.Expiries = append(piece.Expiries, entry.expiry)
	return bytes
}

// Import takes over the incarnations of a committed hand-over. The pieces must
// be valid and may be in any order. Incarnations that the ledger already holds
// are skipped, so that a repeated import changes nothing.
func (ledger *Ledger) Import(pieces []Piece) {
	imported := make(map[uint64]*partition)
	for _, piece := range pieces {
		partition, exists := imported[piece.Incarnation]
		if !exists {
			if _, holds := ledger.partitions[piece.Incarnation]; holds {
				continue
			}
			partition = newPartition()
			partition.lastIssued = piece.LastIssued
			partition.expiryUnix = piece.ExpiryUnix
			imported[piece.Incarnation] = partition
		}
		ledger.importPiece(partition, piece)
	}
	for incarnation, partition := range imported {
		ledger.partitions[incarnation] = partition
	}
	ledger.evictAnswers()
}

func (ledger *Ledger) importPiece(partition *partition, piece Piece) {
	answers := make(map[uint64]PieceAnswer, len(piece.Answers))
	for _, answer := range piece.Answers {
		answers[answer.Counter] = answer
	}
	tombstones := make(map[uint64]State, len(piece.Refused)+len(piece.Unknown))
	for _, counter := range piece.Refused {
		tombstones[counter] = TombstoneRefused
	}
	for _, counter := range piece.Unknown {
		tombstones[counter] = TombstoneUnknown
	}
	for i, counter := range piece.Counters {
		if _, repeated := partition.entries[counter]; repeated {
			continue
		}
		entry := ledgerEntry{
			expiry: piece.Expiries[i],
			state:  Tombstone,
		}
		if state, found := tombstones[counter]; found {
			entry.state = state
		}
		if pieceAnswer, answered := answers[counter]; answered {
			entry.state = Answered
			key := Key{
				Incarnation: piece.Incarnation,
				Counter:     counter,
			}
			ledger.storeAnswer(key, &pieceAnswer.Answer, pieceAnswer.Bytes)
		}
		partition.add(counter, entry)
	}
}
