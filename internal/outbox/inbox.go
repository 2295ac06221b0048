package outbox

import (
	"bytes"
	"slices"
)

// Decision is the result of Inbox.Decide for a notification.
type Decision uint8

const (
	// Applied notifications are new and in order: the receiver acts on them.
	Applied Decision = iota
	// Duplicate notifications were received before, or are not newer than the applied version.
	Duplicate
	// Deferred notifications are early: the receiver lacks a preceding notification or the
	// state that they announce. The receiver passes them to Decide again later.
	Deferred
	// Quarantined notifications are invalid, or contradict an earlier one.
	Quarantined
)

// String returns the name of the decision in the reference that the package comment cites.
func (d Decision) String() string {
	return [...]string{"APPLIED", "DUPLICATE", "DEFERRED", "QUARANTINED"}[min(d, Quarantined)]
}

// maxDecided is the maximum length of Inbox.Decided, which bounds the memory of an inbox. Older
// notifications are recognized as duplicates by their version.
const maxDecided = 256

// Inbox records which notifications one receiver has applied, and which it has found to be not
// newer than the applied version. It is not safe for concurrent use: its owner calls Decide and
// acts on the result under one lock, so that every applied notification is recorded.
type Inbox struct {
	// AppliedVersions holds the newest applied version of each aggregate.
	AppliedVersions map[string]uint64 `cbor:"1,keyasint"`
	// Decided holds the identities of the last notifications, at most maxDecided, oldest first.
	Decided []DecidedNotification `cbor:"2,keyasint"`
}

// DecidedNotification identifies a notification that was applied, or that was not newer than the
// applied version.
type DecidedNotification struct {
	EventID  string `cbor:"1,keyasint"`
	TenantID string `cbor:"2,keyasint,omitempty"`
	Digest   []byte `cbor:"3,keyasint"`
	Version  uint64 `cbor:"4,keyasint"`
}

// NewInbox returns an inbox without decisions.
func NewInbox() *Inbox { return &Inbox{AppliedVersions: map[string]uint64{}} }

// SetBaseVersion records that the receiver holds the state of an aggregate up to a version
// without having received the notifications, for example after a restart.
func (b *Inbox) SetBaseVersion(aggregate string, version uint64) {
	b.AppliedVersions[aggregate] = max(b.AppliedVersions[aggregate], version)
}

// Decide determines how the receiver handles a notification, and must be called before the
// receiver acts on it. held is the version of the aggregate up to which the receiver holds the
// state: a notification of a newer version is deferred. With Quarantined, the error wraps
// ErrInvalidNotification or ErrContentMismatch.
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

// decided returns the recorded notification with the same identity, or nil if there is none.
func (b *Inbox) decided(eventID, tenantID string) *DecidedNotification {
	for i := range b.Decided {
		if d := &b.Decided[i]; d.EventID == eventID && d.TenantID == tenantID {
			return d
		}
	}
	return nil
}

// record adds a notification to Decided and drops the oldest beyond maxDecided.
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
