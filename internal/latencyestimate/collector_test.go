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

// add adds one lookup on an idle replica and returns its sample.
func (l *testLookups) add(endpoint, class string, duration time.Duration, censored bool) Sample {
	s := Sample{
		Key:      Key{Service: "s", Endpoint: endpoint, Class: class},
		Duration: duration,
		Censored: censored,
	}
	l.collector.Add(s, l.now)
	return s
}

// run adds the lookups of one second, 100 of each kind. Those of class urgent have the median
// duration medianB on the replica b while it is idle.
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

// requireMedianNear fails unless the estimated median is within 20 % of the true median.
func requireMedianNear(t *testing.T, situation string, e Estimate, trueMedian time.Duration) {
	t.Helper()
	if !e.Known() || e.Median < trueMedian*8/10 || e.Median > trueMedian*12/10 {
		t.Errorf("%s: the estimate is %+v, want a median within 20 %% of %v", situation, e, trueMedian)
	}
}

// lastSlow returns the most recent slow lookup.
func lastSlow(s Snapshot) SlowLookup { return s.SlowLookups[len(s.SlowLookups)-1] }

// TestCollector guards against estimates that mix the samples of several classes or loads, or
// that do not follow durations that change, and against second answers that are not recorded
// with the slow lookup.
func TestCollector(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector(now)
	lookups := &testLookups{collector: c, rng: rand.New(rand.NewSource(2)), now: now}
	lookups.run(20 * time.Millisecond)
	slow := lookups.add("a", ClassUrgent, 900*time.Millisecond, true)
	last := lastSlow(c.Snapshot("s", ClassUrgent))
	if last.Key != slow.Key || !last.Censored || len(last.Replicas) != 1 {
		t.Fatalf("the last slow lookup is %+v, want the censored lookup at a with an estimate for b", last)
	}
	requireMedianNear(t, "estimate for the other replica", last.Replicas[0].Estimate, 20*time.Millisecond)

	second := Sample{Key: Key{Service: "s", Endpoint: "b", Class: ClassUrgent}, Duration: 21 * time.Millisecond}
	c.AddPair(AnswerPair{First: slow, Second: second, FirstBody: []byte("0123456789abcdef"), SecondBody: nil})
	all := c.Snapshot("", "")
	if r := lastSlow(all).Replicas[0]; r.Actual != 21*time.Millisecond || r.Difference != "empty" {
		t.Errorf("after AddPair the replica is %+v, want an actual duration of 21ms and an empty answer", r)
	}
	if n := all.Counters; n.Differences["b empty"] != 1 || n.Compared != 1 || n.Covered != 1 {
		t.Errorf("the counters are %+v, want 1 for b empty, 1 compared and 1 covered", n)
	}

	lookups.now = lookups.now.Add(3 * generationLength)
	lookups.run(60 * time.Millisecond)
	lookups.add("a", ClassUrgent, time.Second, true)
	shifted := c.Snapshot("s", ClassUrgent)
	requireMedianNear(t, "estimate after longer durations", lastSlow(shifted).Replicas[0].Estimate, 60*time.Millisecond)
	requireMerged(t, shifted)
	requireInvalidSketch(t)
}

// requireMerged fails unless merging a snapshot with its encoded and decoded copy counts each
// sample of both.
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
			t.Errorf("the estimate of merged snapshots is %+v, want 200 samples", e)
		}
		requireMedianNear(t, "estimate of merged snapshots", e, 60*time.Millisecond)
	}
}

// TestCollectorLimits guards against a Submit that blocks and against unlimited memory use.
func TestCollectorLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCollector(now)
	key := func(i int) Key { return Key{Service: "s", Endpoint: fmt.Sprint(i), Class: ClassBulk} }
	for i := range samplesPerInterval + 7 {
		c.Submit(Sample{Key: key(i), Duration: time.Millisecond})
	}
	if got := c.Snapshot("", "").Counters.Dropped; got != 7 {
		t.Errorf("Submit beyond the budget dropped %d samples, want 7", got)
	}
	pair := AnswerPair{First: Sample{Key: Key{Endpoint: "a"}}, Second: Sample{Key: Key{Endpoint: "b"}}}
	for range 2 * maxQueuedSamples {
		c.SubmitPair(pair)
	}
	want := uint64(7 + maxQueuedSamples + samplesPerInterval)
	if got := c.Snapshot("", "").Counters.Dropped; got != want {
		t.Errorf("after SubmitPair beyond the queue %d samples and pairs are dropped, want %d", got, want)
	}
	for i := range 3 * maxKeys {
		c.Add(Sample{Key: key(i), Duration: time.Millisecond, Censored: true}, now)
	}
	if len(c.current) > maxKeys || len(c.slowLookups) > maxSlowLookups {
		t.Errorf("Add kept %d sketches and %d slow lookups, want at most maxKeys and maxSlowLookups",
			len(c.current), len(c.slowLookups))
	}
}
