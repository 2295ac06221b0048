package schema

import "comethold/internal/outbox"

// QuarantineRecord is a notification or a configuration change that conflicts with another one
// that was committed earlier under the same key. It is stored for the operator to inspect and is
// never applied.
type QuarantineRecord struct {
	Notification outbox.Notification `cbor:"1,keyasint"`
	Reason       string              `cbor:"2,keyasint"`
	ReportedBy   string              `cbor:"3,keyasint"` // name of the node that detected the conflict
}
