package latencyestimate

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"comethold/internal/rpc"
)

// draw is a lookup at a stand-in copy: log-normal around its median.
func draw(rng *rand.Rand, median time.Duration) time.Duration {
	return time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
}

// coverage is how often the interval of an estimate holds the next lookup, where spoil is
// what is done to the estimate before.
func coverage(t *testing.T, limit time.Duration, spoil func(*Estimate)) (share, median float64) {
	t.Helper()
	const rounds, truth = 40, 20 * time.Millisecond
	hits, all := 0, 0
	for seed := range int64(rounds) {
		rng := rand.New(rand.NewSource(seed))
		s := NewSketch()
		for range 300 {
			took := draw(rng, truth)
			s.Add(min(took, limit), took > limit)
		}
		e := s.Estimate()
		if !e.Known() {
			t.Fatalf("no estimate: %+v", e)
		}
		if spoil != nil {
			spoil(&e)
		}
		median += e.Median.Seconds() / truth.Seconds() / rounds
		for range 100 {
			all++
			if e.Covers(draw(rng, truth)) {
				hits++
			}
		}
	}
	return float64(hits) / float64(all), median
}

// TestIntervalCoverage: an interval covers the truth about as often as it claims, also where the
// slow lookups were given up on; a spoilt estimator does not.
func TestIntervalCoverage(t *testing.T) {
	for _, limit := range []time.Duration{time.Hour, 45 * time.Millisecond, 30 * time.Millisecond} {
		share, median := coverage(t, limit, nil)
		least, most := NominalCoverage-0.06, NominalCoverage+0.06
		if limit < 38*time.Millisecond {
			most = 1 // the high end is open: it covers more
		}
		if share < least || share > most || median < 0.9 || median > 1.1 {
			t.Errorf("given up on after %v: covers %.2f, median %.2f of the truth", limit, share, median)
		}
	}
	if share, _ := coverage(t, time.Hour, func(e *Estimate) { e.Low, e.High = e.Low*2, e.High*2 }); share > NominalCoverage-0.06 {
		t.Errorf("spoilt on purpose, it covers %.2f", share)
	}
}

// TestCensoredSamples: lookups that are given up on make a copy slower, not quicker.
func TestCensoredSamples(t *testing.T) {
	s, rng := NewSketch(), rand.New(rand.NewSource(1))
	for i := range 200 {
		if i%5 < 3 {
			s.Add(100*time.Millisecond, true)
		} else {
			s.Add(draw(rng, 10*time.Millisecond), false)
		}
	}
	if e := s.Estimate(); e.Known() || e.Censored != 120 {
		t.Errorf("of a copy that stalls three times in five: %+v", e)
	}
	few := NewSketch()
	few.Add(time.Millisecond, false)
	if e := few.Estimate(); e.Known() {
		t.Errorf("of one sample: %+v", e)
	}
}

func lookup(c *Collector, leaf, class string, took time.Duration, cut bool, now time.Time) Sample {
	s := Sample{Key: Key{Service: "s", Endpoint: leaf, Class: class}, Duration: took, Censored: cut}
	c.Add(s, now)
	return s
}

