package distribution

// Purge asks for the removal of cached objects: those of a host and path, or those with a
// label.
type Purge struct {
	// LogIndex is the purge's position in the meta cell's log.
	LogIndex uint64 `cbor:"1,keyasint,omitempty"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint,omitempty"`
	Label    string `cbor:"4,keyasint,omitempty"`
}

// PurgeUpdate holds the purges after the log index that the receiver holds.
type PurgeUpdate struct {
	// LogIndex is the position in the meta cell's log up to which the purges go.
	LogIndex uint64  `cbor:"1,keyasint"`
	Purges   []Purge `cbor:"2,keyasint,omitempty"`
	// Reset says that some purges since then are no longer known: no object that was
	// cached before may be used.
	Reset bool `cbor:"3,keyasint,omitempty"`
}
