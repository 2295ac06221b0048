package diskstore

import (
	"encoding/binary"
	"hash/crc32"
	"net/http"
	"time"

	"comethold/internal/responsecache"
	"comethold/internal/rpc"
)

// checksumBytes is the length of the checksum in front of each encoded object.
const checksumBytes = 4

// objectRecord is an object on disk.
type objectRecord struct {
	Host       string      `cbor:"1,keyasint"`
	Target     string      `cbor:"2,keyasint"`
	Service    string      `cbor:"3,keyasint"`
	ETag       string      `cbor:"4,keyasint"`
	Labels     []string    `cbor:"5,keyasint,omitempty"`
	Header     http.Header `cbor:"6,keyasint,omitempty"`
	Body       []byte      `cbor:"7,keyasint,omitempty"`
	PurgeIndex uint64      `cbor:"8,keyasint"`
	ReadAt     timestamp   `cbor:"9,keyasint"`
}

// encodeObject encodes an object with a checksum. now and at are the same current time in two types.
// It returns nil if the object can't be encoded.
func encodeObject(object *responsecache.Response, now timestamp, at time.Time) []byte {
	record := objectRecord{
		Host:       object.Host,
		Target:     object.Target,
		Service:    object.Service,
		ETag:       object.ETag,
		Labels:     object.Labels,
		Header:     object.Header,
		Body:       object.Body,
		PurgeIndex: object.PurgeIndex,
	}
	if !object.ValidatedAt.IsZero() {
		record.ReadAt = now.minus(object.Age(at))
	}
	encoded, err := rpc.Marshal(record)
	if err != nil {
		return nil
	}
	return append(binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(encoded)), encoded...)
}

// decodeObject decodes an object. It returns nil if the object is damaged. now and at are the
// same current time in two types. If the age of the object is unknown, ValidatedAt is zero, and the object is
// revalidated before it is served.
func decodeObject(value []byte, now timestamp, at time.Time) *responsecache.Response {
	if len(value) < checksumBytes {
		return nil
	}
	checksum, encoded := binary.BigEndian.Uint32(value), value[checksumBytes:]
	if checksum != crc32.ChecksumIEEE(encoded) {
		return nil
	}
	var record objectRecord
	if rpc.Unmarshal(encoded, &record) != nil || record.ETag == "" {
		return nil
	}
	object := &responsecache.Response{
		Host:       record.Host,
		Target:     record.Target,
		Service:    record.Service,
		ETag:       record.ETag,
		Labels:     record.Labels,
		Header:     record.Header,
		Body:       record.Body,
		PurgeIndex: record.PurgeIndex,
	}
	if age, ok := now.elapsedSince(record.ReadAt); ok {
		object.ValidatedAt = at.Add(-age)
	}
	return object
}
