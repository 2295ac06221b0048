package outbox

import "time"

// State is the state of a row of the outbox.
type State uint8

// The states of a row. Their values are stored.
const (
	// Pending rows are committed but not sent yet.
	Pending State = iota
	// Claimed rows are being sent by a publisher.
	Claimed
	// Published rows were delivered and acknowledged.
	Published
	// RetryWait rows were sent but not acknowledged, and wait for the next attempt.
	RetryWait
)

// String returns the name of the state as shown to operators.
func (s State) String() string {
	return [...]string{"PENDING", "CLAIMED", "PUBLISHED", "RETRY_WAIT"}[min(s, RetryWait)]
}

const (
	// ClaimLease is the duration of a claim, measured by another node as the time for which it
	// has seen the row unchanged. The lease of 30 s in the reference that the package comment
	// cites is too long: if a publisher fails, its rows would stay unsent for longer than a
	// change may take to become effective.
	ClaimLease = 5 * time.Second
	// InitialRetryDelay is the delay after the first failed attempt. It doubles with each
	// further one.
	InitialRetryDelay = time.Second
	// MaxRetryDelay is the upper bound of the delay between attempts.
	MaxRetryDelay = time.Minute

	// maxDelayDoublings prevents an overflow of the doubled delay.
	maxDelayDoublings = 10
)

// Row is a notification in the outbox with the state of its delivery. Methods that change the
// state return the changed row, which the caller commits.
type Row struct {
	Notification Notification `cbor:"1,keyasint"`
	State        State        `cbor:"2,keyasint,omitempty"`
	Owner        string       `cbor:"3,keyasint,omitempty"` // token that identifies the owner of the claim
	Attempts     int          `cbor:"4,keyasint,omitempty"`
}

// ClaimDelay returns the time for which the row must have been unchanged before it can be
// claimed.
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

// Claim returns the row claimed by owner. unchanged is the time for which the caller has seen
// the row unchanged. Claim returns ErrInvalidState if that is shorter than ClaimDelay, or if the
// row was published.
func (r Row) Claim(owner string, unchanged time.Duration) (Row, error) {
	if r.State == Published || unchanged < r.ClaimDelay() {
		return r, ErrInvalidState
	}
	r.State = Claimed
	r.Owner = owner
	r.Attempts++
	return r, nil
}

// MarkPublished returns the row in state Published, for use after its delivery was acknowledged.
// It returns ErrInvalidState if the row is not claimed, and ErrNotOwner if another publisher
// claimed it.
func (r Row) MarkPublished(owner string) (Row, error) {
	return r.release(owner, Published)
}

// ScheduleRetry returns the row in state RetryWait, for use after an attempt that was not
// acknowledged. It returns ErrInvalidState if the row is not claimed, and ErrNotOwner if another
// publisher claimed it.
func (r Row) ScheduleRetry(owner string) (Row, error) {
	return r.release(owner, RetryWait)
}

// Redrive returns the row in state Pending, so that the same notification is sent again.
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
