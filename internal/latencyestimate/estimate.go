// Package estimate works out how long a slow lookup would have taken on the other copies
// of its shard, from what lookups of its class took there of late, and finds copies that
// answer otherwise than their fellows. The package does no input or output; Collector is
// what requests hand their samples to.
package latencyestimate

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"comethold/internal/rpc"

	"github.com/caio/go-tdigest/v4"
)

// ErrInvalidSketch is the error of this layer.
var ErrInvalidSketch = errors.New("estimate: the sketch cannot be read")

// The classes of lookups, apart from one another.
const (
	ClassUrgent  = "urgent"
	ClassBulk    = "bulk"
	ClassArchive = "archive"
)

// Load is how busy a copy was as it was asked.
type Load uint8

// A copy is Idle, or has others' calls of this node at work or turns calls away.
const (
	Idle Load = iota
	Busy
)

// Key names what samples belong together.
type Key struct {
	Service  string `cbor:"1,keyasint" json:"service"`
	Endpoint string `cbor:"2,keyasint" json:"leaf"`
	Class    string `cbor:"3,keyasint" json:"class"`
	Load     Load   `cbor:"4,keyasint,omitempty" json:"busy"`
}

// Sample is one lookup at one copy. One that was given up on after Took is Cut: it would
// have taken longer, nobody knows how long.
type Sample struct {
	Key      Key
	Duration time.Duration
	Censored bool
}

const (
	compression  = 20
	minSamples   = 20 // below that an estimate says "unknown"
	lowQuantile  = 0.1
	highQuantile = 0.9 // of lookups lie between the ends of an interval: it claims 80 in 100
)

// NominalCoverage is the share of lookups that an interval claims to cover.
const NominalCoverage = highQuantile - lowQuantile

// Sketch holds the samples of one key, mergeable with others of its kind.
type Sketch struct {
	completed, censored *tdigest.TDigest // nil: none
}

// sharedRandom is one source for all digests: one of its own takes 5 KB and is slow to make.
type sharedRandom struct{}

func (sharedRandom) Float32() float32 { return rand.Float32() }
func (sharedRandom) Intn(n int) int   { return rand.IntN(n) }

func newDigest() *tdigest.TDigest {
	d, err := tdigest.New(tdigest.Compression(compression), tdigest.RandomNumberGenerator(sharedRandom{}))
	if err != nil {
		panic(err) // the compression is ours
	}
	return d
}

// NewSketch makes an empty sketch.
func NewSketch() *Sketch { return &Sketch{} }

func sampleCount(d *tdigest.TDigest) uint64 {
	if d == nil {
		return 0
	}
	return d.Count()
}

func mergeDigests(d, o *tdigest.TDigest) *tdigest.TDigest {
	switch {
	case o == nil:
		return d
	case d == nil:
		return o.Clone()
	}
	_ = d.Merge(o)
	return d
}

// Add takes a sample in.
func (s *Sketch) Add(took time.Duration, cut bool) {
	d := &s.completed
	if cut {
		d = &s.censored
	}
	if *d == nil {
		*d = newDigest()
	}
	_ = (*d).Add(max(took.Seconds(), 1e-6))
}

// Merge takes all samples of another sketch in.
func (s *Sketch) Merge(o *Sketch) {
	s.completed, s.censored = mergeDigests(s.completed, o.completed), mergeDigests(s.censored, o.censored)
}

// encodedSketch is a sketch between processes.
type encodedSketch struct {
	Completed []byte `cbor:"1,keyasint"`
	Censored  []byte `cbor:"2,keyasint"`
}

// MarshalCBOR and UnmarshalCBOR carry a sketch between processes.
func (s *Sketch) MarshalCBOR() ([]byte, error) {
	write := func(d *tdigest.TDigest) ([]byte, error) {
		if d == nil {
			return nil, nil
		}
		return d.AsBytes()
	}
	done, err := write(s.completed)
	cut, err2 := write(s.censored)
	if err := errors.Join(err, err2); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrInvalidSketch, err)
	}
	return rpc.Marshal(encodedSketch{done, cut})
}

