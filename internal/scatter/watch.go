package scatter

import (
	"errors"
	"sync"
	"time"

	"comethold/internal/latencyestimate"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// replicaPair joins the answers of two copies to one lookup.
type replicaPair struct {
	mu        sync.Mutex
	first     *latencyestimate.Sample
	firstBody []byte
	done      bool
}

// samplesLatency reports whether lookups of the line are followed.
func (a *Dispatcher) samplesLatency(l *routing.CompiledRoute) bool {
	return a.Latencies != nil && l.LookupClass != ""
}

// recordSample hands on what a call took. It runs in the call's own goroutine, after its outcome
// was told, and never waits.
func (k *fanOut) recordSample(p *replicaPair, t *upstream.Endpoint, busy bool, took time.Duration, a *upstream.Response, err error) {
	late := errors.Is(err, upstream.ErrTimeout)
	if !late && (err != nil || !a.IsSuccess()) {
		return // it says nothing of how long a lookup takes
	}
	s := latencyestimate.Sample{Key: latencyestimate.Key{Service: t.Info().Service, Endpoint: t.Info().ID, Class: k.route.LookupClass}, Duration: took, Censored: late}
	if busy {
		s.Key.Load = latencyestimate.Busy
	}
	k.Latencies.Submit(s)
	if late {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first == nil {
		p.first, p.firstBody = &s, a.Body
	} else if !p.done && p.first.Key.Endpoint != s.Key.Endpoint {
		p.done = true
		// The slower one is the lookup, the other what a copy really took.
		pair := latencyestimate.AnswerPair{First: *p.first, Second: s, FirstPart: p.firstBody, SecondPart: a.Body}
		if s.Duration > p.first.Duration {
			pair = latencyestimate.AnswerPair{First: s, Second: *p.first, FirstPart: a.Body, SecondPart: p.firstBody}
		}
		k.Latencies.SubmitPair(pair)
	}
}
