package controlclient

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/heartbeat"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// Timing of the feed. Ours; see docs/design.md.
const (
	pollTimeout         = 1800 * time.Millisecond // a registrar answers within a second
	avoidDuration       = 3 * time.Second         // a registrar that failed or is stale
	retryPause          = 60 * time.Millisecond
	firstPollTimeout    = 800 * time.Millisecond
	firstStagger        = 60 * time.Millisecond
	firstPollPause      = 400 * time.Millisecond
	reportDelay         = 30 * time.Millisecond // trouble seldom comes to one leaf alone
	maxReports          = 64
	minSwitchInterval   = 600 * time.Millisecond
	failuresBeforePeers = 4 // failures in a row after which other switches are asked
)

// updateStream keeps the state current: one call at a time waits at a registrar,
// that of this zone if it is well.
type updateStream struct {
	settings *settings.Settings
	state    *appliedState
	log      *logging.Logger
	client   *rpc.Client
	self     distribution.Node

	mu             sync.Mutex
	seeds          []string
	controlNodes   []distribution.Node
	dataPlaneNodes []distribution.Node
	avoidUntil     map[string]time.Time
	reports        []distribution.HealthReport
	suspects       func() []string
	cancelPoll     context.CancelFunc
	polledHost     string // whom the call that waits is held open with
	switchedAt     time.Time
}

func newUpdateStream(set *settings.Settings, s *appliedState, log *logging.Logger, program settings.Program, call *rpc.Client) *updateStream {
	return &updateStream{settings: set, state: s, log: log, client: call, seeds: set.SeedHosts(),
		self:       distribution.Node{Name: set.NodeName, Addr: set.IPAddress, Zone: set.AvailabilityZone, ObjectCache: program == settings.ObjectCache},
		avoidUntil: map[string]time.Time{}, suspects: func() []string { return nil }}
}

// queueReport queues what was noticed of a leaf and sends it soon.
func (f *updateStream) queueReport(r distribution.HealthReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reports) < maxReports {
		f.reports = append(f.reports, r)
	}
	if len(f.reports) == 1 { // those to come go with it
		time.AfterFunc(reportDelay, f.flushReports)
	}
}

// flushReports ends the call that waits, so that the next one carries the reports.
func (f *updateStream) flushReports() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelPoll != nil && len(f.reports) > 0 {
		f.cancelPoll()
	}
}

func (f *updateStream) setNodes(all []distribution.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controlNodes, f.dataPlaneNodes = nil, nil
	for _, n := range all {
		if n.ControlPlane {
			f.controlNodes = append(f.controlNodes, n)
		} else if n.ServesClients() && n.Name != f.self.Name {
			f.dataPlaneNodes = append(f.dataPlaneNodes, n)
		}
	}
}

func (f *updateStream) setSeeds(hosts []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = hosts
}

// rankedHosts lists whom to ask, best first: this zone, this region, others;
// those to avoid come last. Of equals each node prefers another one, and keeps
// to it.
func (f *updateStream) rankedHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	type one struct {
		addr string
		rank int
		luck uint64
	}
	var all []one
	known := map[string]bool{}
	now := time.Now()
	add := func(addr string, rank int) {
		if known[addr] {
			return
		}
		known[addr] = true
		if until, ok := f.avoidUntil[addr]; ok && now.Before(until) {
			rank += 10
		}
		all = append(all, one{addr, rank, heartbeat.Hash(f.self.Name, addr)})
	}
	for _, n := range f.controlNodes {
		switch {
		case n.Down:
			add(n.Addr, 5)
		case n.Zone == f.self.Zone:
			add(n.Addr, 0)
		case f.settings.RegionOf(n.Zone) == f.settings.RegionName:
			add(n.Addr, 1)
		default:
			add(n.Addr, 2)
		}
	}
	for _, a := range f.seeds {
		if a == f.self.Addr {
			add(a, 0)
		} else {
			add(a, 3)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].rank != all[j].rank {
			return all[i].rank < all[j].rank
		}
		return all[i].luck < all[j].luck
	})
	out := make([]string, len(all))
	for i, o := range all {
		out[i] = o.addr
	}
	return out
}

func (f *updateStream) avoid(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidUntil[addr] = time.Now().Add(avoidDuration)
}

