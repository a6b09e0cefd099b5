package submission

// PieceEntry is one spent ID of a hand-over.
type PieceEntry struct {
	Key   Key   `cbor:"1,keyasint"`
	Entry Entry `cbor:"2,keyasint"`
}

// HeldIncarnation is an incarnation whose IDs are handed over.
type HeldIncarnation struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Issued is the highest counter that was issued; 0 if it is not known.
	Issued uint64 `cbor:"2,keyasint"`
}

// Piece is a part of a ledger of bounded size.
type Piece struct {
	Held    []HeldIncarnation `cbor:"1,keyasint,omitempty"`
	Entries []PieceEntry      `cbor:"2,keyasint,omitempty"`
}
