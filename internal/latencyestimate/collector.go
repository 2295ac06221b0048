package latencyestimate

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of a Collector. No caller waits: samples beyond the bounds are dropped and counted.
const (
	maxQueuedSamples = 512
	// maxSamplesPerSecond bounds the collector's use of the processor.
	maxSamplesPerSecond = 1000
	workInterval        = 20 * time.Millisecond
	samplesPerInterval  = maxSamplesPerSecond / int(time.Second/workInterval)
	// thresholdLifetime is the number of samples for which the threshold of a key is used.
	thresholdLifetime = 64
	maxKeys           = 1024 // sketches of one generation
	maxSlowLookups    = 256
	// generationLength is how long samples are added to a generation of sketches. The
	// generation is dropped when the next one ends.
	generationLength = time.Minute
	// slowFactor is the number of medians of a replica above which a lookup is slow.
	slowFactor   = 3
	maxPartBytes = 256 << 10
)

// Collector collects the samples of requests without delaying them. Run processes them. It is
// safe for concurrent use.
type Collector struct {
	queue          chan AnswerPair
	dropped        atomic.Uint64
	intervalBudget atomic.Int32 // samples that may still be queued in this interval

	mu                sync.Mutex      // guards the fields below
	current, previous map[Key]*Sketch // by generation
	rotatedAt         time.Time       // when the current generation began
	thresholds        map[Key]*slowThreshold
	slowLookups       []SlowLookup // oldest first
	counters          Counters     // Dropped is counted in dropped
}

// slowThreshold is the duration above which a lookup of a key is slow.
type slowThreshold struct {
	duration    time.Duration // 0: not known
	samplesLeft int           // until the next update
}

// NewCollector returns a collector without samples.
func NewCollector(now time.Time) *Collector {
	c := &Collector{
		queue:      make(chan AnswerPair, maxQueuedSamples),
		current:    map[Key]*Sketch{},
		previous:   map[Key]*Sketch{},
		rotatedAt:  now,
		thresholds: map[Key]*slowThreshold{},
		counters:   Counters{Differences: map[string]uint64{}},
	}
	c.intervalBudget.Store(int32(samplesPerInterval))
	return c
}

// Submit queues a sample for Run. It drops samples beyond the interval's budget.
func (c *Collector) Submit(s Sample) {
	if c.intervalBudget.Add(-1) < 0 {
		c.dropped.Add(1)
		return
	}
	c.enqueue(AnswerPair{First: s})
}

