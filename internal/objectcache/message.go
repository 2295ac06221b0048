package objectcache

import "net/http"

// Paths of the internal API. The control plane serves sharePath, the servers serve the others.
const (
	objectPath = "/object"
	permitPath = "/errand"
	sharePath  = "/ration"
)

// objectCall requests an object from a server.
type objectCall struct {
	Host   string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	ETag   string `cbor:"3,keyasint,omitempty"` // of the object that the caller holds
	// PurgeIndex and ConfigVersion are the minimum that the server must have applied before it replies.
	PurgeIndex    uint64 `cbor:"4,keyasint,omitempty"`
	ConfigVersion uint64 `cbor:"5,keyasint,omitempty"`
	WaitMs        int64  `cbor:"6,keyasint"` // how long the caller waits
	// If OriginOnly is set, the server reads the origin and doesn't ask other servers.
	OriginOnly bool `cbor:"7,keyasint,omitempty"`
	Waiters    int  `cbor:"8,keyasint,omitempty"` // requests that wait for the object
}

// objectReply holds an object, or the reason why there is none.
type objectReply struct {
	NotModified bool        `cbor:"1,keyasint,omitempty"` // the caller's object is current
	Service     string      `cbor:"2,keyasint,omitempty"`
	ETag        string      `cbor:"3,keyasint,omitempty"`
	Labels      []string    `cbor:"4,keyasint,omitempty"`
	Header      http.Header `cbor:"5,keyasint,omitempty"`
	Body        []byte      `cbor:"6,keyasint,omitempty"`
	AgeUs       int64       `cbor:"7,keyasint,omitempty"` // since it was last read or revalidated
	PurgeIndex  uint64      `cbor:"8,keyasint,omitempty"` // of the purges known at that time
	Status      int         `cbor:"9,keyasint,omitempty"` // of a failure; 0 if there is an object
	Reason      string      `cbor:"10,keyasint,omitempty"`
	RetryMs     int64       `cbor:"11,keyasint,omitempty"`
	// Disconnected is set if the server has lost contact with the control plane. The caller
	// may ask another server.
	Disconnected bool `cbor:"12,keyasint,omitempty"`
}

// permitRequest asks a server for permission to call a service with a rate.
type permitRequest struct {
	Service string `cbor:"1,keyasint"`
	WaitMs  int64  `cbor:"2,keyasint"` // how long the caller waits
}

// permitReply is the reply to a permitRequest.
type permitReply struct {
	Granted bool  `cbor:"1,keyasint,omitempty"`
	RetryMs int64 `cbor:"2,keyasint,omitempty"` // if not granted: delay before the next request
}
