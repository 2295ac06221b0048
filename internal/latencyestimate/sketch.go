package latencyestimate

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"comethold/internal/rpc"

	"github.com/caio/go-tdigest/v4"
)

// ErrInvalidSketch means that a sketch cannot be encoded or decoded.
var ErrInvalidSketch = errors.New("latencyestimate: the sketch cannot be encoded or decoded")

const (
	// digestCompression determines the size and precision of a digest.
	digestCompression = 20
	// minSampleSeconds is the minimum duration in a digest. Shorter ones are rounded up.
	minSampleSeconds = 1e-6
	// maxEncodedDigest is the maximum length of an encoded digest, in bytes.
	maxEncodedDigest = 64 << 10
)

// Sketch summarizes the distribution of the durations of the samples of one key. Sketches can
// be merged. A Sketch is not safe for concurrent use.
type Sketch struct {
	// completed and censored are the digests of the samples, in seconds; nil if there are none.
	completed, censored *tdigest.TDigest
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch { return &Sketch{} }

// Add adds a sample.
func (s *Sketch) Add(duration time.Duration, censored bool) {
	digest := &s.completed
	if censored {
		digest = &s.censored
	}
	if *digest == nil {
		*digest = newDigest()
	}
	_ = (*digest).Add(max(duration.Seconds(), minSampleSeconds)) // fails only for NaN, which Seconds never returns
}

// Merge adds all samples of another sketch, which is not modified.
func (s *Sketch) Merge(other *Sketch) {
	s.completed = mergeDigests(s.completed, other.completed)
	s.censored = mergeDigests(s.censored, other.censored)
}

// encodedSketch is the wire format of a sketch.
type encodedSketch struct {
	Completed []byte `cbor:"1,keyasint"`
	Censored  []byte `cbor:"2,keyasint"`
}

// MarshalCBOR encodes the sketch. Its error wraps ErrInvalidSketch if a digest cannot be
// encoded.
func (s *Sketch) MarshalCBOR() ([]byte, error) {
	completed, completedErr := encodeDigest(s.completed)
	censored, censoredErr := encodeDigest(s.censored)
	if err := errors.Join(completedErr, censoredErr); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidSketch, err)
	}
	return rpc.Marshal(encodedSketch{Completed: completed, Censored: censored})
}

// UnmarshalCBOR decodes a sketch. Its error wraps ErrInvalidSketch.
func (s *Sketch) UnmarshalCBOR(raw []byte) error {
	var encoded encodedSketch
	if err := rpc.Unmarshal(raw, &encoded); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSketch, err)
	}
	completed, completedErr := decodeDigest(encoded.Completed)
	censored, censoredErr := decodeDigest(encoded.Censored)
	if err := errors.Join(completedErr, censoredErr); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSketch, err)
	}
	s.completed = completed
	s.censored = censored
	return nil
}

// sharedRandom is the random source of all digests. A source for each digest would take 5 KB
// of memory and be slow to create.
type sharedRandom struct{}

func (sharedRandom) Float32() float32 { return rand.Float32() }
func (sharedRandom) Intn(n int) int   { return rand.IntN(n) }

func newDigest() *tdigest.TDigest {
	digest, err := tdigest.New(
		tdigest.Compression(digestCompression),
		tdigest.RandomNumberGenerator(sharedRandom{}),
	)
	if err != nil {
		panic(err) // New fails only for an invalid compression, and digestCompression is valid
	}
	return digest
}

// sampleCount returns the number of samples of a digest, which may be nil.
func sampleCount(digest *tdigest.TDigest) uint64 {
	if digest == nil {
		return 0
	}
	return digest.Count()
}

// mergeDigests adds the samples of other to digest and returns it. Both may be nil. It does
// not modify other.
func mergeDigests(digest, other *tdigest.TDigest) *tdigest.TDigest {
	switch {
	case other == nil:
		return digest
	case digest == nil:
		return other.Clone()
	}
	_ = digest.Merge(other) // cannot fail for digests with valid centroids
	return digest
}

// encodeDigest encodes a digest. It returns no bytes for a nil digest.
func encodeDigest(digest *tdigest.TDigest) ([]byte, error) {
	if digest == nil {
		return nil, nil
	}
	return digest.AsBytes()
}

// decodeDigest decodes a digest. It returns a nil digest for no bytes.
func decodeDigest(encoded []byte) (*tdigest.TDigest, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	if len(encoded) > maxEncodedDigest {
		return nil, ErrInvalidSketch
	}
	return tdigest.FromBytes(
		bytes.NewReader(encoded),
		tdigest.Compression(digestCompression),
		tdigest.RandomNumberGenerator(sharedRandom{}),
	)
}
