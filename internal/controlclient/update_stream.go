package controlclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/rpc"
	"comethold/internal/settings"
)

// Timing of the update stream; see docs/design.md.
const (
	// pollTimeout bounds the wait until a response begins, and then each pause within the response.
	// The control plane responds to a long poll within one second.
	pollTimeout = 1800 * time.Millisecond
	// maxPollDuration bounds a whole poll, in case its response never ends.
	maxPollDuration = 30 * time.Second
	// retryPause is the mean pause after a poll that failed or returned stale state.
	retryPause = 60 * time.Millisecond

	// Until the first configuration is received, all control nodes are polled in parallel:
	// each response must begin within firstPollTimeout, the first polls of the nodes are
	// firstStagger apart, and a node that had no configuration is polled again after
	// firstPollPause.
	firstPollTimeout = 800 * time.Millisecond
	firstStagger     = 60 * time.Millisecond
	firstPollPause   = 400 * time.Millisecond

	// reportDelay is how long a health report is delayed to send others with it, because a
	// fault often affects several endpoints.
	reportDelay = 30 * time.Millisecond
	maxReports  = 64 // length of the queue; further reports are dropped

	// failuresBeforePeerPoll is the number of consecutive failed polls after which data plane
	// nodes are polled.
	failuresBeforePeerPoll = 4
	maxPeersPolled         = 2
	peerPollTimeout        = 500 * time.Millisecond
)

// errPollInterrupted is returned when this node cancelled a poll, so that the next poll can carry
// reports or go to another control node.
var errPollInterrupted = errors.New("controlclient: poll cancelled by this node")

// updateStream keeps the applied state up to date. It has one long poll at a time open at a control
// node, preferably a healthy one of this zone.
type updateStream struct {
	settings *settings.Settings
	state    *appliedState
	log      *logging.Logger
	client   *rpc.Client
	self     distribution.Node
	suspects func() []string // names of the nodes whose heartbeats are missing

	// The next three fields are used only by run.
	firstPolls sync.WaitGroup
	failures   int    // consecutive failed polls
	lastHost   string // of the last successful poll

	mu             sync.Mutex // guards the fields below
	seeds          []string
	controlNodes   []distribution.Node
	dataPlaneNodes []distribution.Node // without this node
	avoidUntil     map[string]time.Time
	reports        []distribution.HealthReport // for the next poll
	cancelPoll     func()                      // cancels the open long poll; nil if none may be cancelled
	polledHost     string                      // host of the open long poll
	switchedAt     time.Time                   // last switch by switchSource
}

func newUpdateStream(o Options, state *appliedState) *updateStream {
	set := o.Settings
	return &updateStream{
		settings: set,
		state:    state,
		log:      o.Log,
		client:   rpc.NewClient(o.Network),
		self: distribution.Node{
			Name:        set.NodeName,
			Addr:        set.IPAddress,
			Zone:        set.AvailabilityZone,
			ObjectCache: o.Program == settings.ObjectCache,
		},
		suspects:   func() []string { return nil },
		seeds:      set.SeedHosts(),
		avoidUntil: map[string]time.Time{},
	}
}

// run polls for updates and applies them until done is closed.
func (s *updateStream) run(done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer s.firstPolls.Wait()
	defer cancel() // cancels the first polls that are still in flight
	s.fetchFirstConfig(ctx, done)
	for {
		select {
		case <-done:
			return
		default:
		}
		host := s.rankedHosts()[0]
		update, err := s.poll(ctx, host, settings.ControlPlane, pollTimeout)
		switch {
		case err == nil:
			s.handleUpdate(host, update, done)
		case errors.Is(err, errPollInterrupted):
		default:
			s.handleFailure(ctx, host, err, done)
		}
	}
}

// handleUpdate applies an update received from a control node.
func (s *updateStream) handleUpdate(host string, update *distribution.Update, done <-chan struct{}) {
	s.state.apply(update)
	if update.Stale {
		s.avoid(host)
	}
	if s.failures > 0 || host != s.lastHost {
		s.log.Info(logging.ControlPlaneConnected).
			Str("controlNode", host).
			Bool("stale", update.Stale).
			Msg("receiving updates from a control node")
	}
	s.failures = 0
	s.lastHost = host
	if update.Stale {
		pause(retryPause, done)
	}
}

// handleFailure avoids a control node whose poll failed. After each failuresBeforePeerPoll
// consecutive failures, it polls other data plane nodes.
func (s *updateStream) handleFailure(ctx context.Context, host string, err error, done <-chan struct{}) {
	s.avoid(host)
	s.failures++
	if s.failures == 1 {
		s.log.Warn(logging.ControlPlaneLost).
			Str("controlNode", host).
			Err(err).
			Msg("poll of a control node failed; receiving no updates")
	}
	if s.failures%failuresBeforePeerPoll == 0 {
		s.pollPeers(ctx)
	}
	pause(retryPause, done)
}

