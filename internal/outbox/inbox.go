package outbox

import "bytes"

// Decision is what an inbox makes of a notice.
type Decision uint8

// The decisions of the source.
const (
	Applied Decision = iota
	Duplicate
	Deferred
	Quarantined
)

func (d Decision) String() string {
	return [...]string{"APPLIED", "DUPLICATE", "DEFERRED", "QUARANTINED"}[min(d, Quarantined)]
}

// Inbox remembers what one receiver has decided. It is not safe for use by several
// goroutines: its owner decides and applies under one lock, so that no change stands
// without its decision.
type Inbox struct {
	AppliedVersions map[string]uint64     `cbor:"1,keyasint"` // by aggregate: the newest version applied
	Decided         []DecidedNotification `cbor:"2,keyasint"` // the newest decided, oldest first
}

// DecidedNotification is a notice that was applied, or was older than what was.
type DecidedNotification struct {
	EventID  string `cbor:"1,keyasint"`
	TenantID string `cbor:"2,keyasint,omitempty"`
	Digest   []byte `cbor:"3,keyasint"`
	Version  uint64 `cbor:"4,keyasint"`
}

// maxDecided bounds the memory of an inbox: older notices are known by their version.
const maxDecided = 256

// NewInbox makes an inbox that has decided nothing.
func NewInbox() *Inbox { return &Inbox{AppliedVersions: map[string]uint64{}} }

// SetBaseVersion notes that the receiver holds all that came of an aggregate up to a version, by
// the state that it was given: a life that begins has no notices of what was before.
func (b *Inbox) SetBaseVersion(aggregate string, version uint64) {
	b.AppliedVersions[aggregate] = max(b.AppliedVersions[aggregate], version)
}

// Decide decides a notice before anything is changed. have is the version of its
// aggregate up to which the receiver holds the state that the notice speaks of: what is
// deferred waits for that evidence, not for a time. why says what is wrong with a
// notice that is quarantined.
func (b *Inbox) Decide(n *Notification, have uint64) (d Decision, why error) {
	if err := n.Validate(); err != nil {
		return Quarantined, err
	}
	for i := range b.Decided {
		if s := &b.Decided[i]; s.EventID == n.EventID && s.TenantID == n.TenantID {
			if !bytes.Equal(s.Digest, n.Digest) || s.Version != n.Version {
				return Quarantined, ErrContentMismatch
			}
			return Duplicate, nil
		}
	}
	done := b.AppliedVersions[n.Aggregate]
	switch {
	case n.Version <= done:
		b.record(n)
		return Duplicate, nil
	case n.PreviousVersion > done || n.Version > have:
		return Deferred, nil
	}
	b.AppliedVersions[n.Aggregate] = n.Version
	b.record(n)
	return Applied, nil
}

func (b *Inbox) record(n *Notification) {
	b.Decided = append(b.Decided, DecidedNotification{n.EventID, n.TenantID, n.Digest, n.Version})
	if over := len(b.Decided) - maxDecided; over > 0 {
		b.Decided = append([]DecidedNotification(nil), b.Decided[over:]...)
	}
}
