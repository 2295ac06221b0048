package estimate

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a collector. Nothing that comes in ever waits: what does not fit is dropped
// and counted.
const (
	queueLength = 512
	mostPerS    = 1000 // samples taken in; its share of the processor
	turn        = 20 * time.Millisecond
	perTurn     = mostPerS / int(time.Second/turn)
	usualEvery  = 64   // samples of a key after which its usual time is worked out anew
	mostKeys    = 1024 // sketches of one generation
	mostSlow    = 256  // slow lookups remembered
	generation  = time.Minute
	slowFactor  = 3 // times the usual at this copy from which a lookup is slow
	mostPart    = 256 << 10
)

// Pair is two answers of copies to one lookup.
type Pair struct {
	A, B         Sample
	PartA, PartB []byte
}

// Other is what another copy would have taken, as estimated, and did take, if it was
// asked too.
type Other struct {
	Leaf     string        `json:"leaf" cbor:"1,keyasint"`
	Estimate Estimate      `json:"estimate" cbor:"2,keyasint"`
	Real     time.Duration `json:"real,omitempty" cbor:"3,keyasint,omitempty"`
	Part     string        `json:"part,omitempty" cbor:"4,keyasint,omitempty"`
}

// Slow is a lookup that was slow or stalled.
type Slow struct {
	At     time.Time     `json:"at" cbor:"1,keyasint"`
	Key    Key           `json:"lookup" cbor:"2,keyasint"`
	Took   time.Duration `json:"took" cbor:"3,keyasint"`
	Cut    bool          `json:"givenUp,omitempty" cbor:"4,keyasint,omitempty"`
	Others []Other       `json:"others" cbor:"5,keyasint"`
}

// Tally counts pairs whose real time was compared with its estimate, and differences.
type Tally struct {
	Compared uint64            `json:"compared" cbor:"1,keyasint"`
	Covered  uint64            `json:"covered" cbor:"2,keyasint"`
	Parts    map[string]uint64 `json:"parts" cbor:"3,keyasint"` // "leaf kind": how often
	Dropped  uint64            `json:"dropped" cbor:"4,keyasint"`
}

// View is all that one node, or several merged, know.
type View struct {
	Sketches []Keyed `cbor:"1,keyasint"`
	Slow     []Slow  `cbor:"2,keyasint"`
	Tally    Tally   `cbor:"3,keyasint"`
}

// Keyed is a sketch with its key.
type Keyed struct {
	Key    Key     `cbor:"1,keyasint"`
	Sketch *Sketch `cbor:"2,keyasint"`
}

// Collector takes samples of requests without ever holding one up.
type Collector struct {
	queue   chan Pair // a sample alone has no B
	dropped atomic.Uint64
	room    atomic.Int32 // samples that this turn takes in

	mu      sync.Mutex
	now, at map[Key]*Sketch // this generation and the one before
	turned  time.Time
	usual   map[Key]*usual
	slow    []Slow
	tally   Tally
}

// usual is from when on a lookup is slow, and for how many samples that stands.
type usual struct {
	slow time.Duration // 0: not known
	left int
}

// NewCollector makes a collector; Run has to work for it.
func NewCollector(now time.Time) *Collector {
	c := &Collector{queue: make(chan Pair, queueLength), now: map[Key]*Sketch{}, at: map[Key]*Sketch{}, turned: now, usual: map[Key]*usual{},
		tally: Tally{Parts: map[string]uint64{}}}
	c.room.Store(int32(perTurn))
	return c
}

// Note hands a sample in. Beyond what a turn takes it costs one addition.
func (c *Collector) Note(s Sample) {
	if c.room.Add(-1) < 0 {
		c.dropped.Add(1)
		return
	}
	c.hand(Pair{A: s})
}

// NotePair hands in two answers to one lookup, whose samples were noted before.
func (c *Collector) NotePair(p Pair) {
	if len(p.PartA) <= mostPart && len(p.PartB) <= mostPart {
		c.hand(p)
	}
}

func (c *Collector) hand(p Pair) {
	select {
	case c.queue <- p:
	default:
		c.dropped.Add(1)
	}
}

// Run works off what comes in until quit, within its share of the processor.
func (c *Collector) Run(quit <-chan struct{}) {
	t := time.NewTicker(turn)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			c.room.Store(int32(perTurn))
			c.work(now, perTurn)
		case <-quit:
			return
		}
	}
}

// work takes in so much of what waits.
func (c *Collector) work(now time.Time, most int) {
	for range most {
		select {
		case p := <-c.queue:
			if p.B.Key.Leaf == "" {
				c.Add(p.A, now)
			} else {
				c.AddPair(p)
			}
		default:
			return
		}
	}
}

func (c *Collector) turnLocked(now time.Time) {
	if now.Sub(c.turned) >= generation {
		if now.Sub(c.turned) >= 2*generation {
			c.now = map[Key]*Sketch{}
		}
		c.at, c.now, c.turned = c.now, map[Key]*Sketch{}, now
		clear(c.usual)
	}
}

