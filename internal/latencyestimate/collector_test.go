package latencyestimate

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"comethold/internal/rpc"
)

// testLookups adds samples of the replicas a and b of one service to a collector.
type testLookups struct {
	collector *Collector
	rng       *rand.Rand
	now       time.Time
}

// add adds one lookup and returns its sample.
func (l *testLookups) add(endpoint, class string, duration time.Duration, censored bool) Sample {
	s := Sample{
		Key:      Key{Service: "s", Endpoint: endpoint, Class: class},
		Duration: duration,
		Censored: censored,
	}
	l.collector.Add(s, l.now)
	return s
}

// run adds a second of lookups; those of class urgent take about medianB on an idle b.
func (l *testLookups) run(medianB time.Duration) {
	for range 100 {
		l.now = l.now.Add(10 * time.Millisecond)
		l.add("a", ClassUrgent, randomDuration(l.rng, 10*time.Millisecond), false)
		l.add("b", ClassUrgent, randomDuration(l.rng, medianB), false)
		l.add("b", ClassArchive, randomDuration(l.rng, 500*time.Millisecond), false)
		busy := Sample{
			Key:      Key{Service: "s", Endpoint: "b", Class: ClassUrgent, Load: Busy},
			Duration: randomDuration(l.rng, 80*time.Millisecond),
		}
		l.collector.Add(busy, l.now)
	}
}

// requireNear fails unless the median is within a fifth of the truth.
func requireNear(t *testing.T, situation string, e Estimate, truth time.Duration) {
	t.Helper()
	if !e.Known() || e.Median < truth*8/10 || e.Median > truth*12/10 {
		t.Errorf("%s: %+v, the truth is %v", situation, e, truth)
	}
}

// lastSlow returns the newest slow lookup.
func lastSlow(s Snapshot) SlowLookup { return s.SlowLookups[len(s.SlowLookups)-1] }

// TestCollector: a slow lookup shows what the other replica would have taken, apart by class
// and by load; the actual duration is put beside the estimate; and the estimate follows
// durations that shift.
func TestCollector(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector(now)
	lookups := &testLookups{collector: c, rng: rand.New(rand.NewSource(2)), now: now}
	lookups.run(20 * time.Millisecond)
	slow := lookups.add("a", ClassUrgent, 900*time.Millisecond, true)
	last := lastSlow(c.Snapshot("s", ClassUrgent))
	if last.Key != slow.Key || !last.Censored || len(last.Replicas) != 1 {
		t.Fatalf("the slow lookup: %+v", last)
	}
	requireNear(t, "the other replica", last.Replicas[0].Estimate, 20*time.Millisecond)

	second := Sample{Key: Key{Service: "s", Endpoint: "b", Class: ClassUrgent}, Duration: 21 * time.Millisecond}
	c.AddPair(AnswerPair{First: slow, Second: second, FirstBody: []byte("0123456789abcdef"), SecondBody: nil})
	all := c.Snapshot("", "")
	if r := lastSlow(all).Replicas[0]; r.Actual != 21*time.Millisecond || r.Difference != "empty" {
		t.Errorf("the actual duration beside the estimate: %+v", r)
	}
	if n := all.Counters; n.Differences["b empty"] != 1 || n.Compared != 1 || n.Covered != 1 {
		t.Errorf("the counters: %+v", n)
	}

	lookups.now = lookups.now.Add(3 * generationLength)
	lookups.run(60 * time.Millisecond)
	lookups.add("a", ClassUrgent, time.Second, true)
	shifted := c.Snapshot("s", ClassUrgent)
	requireNear(t, "after its durations shifted", lastSlow(shifted).Replicas[0].Estimate, 60*time.Millisecond)
	requireMerged(t, shifted)
	requireInvalidSketch(t)
}

// requireMerged fails unless a snapshot that another node sends is merged sample by sample.
func requireMerged(t *testing.T, snapshot Snapshot) {
	t.Helper()
	raw, err := rpc.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	var received Snapshot
	if err := rpc.Unmarshal(raw, &received); err != nil {
		t.Fatal(err)
	}
	for _, keyed := range MergeSnapshots(snapshot, received).Sketches {
		if keyed.Key != (Key{Service: "s", Endpoint: "b", Class: ClassUrgent, Load: Idle}) {
			continue
		}
		e := keyed.Sketch.Estimate()
		if e.Samples != 200 {
			t.Errorf("merged: %+v, want 200 samples", e)
		}
		requireNear(t, "merged", e, 60*time.Millisecond)
	}
}

// TestCollectorBounds: nothing that is submitted waits, and nothing grows without end.
func TestCollectorBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector(now)
	key := func(i int) Key { return Key{Service: "s", Endpoint: fmt.Sprint(i), Class: ClassBulk} }
	for i := range samplesPerInterval + 7 {
		c.Submit(Sample{Key: key(i), Duration: time.Millisecond})
	}
	if got := c.Snapshot("", "").Counters.Dropped; got != 7 {
		t.Errorf("%d samples were dropped, want 7", got)
	}
	pair := AnswerPair{First: Sample{Key: Key{Endpoint: "a"}}, Second: Sample{Key: Key{Endpoint: "b"}}}
	for range 2 * maxQueuedSamples {
		c.SubmitPair(pair)
	}
	want := uint64(7 + maxQueuedSamples + samplesPerInterval)
	if got := c.Snapshot("", "").Counters.Dropped; got != want {
		t.Errorf("%d samples and pairs were dropped, want %d", got, want)
	}
	for i := range 3 * maxKeys {
		c.Add(Sample{Key: key(i), Duration: time.Millisecond, Censored: true}, now)
	}
	if len(c.current) > maxKeys || len(c.slowLookups) > maxSlowLookups {
		t.Errorf("%d sketches, %d slow lookups", len(c.current), len(c.slowLookups))
	}
}