// switchSource gives up the call that waits at a registrar: others know more than it
// has told, so the next one is asked. However many say so, that is done at most
// once in a while: where the core is cut, nobody else may know more either.
func (f *updateStream) switchSource() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); f.cancelPoll != nil && now.Sub(f.switchedAt) >= minSwitchInterval {
		f.switchedAt = now
		f.avoidUntil[f.polledHost] = now.Add(avoidDuration)
		f.cancelPoll()
		f.cancelPoll = nil
	}
}

// fetchFirstConfig gets a node that has just started its first configuration. It asks every
// registrar that it knows of, the near ones first, and each again as soon as it
// has answered without one: those that are silent hold nobody up.
func (f *updateStream) fetchFirstConfig(quit <-chan struct{}) {
	got := make(chan *distribution.Update)
	done := make(chan struct{})
	defer close(done)
	asked := map[string]bool{}
	ask := func(addr string, after time.Duration) {
		for {
			select {
			case <-time.After(after):
			case <-done:
				return
			}
			news, _, err := f.poll(addr, f.settings.PortOf(settings.ControlPlane), firstPollTimeout)
			after = firstPollPause // it has no configuration yet
			if err != nil {
				news, after = &distribution.Update{Stale: true}, retryPause // it may be about to start
			}
			select {
			case got <- news:
			case <-done:
				return
			}
			after = time.Duration((0.5 + rand.Float64()) * float64(after))
		}
	}
	peers := time.NewTicker(firstPollTimeout)
	defer peers.Stop()
	for f.state.routeTable.Load() == nil {
		n := 0
		for _, addr := range f.rankedHosts() {
			if !asked[addr] {
				asked[addr] = true
				go ask(addr, time.Duration(n)*firstStagger)
				n++
			}
		}
		select {
		case news := <-got:
			f.state.apply(news)
		case <-peers.C:
			f.pollPeers()
		case <-quit:
			return
		}
	}
}

// run asks for news until quit.
func (f *updateStream) run(quit <-chan struct{}) {
	f.fetchFirstConfig(quit)
	failures := 0
	last := ""
	for {
		select {
		case <-quit:
			return
		default:
		}
		addr := f.rankedHosts()[0]
		news, hurried, err := f.poll(addr, f.settings.PortOf(settings.ControlPlane), pollTimeout)
		switch {
		case err == nil:
			f.state.apply(news)
			if news.Stale {
				f.avoid(addr)
			}
			if failures > 0 || addr != last {
				f.log.Info(logging.ControlPlaneConnected).Str("registrar", addr).Bool("stale", news.Stale).Msg("fed by a registrar")
			}
			failures, last = 0, addr
			if news.Stale {
				f.backoff(quit)
			}
		case hurried:
		default:
			f.avoid(addr)
			if failures++; failures == 1 {
				f.log.Warn(logging.ControlPlaneLost).Str("registrar", addr).Err(err).Msg("a registrar does not feed")
			}
			if failures%failuresBeforePeers == 0 {
				f.pollPeers()
			}
			f.backoff(quit)
		}
	}
}

func (f *updateStream) backoff(quit <-chan struct{}) {
	select {
	case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(retryPause))):
	case <-quit:
	}
}

// poll makes one call; hurried says that it was ended to carry a report.
func (f *updateStream) poll(host string, port int, limit time.Duration) (*distribution.Update, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	call := distribution.UpdateRequest{Node: f.self, Held: f.state.heldVersions(), Suspects: f.suspects()}
	f.mu.Lock()
	call.Reports = f.reports
	f.reports = nil
	call.Immediate = len(call.Reports) > 0 || call.Held.ConfigVersion == 0
	hurried := false
	if !call.Immediate {
		f.cancelPoll, f.polledHost = func() { hurried = true; cancel() }, host
	}
	f.mu.Unlock()
	var news distribution.Update
	err := f.client.Call(ctx, net.JoinHostPort(host, strconv.Itoa(port)), "/feed", &call, &news)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelPoll = nil
	return &news, hurried, err
}

// pollPeers gets what other switches have when no registrar answers.
func (f *updateStream) pollPeers() {
	f.mu.Lock()
	var hosts []string
	for _, n := range f.dataPlaneNodes {
		if n.Zone == f.self.Zone {
			hosts = append(hosts, n.Addr)
		}
	}
	for _, a := range f.seeds {
		if a != f.self.Addr {
			hosts = append(hosts, a)
		}
	}
	f.mu.Unlock()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts[:min(len(hosts), 2)] {
		if news, _, err := f.poll(h, f.settings.PortOf(settings.DataPlane), 500*time.Millisecond); err == nil {
			f.state.apply(news)
			return
		}
	}
}
