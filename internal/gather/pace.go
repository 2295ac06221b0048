package gather

import (
	"math"
	"sync"
	"time"
)

// pace learns how long the answers of a route take, in buckets whose bounds
// grow by a fifth; old answers fade.
type pace struct {
	mu    sync.Mutex
	count [80]float64
	total float64
	seen  int
	high  time.Duration
	mid   time.Duration
}

const (
	paceFirst = float64(500 * time.Microsecond)
	paceGrow  = 1.2
	paceFade  = 600
	paceLeast = 40
)

func (p *pace) add(d time.Duration) {
	i := 0
	if f := float64(d); f > paceFirst {
		i = min(len(p.count)-1, 1+int(math.Log(f/paceFirst)/math.Log(paceGrow)))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[i]++
	p.total++
	p.seen++
	if p.total > paceFade {
		p.total = 0
		for k := range p.count {
			p.count[k] /= 2
			p.total += p.count[k]
		}
	}
	if p.seen%16 == 0 {
		p.high, p.mid = p.quantile(hedgeFrom), p.quantile(0.5)
	}
}

func (p *pace) quantile(q float64) time.Duration {
	left := q * p.total
	for i, c := range p.count {
		if left -= c; left <= 0 {
			return time.Duration(paceFirst * math.Pow(paceGrow, float64(i)))
		}
	}
	return time.Duration(paceFirst * math.Pow(paceGrow, float64(len(p.count))))
}

// hedgeAfter is how long an answer may take before a second leaf is asked.
func (p *pace) hedgeAfter(target time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen < paceLeast || p.high == 0 {
		return max(target/2, 10*time.Millisecond)
	}
	return max(p.high, 5*time.Millisecond)
}
