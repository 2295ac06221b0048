package scatter

import (
	"math"
	"sync"
	"time"
)

// latencyHistogram learns how long the answers of a route take, in buckets whose bounds
// grow by a fifth; old answers fade.
type latencyHistogram struct {
	mu           sync.Mutex
	buckets      [80]float64
	total        float64
	samples      int
	hedgeLatency time.Duration
	mid          time.Duration
}

const (
	firstBucketBound    = float64(500 * time.Microsecond)
	bucketGrowth        = 1.2
	maxHistogramWeight  = 600
	minHistogramSamples = 40
)

func (p *latencyHistogram) record(d time.Duration) {
	i := 0
	if f := float64(d); f > firstBucketBound {
		i = min(len(p.buckets)-1, 1+int(math.Log(f/firstBucketBound)/math.Log(bucketGrowth)))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.buckets[i]++
	p.total++
	p.samples++
	if p.total > maxHistogramWeight {
		p.total = 0
		for k := range p.buckets {
			p.buckets[k] /= 2
			p.total += p.buckets[k]
		}
	}
	if p.samples%16 == 0 {
		p.hedgeLatency, p.mid = p.quantile(hedgeQuantile), p.quantile(0.5)
	}
}

func (p *latencyHistogram) quantile(q float64) time.Duration {
	left := q * p.total
	for i, c := range p.buckets {
		if left -= c; left <= 0 {
			return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(i)))
		}
	}
	return time.Duration(firstBucketBound * math.Pow(bucketGrowth, float64(len(p.buckets))))
}

// hedgeDelay is how long an answer may take before a second leaf is asked.
func (p *latencyHistogram) hedgeDelay(target time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.samples < minHistogramSamples || p.hedgeLatency == 0 {
		return max(target/2, 10*time.Millisecond)
	}
	return max(p.hedgeLatency, 5*time.Millisecond)
}
