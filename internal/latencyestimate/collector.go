package latencyestimate

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Collector. Callers never wait: samples beyond the limits are dropped and counted.
const (
	maxQueuedSamples = 512
	// maxSamplesPerSecond bounds the collector's use of CPU time.
	maxSamplesPerSecond = 1000
	processingInterval  = 20 * time.Millisecond
	samplesPerInterval  = maxSamplesPerSecond / int(time.Second/processingInterval)
	// thresholdLifetime is the number of samples of a key after which its threshold for slow
	// lookups is updated.
	thresholdLifetime = 64
	maxKeys           = 1024 // limits sketches of one generation, thresholds and difference counters
	maxSlowLookups    = 256
	// generationLength is how long samples are added to a generation of sketches. The
	// generation is dropped when the next one ends.
	generationLength = time.Minute
	// slowFactor sets the threshold for slow lookups as a multiple of the replica's median.
	slowFactor = 3
	// maxBodyBytes is the maximum length of an answer that is compared with another one.
	maxBodyBytes = 256 << 10
)

// Collector collects the samples of requests without delaying them. Run processes them. A
// Collector is safe for concurrent use.
type Collector struct {
	queue          chan AnswerPair
	dropped        atomic.Uint64
	intervalBudget atomic.Int32 // samples that may still be queued in this interval

	mu                sync.Mutex      // guards the fields below
	current, previous map[Key]*Sketch // by generation
	rotatedAt         time.Time       // when the current generation began
	thresholds        map[Key]*slowThreshold
	slowLookups       []SlowLookup // oldest first
	counters          Counters     // except Dropped: see the field dropped
}

// slowThreshold is the duration above which a lookup of a key is slow.
type slowThreshold struct {
	duration    time.Duration // 0 if not known
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

// Submit queues a sample for Run. It drops the sample if the budget of the interval is used
// up or the queue is full.
func (c *Collector) Submit(s Sample) {
	if c.intervalBudget.Add(-1) < 0 {
		c.dropped.Add(1)
		return
	}
	c.enqueue(AnswerPair{First: s})
}

// SubmitPair queues two answers to one lookup for comparison. Their samples must have been
// submitted before. It ignores the pair if an answer is longer than maxBodyBytes, and drops
// it if the queue is full.
func (c *Collector) SubmitPair(p AnswerPair) {
	if len(p.FirstBody) <= maxBodyBytes && len(p.SecondBody) <= maxBodyBytes {
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

// Run processes queued samples and pairs until done is closed, at most maxSamplesPerSecond
// per second.
func (c *Collector) Run(done <-chan struct{}) {
	ticker := time.NewTicker(processingInterval)
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

// Add processes a sample immediately, without queueing it.
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

// AddPair processes a pair immediately, without queueing it. It compares the duration of the
// second answer with its estimate, and the answers with each other.
func (c *Collector) AddPair(p AnswerPair) {
	firstDifference, secondDifference := CompareAnswers(p.FirstBody, p.SecondBody)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkEstimateLocked(p.Second)
	c.countDifferenceLocked(p.First.Key.Endpoint, firstDifference)
	c.countDifferenceLocked(p.Second.Key.Endpoint, secondDifference)
	c.completeSlowLocked(p, secondDifference)
}

// rotateLocked starts a new generation if the current one has lasted generationLength.
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

// estimateLocked returns the estimate for a key from the samples of both generations.
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

// checkEstimateLocked counts whether the duration of a sample lies in the interval of its
// estimate. It ignores censored samples, whose actual duration is not known.
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
func (c *Collector) completeSlowLocked(p AnswerPair, secondDifference Difference) {
	for i := len(c.slowLookups) - 1; i >= 0; i-- {
		lookup := &c.slowLookups[i]
		if lookup.Key != p.First.Key || lookup.Duration != p.First.Duration {
			continue
		}
		for j := range lookup.Replicas {
			if r := &lookup.Replicas[j]; r.Endpoint == p.Second.Key.Endpoint {
				r.Actual = p.Second.Duration
				r.Difference = secondDifference.String()
			}
		}
		return
	}
}
