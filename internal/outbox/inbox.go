package outbox

import (
	"bytes"
	"slices"
)

// Decision is what an Inbox decides about a notification.
type Decision uint8

const (
	// Applied notifications are new and complete: the receiver acts on them.
	Applied Decision = iota
	// Duplicate notifications were decided before, or are older than what was applied.
	Duplicate
	// Deferred notifications are early: an earlier one, or the state that they announce, is
	// missing. The receiver decides them again later.
	Deferred
	// Quarantined notifications are invalid, or contradict an earlier one.
	Quarantined
)

// String returns the source's name of the decision.
func (d Decision) String() string {
	return [...]string{"APPLIED", "DUPLICATE", "DEFERRED", "QUARANTINED"}[min(d, Quarantined)]
}

// maxDecided bounds the memory of an inbox: older notifications are known by their version.
const maxDecided = 256

// Inbox remembers what one receiver has decided. It is not safe for concurrent use: its
// owner decides and acts under one lock, so that no change stands without its decision.
type Inbox struct {
	// AppliedVersions holds the newest version applied of each aggregate.
	AppliedVersions map[string]uint64 `cbor:"1,keyasint"`
	// Decided holds the newest notifications decided, oldest first.
	Decided []DecidedNotification `cbor:"2,keyasint"`
}

// DecidedNotification identifies a notification that was applied, or was older than what was.
type DecidedNotification struct {
	EventID  string `cbor:"1,keyasint"`
	TenantID string `cbor:"2,keyasint,omitempty"`
	Digest   []byte `cbor:"3,keyasint"`
	Version  uint64 `cbor:"4,keyasint"`
}

// NewInbox returns an inbox that has decided nothing.
func NewInbox() *Inbox { return &Inbox{AppliedVersions: map[string]uint64{}} }

// SetBaseVersion records that the receiver holds the state of an aggregate up to a version
// without the notifications, as after a restart.
func (b *Inbox) SetBaseVersion(aggregate string, version uint64) {
	b.AppliedVersions[aggregate] = max(b.AppliedVersions[aggregate], version)
}

// Decide decides a notification before the receiver acts on it. held is the version of the
// aggregate up to which the receiver holds the state; a deferred notification waits for it.
// The error is set for Quarantined: ErrInvalidNotification or ErrContentMismatch.
func (b *Inbox) Decide(n *Notification, held uint64) (Decision, error) {
	if err := n.Validate(); err != nil {
		return Quarantined, err
	}
	if earlier := b.decided(n.EventID, n.TenantID); earlier != nil {
		if !bytes.Equal(earlier.Digest, n.Digest) || earlier.Version != n.Version {
			return Quarantined, ErrContentMismatch
		}
		return Duplicate, nil
	}
	applied := b.AppliedVersions[n.Aggregate]
	switch {
	case n.Version <= applied:
		b.record(n)
		return Duplicate, nil
	case n.PreviousVersion > applied || n.Version > held:
		return Deferred, nil
	}
	b.AppliedVersions[n.Aggregate] = n.Version
	b.record(n)
	return Applied, nil
}

// decided returns the earlier notification with the same identity, or nil.
func (b *Inbox) decided(eventID, tenantID string) *DecidedNotification {
	for i := range b.Decided {
		if d := &b.Decided[i]; d.EventID == eventID && d.TenantID == tenantID {
			return d
		}
	}
	return nil
}

// record remembers a notification as decided.
func (b *Inbox) record(n *Notification) {
	b.Decided = append(b.Decided, DecidedNotification{
		EventID:  n.EventID,
		TenantID: n.TenantID,
		Digest:   n.Digest,
		Version:  n.Version,
	})
	if excess := len(b.Decided) - maxDecided; excess > 0 {
		b.Decided = slices.Clone(b.Decided[excess:])
	}
}
