package schema

import "comethold/internal/outbox"

// QuarantineRecord is a notification or a configuration change that is invalid, or that conflicts
// with an earlier one. It is stored for the operator to inspect and is never applied.
type QuarantineRecord struct {
	Notification outbox.Notification `cbor:"1,keyasint"`
	Reason       string              `cbor:"2,keyasint"`
	ReportedBy   string              `cbor:"3,keyasint"` // name of the node that detected the conflict
}
