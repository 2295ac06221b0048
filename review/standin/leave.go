package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The case leave: half of the clients close their connection before the answer. The leafs drop
// a request once its connection closes.
const (
	leaveAfterLeast  = 40 * time.Millisecond
	leaveAfterSpread = 60 * time.Millisecond
	leaveSpan        = 85 * time.Second
	goneAfter        = 500 * time.Millisecond
	goneShare        = 0.25
	goneLeast        = 10 // fewer requests that would have lasted so long show nothing
	fewArrivals      = 10
)

func init() { scenes["leave"] = playLeave }

func playLeave(s *stage) ([]string, error) {
	f, err := newFleet(s.record, 10, 3, 284)
	if err != nil {
		return nil, err
	}
	s.fleet = f
	var leafs []*leaf
	for i := range archiveLeafs {
		l := &leaf{
			service: "archive", id: fmt.Sprintf("i-%08x", rand.Uint32()), addr: f.leafAddr(i),
			zone: zones[i%len(zones)], slots: make(chan struct{}, 4), body: 6000, work: archiveWork,
		}
		if err := l.start(); err != nil {
			return nil, err
		}
		defer l.stop()
		leafs = append(leafs, l)
	}
	p, err := startPlatform(f, leafs)
	if err != nil {
		return nil, err
	}
	defer p.stop()
	if err := f.start(archiveConfiguration()); err != nil {
		return nil, err
	}
	go p.watch()
	t := &traffic{
		record: s.record, platform: p, port: f.ports.frontend, method: "GET", host: "file10.example",
		path: "/gozi722/", deadline: 4 * time.Second, rate: 161,
	}
	if s.trouble {
		t.patience = func() time.Duration {
			if rand.IntN(2) == 0 {
				return 0
			}
			return leaveAfterLeast + rand.N(leaveAfterSpread)
		}
	}
	t.run(leaveSpan)
	time.Sleep(2 * time.Second)
	return gone(s, t, leafs), nil
}

// gone applies the rule to the requests whose clients left.
func gone(s *stage, t *traffic, leafs []*leaf) (breaks []string) {
	left := map[string]time.Time{}
	t.mu.Lock()
	for _, try := range t.tries {
		if !try.left.IsZero() {
			left[try.id] = try.left
		}
	}
	t.mu.Unlock()
	lasting, atWork, late := 0, 0, 0
	for _, l := range leafs {
		l.mu.Lock()
		for _, r := range l.runs {
			s.record.line("leaf: %s ran %s from %.3f to %.3f of planned %v, dropped: %t", l.id, r.id,
				r.arrived.Sub(s.record.start).Seconds(), r.ended.Sub(s.record.start).Seconds(), r.planned, r.dropped)
			at, hasLeft := left[r.id]
			if !hasLeft {
				continue
			}
			if r.arrived.After(at.Add(goneAfter)) {
				late++
			}
			if r.begun.Add(r.planned).After(at.Add(goneAfter)) && r.begun.Before(at.Add(goneAfter)) {
				lasting++
				if r.ended.After(at.Add(goneAfter)) {
					atWork++
				}
			}
		}
		l.mu.Unlock()
	}
	text := fmt.Sprintf("%d clients left; of %d requests that would have lasted half a second longer, leafs were still at work on %d; %d arrived later than that",
		len(left), lasting, atWork, late)
	s.record.line("%s", text)
	fmt.Println(text)
	if lasting >= goneLeast && float64(atWork) > goneShare*float64(lasting) {
		breaks = append(breaks, "leafs were still at work on more than a quarter")
	}
	if late > fewArrivals {
		breaks = append(breaks, "more than a few requests arrived later than half a second after the client had left")
	}
	return breaks
}
