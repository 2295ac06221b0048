package outbox

import "time"

// State of a row of the outbox.
type State uint8

// A row is committed Pending, is Claimed by a publisher, and is Published or waits for
// a retry.
const (
	Pending State = iota
	Claimed
	Published
	RetryWait
)

func (s State) String() string {
	return [...]string{"PENDING", "CLAIMED", "PUBLISHED", "RETRY_WAIT"}[min(s, RetryWait)]
}

// Row is a notice in the outbox, with what became of it.
type Row struct {
	Notification Notification `cbor:"1,keyasint"`
	State        State        `cbor:"2,keyasint,omitempty"`
	Owner        string       `cbor:"3,keyasint,omitempty"` // the token of the claim
	Attempts     int          `cbor:"4,keyasint,omitempty"`
}

// Pacing of the outbox. The source's lease of 30 s would leave a row of a publisher that
// was lost unsent for longer than a change may take to be in force.
const (
	ClaimLease        = 5 * time.Second // by the clock of who sees the row unchanged
	InitialRetryDelay = time.Second
	MaxRetryDelay     = time.Minute
)

// ClaimDelay is how long a row has to lie unchanged before it may be claimed.
func (r Row) ClaimDelay() time.Duration {
	switch r.State {
	case Claimed:
		return ClaimLease
	case RetryWait:
		return min(MaxRetryDelay, InitialRetryDelay<<min(max(r.Attempts-1, 0), 10))
	}
	return 0
}

// Claim takes a row to send it. lain is how long it has been seen unchanged.
func (r Row) Claim(owner string, lain time.Duration) (Row, error) {
	if r.State == Published || lain < r.ClaimDelay() {
		return r, ErrInvalidState
	}
	r.State, r.Owner = Claimed, owner
	r.Attempts++
	return r, nil
}

// MarkPublished notes that the row was sent.
func (r Row) MarkPublished(owner string) (Row, error) {
	if err := r.checkClaim(owner); err != nil {
		return r, err
	}
	r.State, r.Owner = Published, ""
	return r, nil
}

// ScheduleRetry notes that the row could not be sent.
func (r Row) ScheduleRetry(owner string) (Row, error) {
	if err := r.checkClaim(owner); err != nil {
		return r, err
	}
	r.State, r.Owner = RetryWait, ""
	return r, nil
}

// Redrive has the row sent once more; its notice stays as it is.
func (r Row) Redrive() Row {
	return Row{Notification: r.Notification, State: Pending, Attempts: r.Attempts}
}

func (r Row) checkClaim(owner string) error {
	switch {
	case r.State != Claimed:
		return ErrInvalidState
	case r.Owner != owner:
		return ErrNotOwner
	}
	return nil
}
