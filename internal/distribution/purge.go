package distribution

// Purge requests the removal of the cached objects of a host and path, or of those with a
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
	// LogIndex is the position in the meta cell's log up to which purges are included.
	LogIndex uint64  `cbor:"1,keyasint"`
	Purges   []Purge `cbor:"2,keyasint,omitempty"`
	// Reset is set if some purges since the receiver's log index are no longer known. The
	// receiver must then not use any object that it cached before.
	Reset bool `cbor:"3,keyasint,omitempty"`
}