// fetchFirstConfig gets the first configuration after a start. It polls all known control nodes in
// parallel, starting with the nearest, until one returns a configuration, so that a node that
// doesn't respond causes no delay. It cancels the polls that are in flight when it returns, because
// their responses would only use bandwidth.
func (s *updateStream) fetchFirstConfig(ctx context.Context, done <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	updates := make(chan *distribution.Update)
	fetched := make(chan struct{})
	defer close(fetched)
	polled := map[string]bool{}
	peerTicker := time.NewTicker(firstPollTimeout)
	defer peerTicker.Stop()
	for s.state.routeTable.Load() == nil {
		delay := time.Duration(0)
		for _, host := range s.rankedHosts() {
			if polled[host] {
				continue
			}
			polled[host] = true
			first := firstPoll{host: host, delay: delay, updates: updates, fetched: fetched}
			s.firstPolls.Go(func() { s.pollRepeatedly(ctx, first) })
			delay += firstStagger
		}
		select {
		case update := <-updates:
			s.state.apply(update)
		case <-peerTicker.C:
			s.pollPeers(ctx)
		case <-done:
			return
		}
	}
}

// firstPoll describes the repeated polls of one control node until the first configuration is
// received.
type firstPoll struct {
	host    string
	delay   time.Duration // before the first poll
	updates chan<- *distribution.Update
	fetched <-chan struct{} // closed when the configuration is received
}

// pollRepeatedly polls one control node and sends its updates to p.updates until p.fetched is
// closed. For a failed poll, it sends an empty update.
func (s *updateStream) pollRepeatedly(ctx context.Context, p firstPoll) {
	delay := p.delay
	for {
		select {
		case <-time.After(delay):
		case <-p.fetched:
			return
		}
		update, err := s.poll(ctx, p.host, settings.ControlPlane, firstPollTimeout)
		delay = jitter(firstPollPause) // the node has no configuration yet
		if err != nil {
			update = &distribution.Update{Stale: true}
			delay = jitter(retryPause) // the node may be starting
		}
		select {
		case p.updates <- update:
		case <-p.fetched:
			return
		}
	}
}

// poll requests an update from a program on a host. The request carries the queued health reports
// and the suspects. The response must begin within timeout. If this node cancels the poll, which is
// possible only until the response begins, poll returns errPollInterrupted.
func (s *updateStream) poll(
	ctx context.Context, host string, program settings.Program, timeout time.Duration,
) (*distribution.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := distribution.UpdateRequest{
		Node:     s.self,
		Held:     s.state.heldVersions(),
		Suspects: s.suspects(),
	}
	interrupted := false // guarded by mu
	s.mu.Lock()
	request.Reports = s.reports
	s.reports = nil
	request.Immediate = len(request.Reports) > 0 || request.Held.ConfigVersion == 0
	if !request.Immediate {
		s.polledHost = host
		s.cancelPoll = func() {
			interrupted = true
			cancel()
		}
	}
	s.mu.Unlock()
	var update distribution.Update
	address := net.JoinHostPort(host, strconv.Itoa(s.settings.PortOf(program)))
	err := s.client.CallWithTimeouts(ctx, address, updatePath, &request, &update, rpc.ResponseTimeouts{
		Header:   timeout,
		Idle:     pollTimeout,
		Total:    maxPollDuration,
		OnHeader: s.disablePollInterrupt,
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelPoll = nil
	switch {
	case err == nil:
		return &update, nil
	case interrupted:
		return nil, errPollInterrupted
	}
	return nil, err
}

// disablePollInterrupt prevents the open poll from being cancelled. It is called when the response
// begins: after a cancellation, the next poll would only transfer the same response again.
func (s *updateStream) disablePollInterrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelPoll = nil
}

// pollPeers polls up to maxPeersPolled random hosts of peerHosts and applies the first update that
// it receives. It is used when no control node responds.
func (s *updateStream) pollPeers(ctx context.Context) {
	hosts := s.peerHosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts[:min(len(hosts), maxPeersPolled)] {
		if update, err := s.poll(ctx, host, settings.DataPlane, peerPollTimeout); err == nil {
			s.state.apply(update)
			return
		}
	}
}

// queueReport queues a health report for the next poll. It cancels the open poll reportDelay after
// the first report in the queue.
func (s *updateStream) queueReport(r distribution.HealthReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) < maxReports {
		s.reports = append(s.reports, r)
	}
	if len(s.reports) == 1 { // reports queued later are sent with the first one
		time.AfterFunc(reportDelay, s.flushReports)
	}
}

// flushReports cancels the open poll, so that the next poll carries the queued reports.
func (s *updateStream) flushReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelPoll != nil && len(s.reports) > 0 {
		s.cancelPoll()
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}

// pause waits for jitter(d), or until done is closed.
func pause(d time.Duration, done <-chan struct{}) {
	select {
	case <-time.After(jitter(d)):
	case <-done:
	}
}
