package scatter

import (
	"errors"
	"sync"

	"comethold/internal/latencyestimate"
	"comethold/internal/routing"
	"comethold/internal/upstream"
)

// replicaPair collects the responses of two different replicas to the same lookup.
type replicaPair struct {
	mu        sync.Mutex // guards the fields below
	first     *latencyestimate.Sample
	firstBody []byte
	done      bool // a pair was returned
}

// samplesLatency reports whether the latencies of lookups on the route are sampled.
func (d *Dispatcher) samplesLatency(route *routing.CompiledRoute) bool {
	return d.Latencies != nil && route.LookupClass != ""
}

// recordSample submits the latency of a call. It runs in the attempt's goroutine after the
// attempt was sent to the fan-out, and does not block.
func (f *fanOut) recordSample(ended *attempt, contended bool) {
	timedOut := errors.Is(ended.err, upstream.ErrTimeout)
	if !timedOut && (ended.err != nil || !ended.response.IsSuccess()) {
		return // the duration of a failed call is no measure of lookup latency
	}
	info := ended.endpoint.Info()
	sample := latencyestimate.Sample{
		Key:      latencyestimate.Key{Service: info.Service, Endpoint: info.ID, Class: f.route.LookupClass},
		Duration: ended.duration,
		Censored: timedOut,
	}
	if contended {
		sample.Key.Load = latencyestimate.Busy
	}
	f.Latencies.Submit(sample)
	if timedOut {
		return
	}
	if pair, ok := ended.shard.pair.add(sample, ended.response.Body); ok {
		f.Latencies.SubmitPair(pair)
	}
}

// add records the response of a replica. It returns the pair once, when a second replica
// has answered.
func (p *replicaPair) add(sample latencyestimate.Sample, body []byte) (pair latencyestimate.AnswerPair, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first == nil {
		p.first = &sample
		p.firstBody = body
		return pair, false
	}
	if p.done || p.first.Key.Endpoint == sample.Key.Endpoint {
		return pair, false
	}
	p.done = true
	// First is the slower response, so that a slow lookup can be compared with a faster replica.
	if sample.Duration > p.first.Duration {
		return latencyestimate.AnswerPair{
			First: sample, Second: *p.first, FirstBody: body, SecondBody: p.firstBody,
		}, true
	}
	return latencyestimate.AnswerPair{
		First: *p.first, Second: sample, FirstBody: p.firstBody, SecondBody: body,
	}, true
}
