package latencyestimate

import "time"

// The classes of lookups, which are estimated apart from one another.
const (
	ClassUrgent  = "urgent"
	ClassBulk    = "bulk"
	ClassArchive = "archive"
)

// Load is how busy a replica was when it was asked.
type Load uint8

const (
	// Idle replicas had no other request of this node and rejected none.
	Idle Load = iota
	// Busy replicas had other requests of this node, or rejected some.
	Busy
)

// Key names the samples that belong together.
type Key struct {
	Service  string `cbor:"1,keyasint" json:"service"`
	Endpoint string `cbor:"2,keyasint" json:"leaf"` // ID of the replica
	Class    string `cbor:"3,keyasint" json:"class"`
	Load     Load   `cbor:"4,keyasint,omitempty" json:"busy"`
}

// Sample is one lookup at one replica.
type Sample struct {
	Key      Key
	Duration time.Duration
	// Censored says that the lookup was abandoned after Duration.
	Censored bool
}

// AnswerPair is two answers of replicas to one lookup. With only one sample, Second is the
// zero value.
type AnswerPair struct {
	First, Second         Sample
	FirstBody, SecondBody []byte // the bodies of the answers
}

// hasSecond reports whether there are two answers.
func (p *AnswerPair) hasSecond() bool { return p.Second.Key.Endpoint != "" }
