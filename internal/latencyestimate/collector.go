package latencyestimate

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a collector. Nothing that comes in ever waits: what does not fit is dropped
// and counted.
const (
	maxQueuedSamples    = 512
	maxSamplesPerSecond = 1000 // samples taken in; its share of the processor
	workInterval        = 20 * time.Millisecond
	samplesPerInterval  = maxSamplesPerSecond / int(time.Second/workInterval)
	thresholdLifetime   = 64   // samples of a key after which its usual time is worked out anew
	maxKeys             = 1024 // sketches of one generation
	maxSlowLookups      = 256  // slow lookups remembered
	generationLength    = time.Minute
	slowFactor          = 3 // times the usual at this copy from which a lookup is slow
	maxPartBytes        = 256 << 10
)

// AnswerPair is two answers of copies to one lookup.
type AnswerPair struct {
	First, Second         Sample
	FirstPart, SecondPart []byte
}

// ReplicaEstimate is what another copy would have taken, as estimated, and did take, if it was
// asked too.
type ReplicaEstimate struct {
	Endpoint   string        `json:"leaf" cbor:"1,keyasint"`
	Estimate   Estimate      `json:"estimate" cbor:"2,keyasint"`
	Actual     time.Duration `json:"real,omitempty" cbor:"3,keyasint,omitempty"`
	Difference string        `json:"part,omitempty" cbor:"4,keyasint,omitempty"`
}

// SlowLookup is a lookup that was slow or stalled.
type SlowLookup struct {
	At       time.Time         `json:"at" cbor:"1,keyasint"`
	Key      Key               `json:"lookup" cbor:"2,keyasint"`
	Duration time.Duration     `json:"took" cbor:"3,keyasint"`
	Censored bool              `json:"givenUp,omitempty" cbor:"4,keyasint,omitempty"`
	Replicas []ReplicaEstimate `json:"others" cbor:"5,keyasint"`
}

// Counters counts pairs whose real time was compared with its estimate, and differences.
type Counters struct {
	Compared    uint64            `json:"compared" cbor:"1,keyasint"`
	Covered     uint64            `json:"covered" cbor:"2,keyasint"`
	Differences map[string]uint64 `json:"parts" cbor:"3,keyasint"` // "leaf kind": how often
	Dropped     uint64            `json:"dropped" cbor:"4,keyasint"`
}

// Snapshot is all that one node, or several merged, know.
type Snapshot struct {
	Sketches    []KeyedSketch `cbor:"1,keyasint"`
	SlowLookups []SlowLookup  `cbor:"2,keyasint"`
	Counters    Counters      `cbor:"3,keyasint"`
}

// KeyedSketch is a sketch with its key.
type KeyedSketch struct {
	Key    Key     `cbor:"1,keyasint"`
	Sketch *Sketch `cbor:"2,keyasint"`
}

// Collector takes samples of requests without ever holding one up.
type Collector struct {
	queue          chan AnswerPair // a sample alone has no B
	dropped        atomic.Uint64
	intervalBudget atomic.Int32 // samples that this turn takes in

	mu                sync.Mutex
	current, previous map[Key]*Sketch // this generation and the one before
	rotatedAt         time.Time
	thresholds        map[Key]*slowThreshold
	slowLookups       []SlowLookup
	counters          Counters
}

// slowThreshold is from when on a lookup is slow, and for how many samples that stands.
type slowThreshold struct {
	duration    time.Duration // 0: not known
	samplesLeft int
}

// NewCollector makes a collector; Run has to work for it.
func NewCollector(now time.Time) *Collector {
	c := &Collector{queue: make(chan AnswerPair, maxQueuedSamples), current: map[Key]*Sketch{}, previous: map[Key]*Sketch{}, rotatedAt: now, thresholds: map[Key]*slowThreshold{},
		counters: Counters{Differences: map[string]uint64{}}}
	c.intervalBudget.Store(int32(samplesPerInterval))
	return c
}

// Submit hands a sample in. Beyond what a turn takes it costs one addition.
func (c *Collector) Submit(s Sample) {
	if c.intervalBudget.Add(-1) < 0 {
		c.dropped.Add(1)
		return
	}
	c.enqueue(AnswerPair{First: s})
}

// SubmitPair hands in two answers to one lookup, whose samples were noted before.
func (c *Collector) SubmitPair(p AnswerPair) {
	if len(p.FirstPart) <= maxPartBytes && len(p.SecondPart) <= maxPartBytes {
		c.enqueue(p)
	}
}

func (c *Collector) enqueue(p AnswerPair) {
	select {
	case c.queue <- p:
	default:
		c.dropped.Add(1)
	}
}

// Run works off what comes in until quit, within its share of the processor.
func (c *Collector) Run(quit <-chan struct{}) {
	t := time.NewTicker(workInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			c.intervalBudget.Store(int32(samplesPerInterval))
			c.processQueue(now, samplesPerInterval)
		case <-quit:
			return
		}
	}
}

// processQueue takes in so much of what waits.
func (c *Collector) processQueue(now time.Time, most int) {
	for range most {
		select {
		case p := <-c.queue:
			if p.Second.Key.Endpoint == "" {
				c.Add(p.First, now)
			} else {
				c.AddPair(p)
			}
		default:
			return
		}
	}
}

func (c *Collector) rotateLocked(now time.Time) {
	if now.Sub(c.rotatedAt) >= generationLength {
		if now.Sub(c.rotatedAt) >= 2*generationLength {
			c.current = map[Key]*Sketch{}
		}
		c.previous, c.current, c.rotatedAt = c.current, map[Key]*Sketch{}, now
		clear(c.thresholds)
	}
}

