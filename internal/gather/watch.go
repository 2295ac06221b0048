package gather

import (
	"errors"
	"sync"
	"time"

	"comethold/internal/estimate"
	"comethold/internal/numbering"
	"comethold/internal/trunk"
)

// pairing joins the answers of two copies to one lookup.
type pairing struct {
	mu    sync.Mutex
	first *estimate.Sample
	part  []byte
	done  bool
}

// watches reports whether lookups of the line are followed.
func (a *Asker) watches(l *numbering.Line) bool { return a.Watch != nil && l.LookupClass != "" }

// watch hands on what a call took. It runs in the call's own goroutine, after its outcome
// was told, and never waits.
func (k *asking) watch(p *pairing, t *trunk.Trunk, busy bool, took time.Duration, a *trunk.Answer, err error) {
	late := errors.Is(err, trunk.ErrLate)
	if !late && (err != nil || !a.Good()) {
		return // it says nothing of how long a lookup takes
	}
	s := estimate.Sample{Key: estimate.Key{Service: t.Leaf().Service, Leaf: t.Leaf().ID, Class: k.line.LookupClass}, Took: took, Cut: late}
	if busy {
		s.Key.Load = estimate.Busy
	}
	k.Watch.Note(s)
	if late {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first == nil {
		p.first, p.part = &s, a.Body
	} else if !p.done && p.first.Key.Leaf != s.Key.Leaf {
		p.done = true
		// The slower one is the lookup, the other what a copy really took.
		pair := estimate.Pair{A: *p.first, B: s, PartA: p.part, PartB: a.Body}
		if s.Took > p.first.Took {
			pair = estimate.Pair{A: s, B: *p.first, PartA: a.Body, PartB: p.part}
		}
		k.Watch.NotePair(pair)
	}
}