// UnmarshalCBOR reads a sketch.
func (s *Sketch) UnmarshalCBOR(raw []byte) error {
	var e encodedSketch
	if err := rpc.Unmarshal(raw, &e); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalidSketch, err)
	}
	read := func(b []byte) (*tdigest.TDigest, error) {
		if len(b) == 0 {
			return nil, nil
		}
		if len(b) > 64<<10 {
			return nil, ErrInvalidSketch
		}
		return tdigest.FromBytes(bytes.NewReader(b), tdigest.Compression(compression), tdigest.RandomNumberGenerator(sharedRandom{}))
	}
	done, err := read(e.Completed)
	cut, err2 := read(e.Censored)
	if err := errors.Join(err, err2); err != nil {
		return fmt.Errorf("%w: %v", ErrInvalidSketch, err)
	}
	s.completed, s.censored = done, cut
	return nil
}

// Estimate is how long a lookup would take: half of them Median or less, 80 in 100
// between Low and High. Where so many were given up on that High can't be told, it is
// Open. Unknown says why there is no estimate.
type Estimate struct {
	Median        time.Duration `json:"median"`
	Low           time.Duration `json:"low"`
	High          time.Duration `json:"high"`
	HighOpen      bool          `json:"highOpen,omitempty"`
	Samples       uint64        `json:"samples"`
	Censored      uint64        `json:"givenUp"`
	UnknownReason string        `json:"unknown,omitempty"`
}

// Known reports whether there is an estimate.
func (e Estimate) Known() bool { return e.UnknownReason == "" }

// Covers reports whether a time lies in the interval.
func (e Estimate) Covers(took time.Duration) bool {
	return e.Known() && took >= e.Low && (e.HighOpen || took <= e.High)
}

// Estimate works the estimate out. A lookup that was given up on counts among those that
// took longer, for as long as it was followed (the product-limit method): leaving it out
// would make a copy that stalls look quick.
func (s *Sketch) Estimate() Estimate {
	e := Estimate{Samples: sampleCount(s.completed), Censored: sampleCount(s.censored)}
	if e.Samples+e.Censored < minSamples {
		e.UnknownReason = "too few samples"
		return e
	}
	type point struct {
		at   float64
		n    float64
		done bool
	}
	var all []point
	for _, d := range []struct {
		t    *tdigest.TDigest
		done bool
	}{{s.completed, true}, {s.censored, false}} {
		if d.t == nil {
			continue
		}
		d.t.ForEachCentroid(func(mean float64, count uint64) bool {
			all = append(all, point{mean, float64(count), d.done})
			return true
		})
	}
	slices.SortFunc(all, func(a, b point) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		case a.done == b.done:
			return 0
		case a.done:
			return -1 // what ended at a moment was not given up on before
		}
		return 1
	})
	left, alive, before := float64(e.Samples+e.Censored), 1.0, 0.0
	quantile := map[float64]float64{}
	for _, p := range all {
		if p.done {
			next := alive * (1 - p.n/left)
			for _, q := range []float64{lowQuantile, 0.5, highQuantile} {
				if _, ok := quantile[q]; !ok && next <= 1-q+1e-12 {
					// Within a centroid times are spread evenly from the one before.
					part := 1.0
					if p.n > 1 && alive > next {
						part = (alive - (1 - q)) / (alive - next)
					}
					quantile[q] = before + (p.at-before)*math.Min(1, 0.5+part/2)
				}
			}
			alive, before = next, p.at
		}
		left -= p.n
	}
	at := func(q float64) (time.Duration, bool) {
		v, ok := quantile[q]
		return time.Duration(v * float64(time.Second)), ok
	}
	var known, high bool
	e.Low, _ = at(lowQuantile)
	e.Median, known = at(0.5)
	e.High, high = at(highQuantile)
	e.HighOpen = !high
	if !known {
		e.UnknownReason = "more than half were given up on"
	}
	return e
}
