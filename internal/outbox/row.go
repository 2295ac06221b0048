package outbox

import "time"

// State is the state of a row of the outbox.
type State uint8

// The states of a row. The values are stored.
const (
	// Pending rows were committed and not sent yet.
	Pending State = iota
	// Claimed rows are being sent by a publisher.
	Claimed
	// Published rows were sent.
	Published
	// RetryWait rows could not be sent and wait for the next attempt.
	RetryWait
)

// String returns the name of the state as operators see it.
func (s State) String() string {
	return [...]string{"PENDING", "CLAIMED", "PUBLISHED", "RETRY_WAIT"}[min(s, RetryWait)]
}

const (
	// ClaimLease is how long a claim holds, by the clock of a node that sees the row
	// unchanged. The source's lease of 30 s would leave a row of a publisher that failed
	// unsent for longer than a change may take to be in force.
	ClaimLease = 5 * time.Second
	// InitialRetryDelay is the delay after the first failed attempt; it doubles with each.
	InitialRetryDelay = time.Second
	// MaxRetryDelay bounds the delay between attempts.
	MaxRetryDelay = time.Minute

	// maxDelayDoublings keeps the doubled delay within its type.
	maxDelayDoublings = 10
)

// Row is a notification in the outbox with the state of its delivery. Its methods return
// the row after a transition; the caller commits it.
type Row struct {
	Notification Notification `cbor:"1,keyasint"`
	State        State        `cbor:"2,keyasint,omitempty"`
	Owner        string       `cbor:"3,keyasint,omitempty"` // token of the claim
	Attempts     int          `cbor:"4,keyasint,omitempty"`
}

// ClaimDelay returns how long the row must have been unchanged before it may be claimed.
func (r Row) ClaimDelay() time.Duration {
	switch r.State {
	case Claimed:
		return ClaimLease
	case RetryWait:
		doublings := min(max(r.Attempts-1, 0), maxDelayDoublings)
		return min(MaxRetryDelay, InitialRetryDelay<<doublings)
	case Pending, Published:
	}
	return 0
}

// Claim returns the row claimed by owner. unchanged is how long the caller has seen the row
// unchanged; if that is too short, or the row was published, it returns ErrInvalidState.
func (r Row) Claim(owner string, unchanged time.Duration) (Row, error) {
	if r.State == Published || unchanged < r.ClaimDelay() {
		return r, ErrInvalidState
	}
	r.State = Claimed
	r.Owner = owner
	r.Attempts++
	return r, nil
}

// MarkPublished returns the row after it was sent. Unless owner has claimed it, it returns
// ErrInvalidState or ErrNotOwner.
func (r Row) MarkPublished(owner string) (Row, error) {
	return r.release(owner, Published)
}

// ScheduleRetry returns the row after it could not be sent. Unless owner has claimed it, it
// returns ErrInvalidState or ErrNotOwner.
func (r Row) ScheduleRetry(owner string) (Row, error) {
	return r.release(owner, RetryWait)
}

// Redrive returns the row pending once more, with the same notification.
func (r Row) Redrive() Row {
	return Row{Notification: r.Notification, State: Pending, Attempts: r.Attempts}
}

// release ends the claim of owner and moves the row to the next state.
func (r Row) release(owner string, next State) (Row, error) {
	switch {
	case r.State != Claimed:
		return r, ErrInvalidState
	case r.Owner != owner:
		return r, ErrNotOwner
	}
	r.State = next
	r.Owner = ""
	return r, nil
}
