package latencyestimate

import "time"

// The classes of lookups. Each class has its own estimates.
const (
	ClassUrgent  = "urgent"
	ClassBulk    = "bulk"
	ClassArchive = "archive"
)

// Load is the load of a replica when it received a lookup.
type Load uint8

const (
	// Idle means that the replica had no other request from this node and rejected no request.
	Idle Load = iota
	// Busy means that the replica had other requests from this node, or rejected requests.
	Busy
)

// Key identifies the samples that are summarized in one sketch.
type Key struct {
	Service  string `cbor:"1,keyasint" json:"service"`
	Endpoint string `cbor:"2,keyasint" json:"leaf"` // ID of the replica
	Class    string `cbor:"3,keyasint" json:"class"`
	Load     Load   `cbor:"4,keyasint,omitempty" json:"busy"`
}

// Sample is the measured duration of one lookup at one replica.
type Sample struct {
	Key      Key
	Duration time.Duration
	// Censored is set if the lookup was abandoned after Duration, without an answer.
	Censored bool
}

// AnswerPair holds the answers of two replicas to one lookup. First is the slower one. In the
// queue of a Collector, Second is the zero value if there is only one sample.
type AnswerPair struct {
	First, Second         Sample
	FirstBody, SecondBody []byte // the bodies of the answers
}

// hasSecond reports whether there are two answers.
func (p *AnswerPair) hasSecond() bool { return p.Second.Key.Endpoint != "" }