// Add takes a sample in at once.
func (c *Collector) Add(s Sample, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotateLocked(now)
	u := c.thresholds[s.Key]
	if u == nil {
		u = &slowThreshold{}
		if len(c.thresholds) < maxKeys {
			c.thresholds[s.Key] = u
		}
	}
	if u.samplesLeft--; u.samplesLeft < 0 {
		u.duration, u.samplesLeft = 0, minSamples
		if e := c.estimateLocked(s.Key); e.Known() {
			u.duration, u.samplesLeft = slowFactor*e.Median, thresholdLifetime
		}
	}
	if s.Censored || u.duration > 0 && s.Duration > u.duration {
		c.recordSlowLocked(s, now)
	}
	k := c.current[s.Key]
	if k == nil {
		if len(c.current) >= maxKeys {
			c.dropped.Add(1)
			return
		}
		k = NewSketch()
		c.current[s.Key] = k
	}
	k.Add(s.Duration, s.Censored)
}

func (c *Collector) estimateLocked(k Key) Estimate {
	a, b := c.current[k], c.previous[k]
	switch {
	case a == nil && b == nil:
		return Estimate{UnknownReason: "never asked"}
	case a == nil:
		return b.Estimate()
	case b == nil:
		return a.Estimate()
	}
	both := NewSketch()
	both.Merge(a)
	both.Merge(b)
	return both.Estimate()
}

// recordSlowLocked remembers a slow lookup with the estimates for the other copies as of now.
func (c *Collector) recordSlowLocked(s Sample, now time.Time) {
	one := SlowLookup{At: now, Key: s.Key, Duration: s.Duration, Censored: s.Censored, Replicas: []ReplicaEstimate{}}
	seen := map[string]bool{s.Key.Endpoint: true}
	for _, gen := range []map[Key]*Sketch{c.current, c.previous} {
		for k := range gen {
			if k.Service == s.Key.Service && k.Class == s.Key.Class && k.Load == s.Key.Load && !seen[k.Endpoint] {
				seen[k.Endpoint] = true
				one.Replicas = append(one.Replicas, ReplicaEstimate{Endpoint: k.Endpoint, Estimate: c.estimateLocked(k)})
			}
		}
	}
	if c.slowLookups = append(c.slowLookups, one); len(c.slowLookups) > maxSlowLookups {
		c.slowLookups = append([]SlowLookup(nil), c.slowLookups[len(c.slowLookups)-maxSlowLookups:]...)
	}
}

// AddPair compares two answers to one lookup: what the second copy took with what was
// estimated of it, and their parts.
func (c *Collector) AddPair(p AnswerPair) {
	ofA, ofB := CompareParts(p.FirstPart, p.SecondPart)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.Second.Censored {
		if e := c.estimateLocked(p.Second.Key); e.Known() {
			c.counters.Compared++
			if e.Covers(p.Second.Duration) {
				c.counters.Covered++
			}
		}
	}
	for _, d := range []struct {
		leaf string
		d    Difference
	}{{p.First.Key.Endpoint, ofA}, {p.Second.Key.Endpoint, ofB}} {
		if d.d != Same && len(c.counters.Differences) < maxKeys {
			c.counters.Differences[d.leaf+" "+d.d.String()]++
		}
	}
	for i := len(c.slowLookups) - 1; i >= 0; i-- { // the slow lookup that this was the second try of
		s := &c.slowLookups[i]
		if s.Key != p.First.Key || s.Duration != p.First.Duration {
			continue
		}
		for j := range s.Replicas {
			if o := &s.Replicas[j]; o.Endpoint == p.Second.Key.Endpoint {
				o.Actual, o.Difference = p.Second.Duration, ofB.String()
			}
		}
		return
	}
}

// Snapshot returns all that is known, for one service and class, or all if empty.
func (c *Collector) Snapshot(service, class string) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	fits := func(k Key) bool {
		return (service == "" || k.Service == service) && (class == "" || k.Class == class)
	}
	v := Snapshot{Counters: Counters{Compared: c.counters.Compared, Covered: c.counters.Covered, Dropped: c.dropped.Load(), Differences: map[string]uint64{}}}
	for k, n := range c.counters.Differences {
		v.Counters.Differences[k] = n
	}
	both := map[Key]*Sketch{}
	for _, gen := range []map[Key]*Sketch{c.current, c.previous} {
		for k, s := range gen {
			if fits(k) {
				if both[k] == nil {
					both[k] = NewSketch()
				}
				both[k].Merge(s)
			}
		}
	}
	for k, s := range both {
		v.Sketches = append(v.Sketches, KeyedSketch{k, s})
	}
	for _, s := range c.slowLookups {
		if fits(s.Key) {
			s.Replicas = append([]ReplicaEstimate(nil), s.Replicas...)
			v.SlowLookups = append(v.SlowLookups, s)
		}
	}
	return v
}

// MergeSnapshots joins what several nodes know.
func MergeSnapshots(views ...Snapshot) Snapshot {
	out := Snapshot{Counters: Counters{Differences: map[string]uint64{}}}
	by := map[Key]*Sketch{}
	for _, v := range views {
		for _, k := range v.Sketches {
			if by[k.Key] == nil {
				by[k.Key] = NewSketch()
			}
			by[k.Key].Merge(k.Sketch)
		}
		out.SlowLookups = append(out.SlowLookups, v.SlowLookups...)
		out.Counters.Compared += v.Counters.Compared
		out.Counters.Covered += v.Counters.Covered
		out.Counters.Dropped += v.Counters.Dropped
		for k, n := range v.Counters.Differences {
			out.Counters.Differences[k] += n
		}
	}
	for k, s := range by {
		out.Sketches = append(out.Sketches, KeyedSketch{k, s})
	}
	return out
}