// Add takes a sample in at once.
func (c *Collector) Add(s Sample, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turnLocked(now)
	u := c.usual[s.Key]
	if u == nil {
		u = &usual{}
		if len(c.usual) < mostKeys {
			c.usual[s.Key] = u
		}
	}
	if u.left--; u.left < 0 {
		u.slow, u.left = 0, leastSamples
		if e := c.estimateLocked(s.Key); e.Known() {
			u.slow, u.left = slowFactor*e.Median, usualEvery
		}
	}
	if s.Cut || u.slow > 0 && s.Took > u.slow {
		c.slowLocked(s, now)
	}
	k := c.now[s.Key]
	if k == nil {
		if len(c.now) >= mostKeys {
			c.dropped.Add(1)
			return
		}
		k = NewSketch()
		c.now[s.Key] = k
	}
	k.Add(s.Took, s.Cut)
}

func (c *Collector) estimateLocked(k Key) Estimate {
	a, b := c.now[k], c.at[k]
	switch {
	case a == nil && b == nil:
		return Estimate{Unknown: "never asked"}
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

// slowLocked remembers a slow lookup with the estimates for the other copies as of now.
func (c *Collector) slowLocked(s Sample, now time.Time) {
	one := Slow{At: now, Key: s.Key, Took: s.Took, Cut: s.Cut, Others: []Other{}}
	seen := map[string]bool{s.Key.Leaf: true}
	for _, gen := range []map[Key]*Sketch{c.now, c.at} {
		for k := range gen {
			if k.Service == s.Key.Service && k.Class == s.Key.Class && k.Load == s.Key.Load && !seen[k.Leaf] {
				seen[k.Leaf] = true
				one.Others = append(one.Others, Other{Leaf: k.Leaf, Estimate: c.estimateLocked(k)})
			}
		}
	}
	if c.slow = append(c.slow, one); len(c.slow) > mostSlow {
		c.slow = append([]Slow(nil), c.slow[len(c.slow)-mostSlow:]...)
	}
}

// AddPair compares two answers to one lookup: what the second copy took with what was
// estimated of it, and their parts.
func (c *Collector) AddPair(p Pair) {
	ofA, ofB := Compare(p.PartA, p.PartB)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !p.B.Cut {
		if e := c.estimateLocked(p.B.Key); e.Known() {
			c.tally.Compared++
			if e.Covers(p.B.Took) {
				c.tally.Covered++
			}
		}
	}
	for _, d := range []struct {
		leaf string
		d    Difference
	}{{p.A.Key.Leaf, ofA}, {p.B.Key.Leaf, ofB}} {
		if d.d != Same && len(c.tally.Parts) < mostKeys {
			c.tally.Parts[d.leaf+" "+d.d.String()]++
		}
	}
	for i := len(c.slow) - 1; i >= 0; i-- { // the slow lookup that this was the second try of
		s := &c.slow[i]
		if s.Key != p.A.Key || s.Took != p.A.Took {
			continue
		}
		for j := range s.Others {
			if o := &s.Others[j]; o.Leaf == p.B.Key.Leaf {
				o.Real, o.Part = p.B.Took, ofB.String()
			}
		}
		return
	}
}

// View returns all that is known, for one service and class, or all if empty.
func (c *Collector) View(service, class string) View {
	c.mu.Lock()
	defer c.mu.Unlock()
	fits := func(k Key) bool {
		return (service == "" || k.Service == service) && (class == "" || k.Class == class)
	}
	v := View{Tally: Tally{Compared: c.tally.Compared, Covered: c.tally.Covered, Dropped: c.dropped.Load(), Parts: map[string]uint64{}}}
	for k, n := range c.tally.Parts {
		v.Tally.Parts[k] = n
	}
	both := map[Key]*Sketch{}
	for _, gen := range []map[Key]*Sketch{c.now, c.at} {
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
		v.Sketches = append(v.Sketches, Keyed{k, s})
	}
	for _, s := range c.slow {
		if fits(s.Key) {
			s.Others = append([]Other(nil), s.Others...)
			v.Slow = append(v.Slow, s)
		}
	}
	return v
}

// Merge joins what several nodes know.
func Merge(views ...View) View {
	out := View{Tally: Tally{Parts: map[string]uint64{}}}
	by := map[Key]*Sketch{}
	for _, v := range views {
		for _, k := range v.Sketches {
			if by[k.Key] == nil {
				by[k.Key] = NewSketch()
			}
			by[k.Key].Merge(k.Sketch)
		}
		out.Slow = append(out.Slow, v.Slow...)
		out.Tally.Compared += v.Tally.Compared
		out.Tally.Covered += v.Tally.Covered
		out.Tally.Dropped += v.Tally.Dropped
		for k, n := range v.Tally.Parts {
			out.Tally.Parts[k] += n
		}
	}
	for k, s := range by {
		out.Sketches = append(out.Sketches, Keyed{k, s})
	}
	return out
}
