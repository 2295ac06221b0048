package announce

import (
	"sync"
	"time"

	"comethold/internal/ration"
	"comethold/internal/trunk"
)

// turns lets the reads of origins begin one by one: when the node's ration and
// a leaf have room, the read that most requests wait for goes first. A read
// that can't have its turn in time is refused at once, with when to come back.
type turns struct {
	ration *ration.Ration
	seize  func(service string, tried []*trunk.Trunk, once bool) *trunk.Trunk
	undo   func(*trunk.Trunk)

	mu      sync.Mutex
	waiting map[string][]*ticket
}

type ticket struct {
	service string
	rate    float64
	demand  func() int // requests that wait for the read
	tried   []*trunk.Trunk
	since   time.Time
	until   time.Time
	turn    chan turn
	errand  bool // the call is a switch's, which finds the leaf itself
}

type turn struct {
	t    *trunk.Trunk
	back time.Duration // with no trunk: when to come back
}

const (
	turnsEvery = 4 * time.Millisecond
	queueLeast = 16
	backLeast  = 100 * time.Millisecond
	backMost   = 1500 * time.Millisecond
)

func newTurns(r *ration.Ration, seize func(string, []*trunk.Trunk, bool) *trunk.Trunk, undo func(*trunk.Trunk)) *turns {
	return &turns{ration: r, seize: seize, undo: undo, waiting: map[string][]*ticket{}}
}

// wait returns a reserved leaf when the ticket's turn comes.
func (q *turns) wait(k *ticket) (*trunk.Trunk, time.Duration) {
	k.since, k.turn = time.Now(), make(chan turn, 1)
	q.mu.Lock()
	q.waiting[k.service] = append(q.waiting[k.service], k)
	q.serve(k.service, k.since)
	if len(q.waiting[k.service]) == 1 {
		go q.run(k.service)
	}
	q.mu.Unlock()
	r := <-k.turn
	return r.t, r.back
}

// run serves a service's queue until it is empty.
func (q *turns) run(service string) {
	for {
		time.Sleep(turnsEvery)
		q.mu.Lock()
		q.serve(service, time.Now())
		if len(q.waiting[service]) == 0 {
			delete(q.waiting, service)
			q.mu.Unlock()
			return
		}
		q.mu.Unlock()
	}
}

// before says which of two tickets goes first: more demand, then the younger,
// whose clients still have the most time.
func before(a, b *ticket) bool {
	if x, y := a.demand(), b.demand(); x != y {
		return x > y
	}
	return a.since.After(b.since)
}

// reserve takes a leaf for a ticket; an errand needs none.
func (q *turns) reserve(k *ticket) *trunk.Trunk {
	if k.errand {
		return &trunk.Trunk{}
	}
	t := q.seize(k.service, k.tried, false)
	if t == nil && len(k.tried) > 0 {
		t = q.seize(k.service, nil, false)
	}
	return t
}

// serve gives out all turns that there are now, and refuses what has no hope.
func (q *turns) serve(service string, now time.Time) {
	list := q.waiting[service]
	for len(list) > 0 {
		best := 0
		for i := range list {
			if before(list[i], list[best]) {
				best = i
			}
		}
		k := list[best]
		t := q.reserve(k)
		if t == nil {
			break
		}
		if ok, _ := q.ration.Take(service, k.rate, now); !ok {
			if !k.errand {
				q.undo(t)
			}
			break
		}
		list = append(list[:best:best], list[best+1:]...)
		k.turn <- turn{t: t}
	}
	kept := list[:0:0]
	for _, k := range list {
		if now.After(k.until) {
			k.turn <- turn{back: q.back(k, len(list), now)}
		} else {
			kept = append(kept, k)
		}
	}
	list = kept
	// More than can begin within the patience of the newest: the last in line
	// are told now rather than then.
	for len(list) > 0 {
		k := list[len(list)-1]
		room := queueLeast
		if k.rate > 0 {
			room = max(room, int(q.ration.PerSecond(k.rate, now)*k.until.Sub(k.since).Seconds()))
		}
		if len(list) <= room {
			break
		}
		last := 0
		for i := range list {
			if before(list[last], list[i]) {
				last = i
			}
		}
		list[last].turn <- turn{back: q.back(list[last], len(list), now)}
		list = append(list[:last:last], list[last+1:]...)
	}
	q.waiting[service] = list
}

func (q *turns) back(k *ticket, queued int, now time.Time) time.Duration {
	per := q.ration.PerSecond(k.rate, now)
	if k.rate <= 0 || per <= 0 {
		return 3 * backLeast
	}
	return min(backMost, max(backLeast, time.Duration(float64(queued)/per*float64(time.Second))))
}