// SubmitPair queues two answers to one lookup, whose samples were submitted before. Answers
// that are too large are not compared.
func (c *Collector) SubmitPair(p AnswerPair) {
	if len(p.FirstBody) <= maxPartBytes && len(p.SecondBody) <= maxPartBytes {
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

// Run processes queued samples until done is closed, maxSamplesPerSecond at most.
func (c *Collector) Run(done <-chan struct{}) {
	ticker := time.NewTicker(workInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.intervalBudget.Store(int32(samplesPerInterval))
			c.processQueue(now, samplesPerInterval)
		case <-done:
			return
		}
	}
}

// processQueue processes up to limit queued samples and pairs.
func (c *Collector) processQueue(now time.Time, limit int) {
	for range limit {
		select {
		case pair := <-c.queue:
			if pair.hasSecond() {
				c.AddPair(pair)
			} else {
				c.Add(pair.First, now)
			}
		default:
			return
		}
	}
}

// Add processes a sample at once.
func (c *Collector) Add(s Sample, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotateLocked(now)
	if c.isSlowLocked(s) {
		c.recordSlowLocked(s, now)
	}
	sketch := c.current[s.Key]
	if sketch == nil {
		if len(c.current) >= maxKeys {
			c.dropped.Add(1)
			return
		}
		sketch = NewSketch()
		c.current[s.Key] = sketch
	}
	sketch.Add(s.Duration, s.Censored)
}

// AddPair compares two answers to one lookup at once: the second one's duration with its
// estimate, and the answers with each other.
func (c *Collector) AddPair(p AnswerPair) {
	ofFirst, ofSecond := CompareAnswers(p.FirstBody, p.SecondBody)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkEstimateLocked(p.Second)
	c.countDifferenceLocked(p.First.Key.Endpoint, ofFirst)
	c.countDifferenceLocked(p.Second.Key.Endpoint, ofSecond)
	c.completeSlowLocked(p, ofSecond)
}

// rotateLocked begins a new generation when the current one is over.
func (c *Collector) rotateLocked(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if age < generationLength {
		return
	}
	c.previous = c.current
	if age >= 2*generationLength {
		c.previous = map[Key]*Sketch{}
	}
	c.current = map[Key]*Sketch{}
	c.rotatedAt = now
	clear(c.thresholds)
}

// generationsLocked returns the sketches of both generations, the current one first.
func (c *Collector) generationsLocked() []map[Key]*Sketch {
	return []map[Key]*Sketch{c.current, c.previous}
}

// isSlowLocked reports whether a lookup was slow for its replica, or abandoned.
func (c *Collector) isSlowLocked(s Sample) bool {
	threshold := c.thresholds[s.Key]
	if threshold == nil {
		threshold = &slowThreshold{}
		if len(c.thresholds) < maxKeys {
			c.thresholds[s.Key] = threshold
		}
	}
	threshold.samplesLeft--
	if threshold.samplesLeft < 0 {
		c.updateThresholdLocked(threshold, s.Key)
	}
	return s.Censored || threshold.duration > 0 && s.Duration > threshold.duration
}

func (c *Collector) updateThresholdLocked(threshold *slowThreshold, key Key) {
	estimate := c.estimateLocked(key)
	if !estimate.Known() {
		*threshold = slowThreshold{samplesLeft: minSamples}
		return
	}
	*threshold = slowThreshold{duration: slowFactor * estimate.Median, samplesLeft: thresholdLifetime}
}

// estimateLocked returns the estimate of a key out of both generations.
func (c *Collector) estimateLocked(key Key) Estimate {
	current, previous := c.current[key], c.previous[key]
	switch {
	case current == nil && previous == nil:
		return Estimate{UnknownReason: "never asked"}
	case current == nil:
		return previous.Estimate()
	case previous == nil:
		return current.Estimate()
	}
	both := NewSketch()
	both.Merge(current)
	both.Merge(previous)
	return both.Estimate()
}

// recordSlowLocked records a slow lookup with the current estimates for the other replicas.
func (c *Collector) recordSlowLocked(s Sample, now time.Time) {
	lookup := SlowLookup{
		At:       now,
		Key:      s.Key,
		Duration: s.Duration,
		Censored: s.Censored,
		Replicas: []ReplicaEstimate{},
	}
	seen := map[string]bool{s.Key.Endpoint: true}
	for _, generation := range c.generationsLocked() {
		for key := range generation {
			sameLookups := key.Service == s.Key.Service && key.Class == s.Key.Class && key.Load == s.Key.Load
			if !sameLookups || seen[key.Endpoint] {
				continue
			}
			seen[key.Endpoint] = true
			lookup.Replicas = append(lookup.Replicas, ReplicaEstimate{
				Endpoint: key.Endpoint,
				Estimate: c.estimateLocked(key),
			})
		}
	}
	c.slowLookups = append(c.slowLookups, lookup)
	if excess := len(c.slowLookups) - maxSlowLookups; excess > 0 {
		c.slowLookups = slices.Clone(c.slowLookups[excess:])
	}
}

// checkEstimateLocked counts whether an actual duration lies in the interval of its
// estimate. A censored sample has none.
func (c *Collector) checkEstimateLocked(s Sample) {
	if s.Censored {
		return
	}
	estimate := c.estimateLocked(s.Key)
	if !estimate.Known() {
		return
	}
	c.counters.Compared++
	if estimate.Covers(s.Duration) {
		c.counters.Covered++
	}
}

func (c *Collector) countDifferenceLocked(endpoint string, d Difference) {
	if d != Same && len(c.counters.Differences) < maxKeys {
		c.counters.Differences[endpoint+" "+d.String()]++
	}
}

// completeSlowLocked adds the second answer to the record of the slow lookup, if there is one.
func (c *Collector) completeSlowLocked(p AnswerPair, ofSecond Difference) {
	for i := len(c.slowLookups) - 1; i >= 0; i-- {
		lookup := &c.slowLookups[i]
		if lookup.Key != p.First.Key || lookup.Duration != p.First.Duration {
			continue
		}
		for j := range lookup.Replicas {
			if r := &lookup.Replicas[j]; r.Endpoint == p.Second.Key.Endpoint {
				r.Actual = p.Second.Duration
				r.Difference = ofSecond.String()
			}
		}
		return
	}
}
