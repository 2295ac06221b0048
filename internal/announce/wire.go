package announce

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comethold/internal/feed"
	"comethold/internal/office"
	"comethold/internal/recorder"
	"comethold/internal/ring"
	"comethold/internal/settings"
	"comethold/internal/wire"
)

// order asks an announcer for an object.
type order struct {
	Host   string `cbor:"1,keyasint"`
	Target string `cbor:"2,keyasint"`
	Have   string `cbor:"3,keyasint,omitempty"` // the tag of the copy that the asker holds
	Pos    uint64 `cbor:"4,keyasint,omitempty"` // purges that the answer must know of
	Config uint64 `cbor:"5,keyasint,omitempty"` // configuration that the answer must know of
	WaitMs int64  `cbor:"6,keyasint"`
	Final  bool   `cbor:"7,keyasint,omitempty"` // read the origin rather than ask on
	Weight int    `cbor:"8,keyasint,omitempty"` // requests that wait for it
}

// reply brings an object, or says why there is none.
type reply struct {
	Same    bool        `cbor:"1,keyasint,omitempty"` // the asker's copy is current
	Service string      `cbor:"2,keyasint,omitempty"`
	ETag    string      `cbor:"3,keyasint,omitempty"`
	Labels  []string    `cbor:"4,keyasint,omitempty"`
	Header  http.Header `cbor:"5,keyasint,omitempty"`
	Body    []byte      `cbor:"6,keyasint,omitempty"`
	AgeUs   int64       `cbor:"7,keyasint,omitempty"`
	Pos     uint64      `cbor:"8,keyasint,omitempty"`
	Status  int         `cbor:"9,keyasint,omitempty"` // of a refusal
	Why     string      `cbor:"10,keyasint,omitempty"`
	RetryMs int64       `cbor:"11,keyasint,omitempty"`
	// Apart: this announcer is out of touch; another one may serve.
	Apart bool `cbor:"12,keyasint,omitempty"`
}

var errApart = errors.New("announce: the announcer is out of touch")

// Timing of fetches. Ours; see docs/design.md.
const (
	dialLimit   = 400 * time.Millisecond
	silentLimit = 900 * time.Millisecond
	idleLines   = 16
	shunFor     = 1500 * time.Millisecond
	longestWait = 4 * time.Second
	askMargin   = 20 * time.Millisecond
	maxAsked    = 3
)

// caller asks announcers. Each object has its announcers in an order that all
// nodes agree on; the first that is well is asked.
type caller struct {
	office *office.Office
	client *wire.Client

	mu   sync.Mutex
	shun map[string]time.Time
}

func newCaller(o *office.Office) *caller {
	return &caller{office: o, client: wire.NewClientWith(o.Net, dialLimit, silentLimit, idleLines), shun: map[string]time.Time{}}
}

// ranked lists the announcers for a key by rendezvous hashing, those of the
// region in front if near, and those that just failed at the end.
func (c *caller) ranked(key string, near bool) []feed.Node {
	stores := append([]feed.Node(nil), c.office.Stores()...)
	now := time.Now()
	rank := make(map[string]int, len(stores))
	c.mu.Lock()
	for _, n := range stores {
		if now.Before(c.shun[n.Name]) {
			rank[n.Name] = 2
		} else if near && c.office.Set.Region(n.Zone) != c.office.Set.RegionName {
			rank[n.Name] = 1
		}
	}
	c.mu.Unlock()
	sort.Slice(stores, func(i, j int) bool {
		a, b := rank[stores[i].Name], rank[stores[j].Name]
		if a != b {
			return a < b
		}
		return ring.Place(stores[i].Name, key) > ring.Place(stores[j].Name, key)
	})
	return stores
}

func (c *caller) failed(n feed.Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shun[n.Name] = time.Now().Add(shunFor)
}

// ask gets an object from one announcer.
func (c *caller) ask(n feed.Node, w Want, old *recorder.Recording, pos uint64, final bool) (rec *recorder.Recording, no *Refusal, err error) {
	start := time.Now()
	wait := min(w.Deadline.Sub(start)-askMargin, longestWait)
	if wait <= 0 {
		return nil, refusal(http.StatusGatewayTimeout, "no time is left"), nil
	}
	o := order{Host: w.Host, Target: w.Target, Pos: pos, WaitMs: wait.Milliseconds(), Final: final}
	if w.demand != nil {
		o.Weight = w.demand()
	}
	if p := c.office.Plan(); p != nil {
		o.Config = p.Version
	}
	if old != nil {
		o.Have = old.ETag
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+askMargin)
	defer cancel()
	var r reply
	addr := net.JoinHostPort(n.Addr, strconv.Itoa(c.office.Set.PortOf(settings.Announcer)))
	if err := c.client.Call(ctx, addr, "/object", &o, &r); err != nil {
		return nil, nil, err
	}
	if r.Apart {
		return nil, nil, errApart
	}
	if r.Status != 0 {
		return nil, &Refusal{Status: r.Status, Why: r.Why, Header: r.Header, Body: r.Body, RetryAfter: time.Duration(r.RetryMs) * time.Millisecond}, nil
	}
	// All the time that the call took counts as age: the copy may have been
	// on its way that long.
	now := time.Now()
	read := start.Add(-time.Duration(r.AgeUs) * time.Microsecond)
	if read.After(now) {
		read = now
	}
	if r.Same {
		if old == nil {
			return nil, refusal(http.StatusBadGateway, "an announcer vouches for nothing"), nil
		}
		again := *old
		again.Read, again.Pos = read, r.Pos
		return &again, nil, nil
	}
	return &recorder.Recording{Host: w.Host, Target: w.Target, Service: r.Service, ETag: r.ETag, Labels: r.Labels,
		Header: r.Header, Body: r.Body, Read: read, Pos: r.Pos}, nil, nil
}

// Office is the switch's side of the content tier: a small hot cache in front
// of the announcers.
type Office struct {
	caller *caller
	desk   *Desk
	round  atomic.Int64
}

// NewOffice makes the switch's side with a cache of some bytes.
func NewOffice(o *office.Office, bytes int) *Office {
	s := &Office{caller: newCaller(o)}
	s.desk = NewDesk(recorder.New(bytes), o, o.Set.Bounds.StaleSlack(), 1, s.fetch)
	o.OnRecalls(s.desk.Recalled)
	return s
}

// Get returns an object for a client's request.
func (s *Office) Get(w Want) (*recorder.Recording, *Refusal) { return s.desk.Get(w) }

func (s *Office) fetch(w Want, old *recorder.Recording, pos uint64) (*recorder.Recording, *Refusal) {
	key := recorder.Key(w.Host, w.Target)
	for i, n := range s.caller.ranked(key, true) {
		if i == maxAsked || time.Until(w.Deadline) < askMargin {
			break
		}
		rec, no, err := s.caller.ask(n, w, old, pos, false)
		if err == nil {
			return rec, no
		}
		s.caller.failed(n)
	}
	return nil, &Refusal{Status: http.StatusServiceUnavailable, Why: "no announcer answers", RetryAfter: 300 * time.Millisecond}
}
