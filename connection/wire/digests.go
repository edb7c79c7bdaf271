package wire

// PieceDigests holds the SHA-256 digests of the pieces of a version of a model's weights,
// one after another. An agent reports them after all staged pieces matched them, and the
// engine's load of these pieces was verified.
type PieceDigests struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
	// Digests is empty if they are not known.
	Digests []byte `cbor:"3,keyasint,omitempty"`
}

// DigestsQuery requests the recorded digests of a version's pieces.
type DigestsQuery struct {
	Model   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}