// TestCollector: a slow lookup shows what each other copy would have taken, apart by class
// and by load; the estimate follows speeds that shift; the real time is put beside it.
func TestCollector(t *testing.T) {
	now := time.Unix(1000, 0)
	c, rng := NewCollector(now), rand.New(rand.NewSource(2))
	feed := func(b time.Duration) {
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			lookup(c, "a", ClassUrgent, draw(rng, 10*time.Millisecond), false, now)
			lookup(c, "b", ClassUrgent, draw(rng, b), false, now)
			lookup(c, "b", ClassArchive, draw(rng, 500*time.Millisecond), false, now)
			busy := Sample{Key: Key{"s", "b", ClassUrgent, Busy}, Duration: draw(rng, 80*time.Millisecond)}
			c.Add(busy, now)
		}
	}
	near := func(what string, e Estimate, want time.Duration) {
		t.Helper()
		if !e.Known() || e.Median < want*8/10 || e.Median > want*12/10 {
			t.Errorf("%s: %+v, the truth is %v", what, e, want)
		}
	}
	feed(20 * time.Millisecond)
	slow := lookup(c, "a", ClassUrgent, 900*time.Millisecond, true, now)
	v := c.Snapshot("s", ClassUrgent)
	last := v.SlowLookups[len(v.SlowLookups)-1]
	if last.Key != slow.Key || !last.Censored || len(last.Replicas) != 1 {
		t.Fatalf("the slow lookup: %+v", last)
	}
	near("the other copy", last.Replicas[0].Estimate, 20*time.Millisecond)
	c.AddPair(AnswerPair{First: slow, Second: Sample{Key: Key{Service: "s", Endpoint: "b", Class: ClassUrgent}, Duration: 21 * time.Millisecond},
		FirstPart: []byte("0123456789abcdef"), SecondPart: nil})
	v = c.Snapshot("", "")
	last = v.SlowLookups[len(v.SlowLookups)-1]
	if o := last.Replicas[0]; o.Actual != 21*time.Millisecond || o.Difference != "empty" || v.Counters.Differences["b empty"] != 1 || v.Counters.Compared != 1 || v.Counters.Covered != 1 {
		t.Errorf("the real time beside it: %+v, %+v", o, v.Counters)
	}
	now = now.Add(3 * generationLength)
	feed(60 * time.Millisecond)
	lookup(c, "a", ClassUrgent, time.Second, true, now)
	v = c.Snapshot("s", ClassUrgent)
	near("after its speed shifted", v.SlowLookups[len(v.SlowLookups)-1].Replicas[0].Estimate, 60*time.Millisecond)
	// Fleet-wide: what two nodes know goes through the wire and is one.
	raw, err := rpc.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var back Snapshot
	if err := rpc.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	for _, k := range MergeSnapshots(v, back).Sketches {
		if k.Key == (Key{"s", "b", ClassUrgent, Idle}) {
			if e := k.Sketch.Estimate(); e.Samples != 200 {
				t.Errorf("merged: %+v", e)
			}
			near("merged", k.Sketch.Estimate(), 60*time.Millisecond)
		}
	}
	var bad Sketch
	if err := rpc.Unmarshal([]byte{0x41, 0x00}, &bad); err == nil {
		t.Error("bytes that are no sketch are read")
	}
}

// TestBounds: nothing that is handed in waits, and nothing grows without end.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector(now)
	for i := range samplesPerInterval + 7 {
		c.Submit(Sample{Key: Key{Service: "s", Endpoint: fmt.Sprint(i), Class: ClassBulk}, Duration: time.Millisecond})
	}
	if got := c.Snapshot("", "").Counters.Dropped; got != 7 {
		t.Errorf("%d were dropped", got)
	}
	for range 2 * maxQueuedSamples {
		c.SubmitPair(AnswerPair{First: Sample{Key: Key{Endpoint: "a"}}, Second: Sample{Key: Key{Endpoint: "b"}}})
	}
	if got := c.Snapshot("", "").Counters.Dropped; got != uint64(7+maxQueuedSamples+samplesPerInterval) {
		t.Errorf("%d were dropped, with the pairs", got)
	}
	for i := range 3 * maxKeys {
		c.Add(Sample{Key: Key{Service: "s", Endpoint: fmt.Sprint(i), Class: ClassBulk}, Duration: time.Millisecond, Censored: true}, now)
	}
	if len(c.current) > maxKeys || len(c.slowLookups) > maxSlowLookups {
		t.Errorf("%d sketches, %d slow lookups", len(c.current), len(c.slowLookups))
	}
}

// TestCompareParts: each way in which a copy's part may be wrong is told apart, and parts in
// another order are the same.
func TestCompareParts(t *testing.T) {
	rec := func(ids ...int) []byte {
		var b bytes.Buffer
		for _, id := range ids {
			fmt.Fprintf(&b, "%016d", id)
		}
		return b.Bytes()
	}
	for _, c := range []struct {
		a, b       []byte
		ofA, ofB   Difference
		understood string
	}{
		{rec(1, 2, 3), rec(3, 1, 2), Same, Same, "another order"},
		{rec(1, 1, 2), rec(2, 1, 1), Same, Same, "a record that both have twice"},
		{append(rec(1), 'x'), rec(1), Same, Same, "a remainder is no record"},
		{rec(1, 2, 3), rec(1, 3), Same, Stale, "the second lacks a record"},
		{rec(1), rec(1, 9), Stale, Same, "the first lacks a record"},
		{rec(1, 2), rec(1, 2, 2), Same, Duplicated, "a record twice"},
		{rec(1, 2), nil, Same, Empty, "nothing"},
		{nil, nil, Same, Same, "nothing in both"},
		{rec(1, 2), rec(1, 3), Conflicting, Conflicting, "each has what the other lacks"},
	} {
		if ofA, ofB := CompareParts(c.a, c.b); ofA != c.ofA || ofB != c.ofB {
			t.Errorf("%s: %v, %v", c.understood, ofA, ofB)
		}
	}
}
