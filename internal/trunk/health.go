package trunk

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
)

// bad is the share of bad answers of a leaf, as far as it still counts.
func (t *Trunk) bad(now time.Time) float64 {
	if t.errs == 0 {
		return 0
	}
	return t.errs * math.Exp(-float64(now.Sub(t.errAt))/float64(errFade))
}

// noteErr counts an answer as bad or not.
func (t *Trunk) noteErr(now time.Time, bad float64) {
	old := t.bad(now)
	t.errs, t.errAt = old+errWeight*(bad-old), now
}

// learn takes in how a call went.
func (f *Frame) learn(t *Trunk, a *Answer, err error, start time.Time, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.active--
	now := time.Now()
	switch {
	case err == nil && a.Status/100 == 2:
		s := took.Seconds()
		if t.samples == 0 {
			t.latency = s
		} else {
			t.latency += ewmaWeight * (s - t.latency)
		}
		t.samples++
		g := t.group
		g.full -= fullWeight * g.full
		g.admit = min(admitMost, g.admit+admitUp)
		if g.mean == 0 {
			g.mean = s
		} else {
			g.mean += 0.02 * (s - g.mean)
		}
		t.failures, t.lastGood = 0, now
		t.noteErr(now, 0)
		if t.health != Clear {
			f.clear(t, now)
		}
	case err == nil && a.Status == 421:
		f.bar(t, now, "another leaf has its address")
	case err == nil && a.NotRun():
		t.group.full += fullWeight * (1 - t.group.full)
		t.group.admit = max(admitLeast, t.group.admit-admitDown)
		t.fullAt = now
		if t.health == OnTrial {
			f.bar(t, now, "refused on trial")
		}
	case err == nil && a.Status < 500:
		t.lastGood = now
		if t.health != Clear {
			f.clear(t, now)
		}
	case err == nil: // it answers, but badly
		t.lastGood = now
		t.noteErr(now, 1)
		if t.health == OnTrial || t.bad(now) > errBar && f.spared(t.group) {
			f.bar(t, now, "it answers badly")
		}
	default:
		t.failures++
		t.noteErr(now, 1)
		if t.health == OnTrial || t.failures >= failuresBar || errors.Is(err, ErrNotSent) || (errors.Is(err, ErrLate) && t.lastGood.Before(start)) {
			f.bar(t, now, err.Error())
		}
	}
}

// spared reports whether enough leafs of a group are well for one more to be
// barred for its answers: if most answer badly, that is how the service is.
func (f *Frame) spared(g *Group) bool {
	clear := 0
	for _, t := range g.trunks {
		if t.health == Clear && !t.marked && !t.leaf.Load().Draining {
			clear++
		}
	}
	return 2*(clear-1) >= len(g.trunks)
}

// Overdue is told that a call has waited longer than usual since it began. A
// leaf from which nothing came in all that time is taken for silent.
func (f *Frame) Overdue(t *Trunk, since time.Time, usual time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if t.lastGood.Before(since) && now.Sub(since) >= 3*usual && t.health != Barred {
		f.bar(t, now, "silent")
	}
}

// bar takes a trunk out of service for a while that grows.
func (f *Frame) bar(t *Trunk, now time.Time, why string) {
	if t.health == Barred || t.removed {
		return
	}
	t.health, t.group.graded = Barred, nil
	t.barSpan = min(max(firstBar, 2*t.barSpan), longestBar)
	f.hangUp(t)
	f.log.Info(event.LeafMarked).Str("leaf", t.leaf.Load().ID).Str("service", t.leaf.Load().Service).Str("why", why).Msg("leaf barred on this node")
	f.Report(feed.Report{Leaf: t.leaf.Load().ID, Service: t.leaf.Load().Service})
	f.probeLater(t, t.barSpan)
}

// clear puts a trunk back in service; traffic comes back gradually.
func (f *Frame) clear(t *Trunk, now time.Time) {
	if t.health == Clear && !t.marked {
		return
	}
	t.health, t.failures, t.clearAt, t.group.graded = Clear, 0, now, nil
	t.latency, t.samples, t.errs = 0, 0, 0
	f.log.Info(event.LeafCleared).Str("leaf", t.leaf.Load().ID).Str("service", t.leaf.Load().Service).Msg("leaf clear on this node")
	f.Report(feed.Report{Leaf: t.leaf.Load().ID, Service: t.leaf.Load().Service, Well: true})
}

// try lets a barred trunk take single calls until one of them goes well or not.
func (f *Frame) try(t *Trunk, now time.Time) {
	t.health, t.group.graded, t.tryAt = OnTrial, nil, now
	t.latency, t.samples, t.errs = 0, 0, 0
}

// probeLater asks a barred leaf after a while whether it answers.
func (f *Frame) probeLater(t *Trunk, after time.Duration) {
	if t.probing {
		return
	}
	t.probing = true
	time.AfterFunc(time.Duration((0.8+0.4*rand.Float64())*float64(after)), func() { f.probe(t) })
}

func (f *Frame) probe(t *Trunk) {
	f.mu.Lock()
	path, host := t.group.health, t.leaf.Load().Addr
	gone := t.removed || t.health != Barred
	t.probing = !gone
	leaving := t.leaf.Load().Draining
	f.mu.Unlock()
	if gone {
		return
	}
	// What it says of itself is not believed, either way: a leaf that answers at
	// all is tried with a request that may be repeated.
	answers := path == ""
	if path != "" && !leaving {
		r := &Request{Method: "GET", Target: path, Host: host, Deadline: time.Now().Add(probeLimit)}
		ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
		l, err := f.line(ctx, t, r.Once)
		cancel()
		if err == nil {
			a, _, err := l.call(r, "")
			answers = err == nil && a.Header.Get(HeaderInstance) == t.leaf.Load().ID
			f.drop(t, l)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t.probing = false
	if t.removed || t.health != Barred {
		return
	}
	if answers {
		f.try(t, time.Now())
		return
	}
	t.barSpan = min(2*t.barSpan, longestBar)
	f.probeLater(t, min(t.barSpan, time.Second))
}
