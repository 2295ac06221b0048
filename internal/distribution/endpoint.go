package distribution

// Revision orders endpoint lists and other tables that are distributed as changes.
type Revision struct {
	// Term is the lease term of the node that made the list, as holder of a singleton role.
	Term uint64 `cbor:"1,keyasint,omitempty"`
	// Sequence counts the lists made in that term.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
}

// Less reports whether r is older than other.
func (r Revision) Less(other Revision) bool {
	if r.Term != other.Term {
		return r.Term < other.Term
	}
	return r.Sequence < other.Sequence
}

// Endpoint is one incarnation of a server of a service.
type Endpoint struct {
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Addr    string `cbor:"3,keyasint"` // address to dial
	Zone    string `cbor:"4,keyasint"`
	// Slots is the number of requests that the server processes concurrently; 0 counts as 1.
	Slots     int  `cbor:"5,keyasint,omitempty"`
	Draining  bool `cbor:"6,keyasint,omitempty"`
	WarmingUp bool `cbor:"7,keyasint,omitempty"`
}

// EndpointList is the platform's list of endpoints at one revision, in full or as the
// changes since Base.
type EndpointList struct {
	Revision Revision `cbor:"1,keyasint"`
	// Endpoints holds all endpoints, or those that were added or changed since Base.
	Endpoints []Endpoint `cbor:"2,keyasint"`
	// Delta is set if the list holds changes, which apply only to the list at Base.
	Delta   bool     `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"` // endpoint IDs
	Base    Revision `cbor:"5,keyasint,omitempty"`
}

// AppliesTo reports whether a receiver that holds the list at the revision held may apply l.
// hasList is false for a receiver that holds no list yet. A receiver never goes back to an
// older revision.
func (l *EndpointList) AppliesTo(held Revision, hasList bool) bool {
	if l.Delta {
		return hasList && held == l.Base && held.Less(l.Revision)
	}
	return !hasList || held.Less(l.Revision)
}
