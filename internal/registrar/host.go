// Package registrar is the control plane: it hosts the cells of a node, takes
// the operator's configurations and feeds the switches.
package registrar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/vault"
	"comethold/internal/wire"
)

// Errors of this layer.
var (
	ErrNoProposer = errors.New("registrar: the cell has no proposer that answers")
	ErrBusy       = errors.New("registrar: the cell refuses more work")
	ErrUnclear    = errors.New("registrar: what became of the change is not known")
)

// Timing of the cells. Ours; see docs/design.md.
const (
	tickEvery     = 50 * time.Millisecond
	beatEvery     = 250 * time.Millisecond
	patience      = 900 * time.Millisecond
	indexBeat     = 500 * time.Millisecond
	indexPatience = 1800 * time.Millisecond
	alpha         = 3
	maxQueue      = 24
	maxBatch      = 8
	keepLog       = 64
	helloEvery    = 500 * time.Millisecond
	learnerSpan   = 10 * time.Second // a registrar unheard for longer is not kept current
	standstill    = time.Second      // a pause between ticks after which silence proves nothing
	settleFirst   = time.Second      // of a cell, before its seats move
	senders       = 3
	longestPause  = 300 * time.Millisecond
	noLeaderPause = 60 * time.Millisecond
)

// Hello introduces a registrar to the others.
type Hello struct {
	ID   cell.MemberID `cbor:"1,keyasint"`
	Addr string        `cbor:"2,keyasint"`
	Zone string        `cbor:"3,keyasint"`
	Name string        `cbor:"4,keyasint"`
}

// Batch is what one registrar sends another.
type Batch struct {
	Hello    Hello          `cbor:"1,keyasint"`
	Messages []cell.Message `cbor:"2,keyasint,omitempty"`
	List     feed.Stamp     `cbor:"3,keyasint"` // of the leaf list that the sender holds
}

type proposal struct {
	Cell string   `cbor:"1,keyasint"`
	Txn  cell.Txn `cbor:"2,keyasint"`
}

type verdict struct {
	Committed bool   `cbor:"1,keyasint,omitempty"`
	Busy      bool   `cbor:"2,keyasint,omitempty"`
	Unclear   bool   `cbor:"3,keyasint,omitempty"`
	NoLeader  bool   `cbor:"4,keyasint,omitempty"`
	Slot      uint64 `cbor:"5,keyasint,omitempty"`
	// Grant answers a claim.
	Grant feed.Grant `cbor:"6,keyasint,omitempty"`
}

type peer struct {
	hello Hello
	heard time.Duration
	queue []cell.Message
	wake  chan struct{}
}

// Host runs the cells of one node. All cell state belongs to the goroutine of
// Run; others get at it with do.
type Host struct {
	self  Hello
	port  int
	vault *vault.Vault
	log   *event.Log
	call  *wire.Client
	start time.Time

	work  chan func()
	quit  chan struct{}
	cells map[string]*cell.Member
	roles map[string]cell.Role
	ids   map[cell.MemberID]string // where members live
	seeds []string

	waiters map[string]chan cell.Outcome
	reads   map[uint64]chan uint64
	ticket  uint64

	peersMu sync.Mutex
	peers   map[string]*peer
	former  map[cell.MemberID]bool // members whose disk was lost

	// changed is called on the loop when a cell's state moved.
	changed func(name string, what cell.Touched)
	// listed is the stamp of the leaf list held here; seen is told of others'.
	listed   func() feed.Stamp
	seen     func(addr string, at feed.Stamp)
	helloAt  time.Duration
	tickedAt time.Duration
	wokeAt   time.Duration // this node stood still until then and heard nobody
	openedAt map[string]time.Duration
}

// NewHost opens the node's cells from its vault.
func NewHost(self Hello, port int, seeds []string, v *vault.Vault, call *wire.Client, log *event.Log) *Host {
	return &Host{self: self, port: port, vault: v, log: log, call: call, start: time.Now(),
		work: make(chan func(), 256), quit: make(chan struct{}), cells: map[string]*cell.Member{},
		roles: map[string]cell.Role{}, ids: map[cell.MemberID]string{}, waiters: map[string]chan cell.Outcome{},
		reads: map[uint64]chan uint64{}, peers: map[string]*peer{}, former: map[cell.MemberID]bool{}, seeds: seeds,
		openedAt: map[string]time.Duration{}, changed: func(string, cell.Touched) {},
		listed: func() feed.Stamp { return feed.Stamp{} }, seen: func(string, feed.Stamp) {}}
}

// Identity returns the member name of this life of the disk, made and synced
// at its first start. Only the very first start of the system may use a name
// that the first membership counts on.
func Identity(v *vault.Vault, addr string, first bool) (cell.MemberID, error) {
	if id := v.Node("identity"); len(id) > 0 {
		return cell.MemberID(id), nil
	}
	id := addr
	if !first {
		var b [6]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", err
		}
		id += "~" + hex.EncodeToString(b[:])
	}
	return cell.MemberID(id), v.SetNode("identity", []byte(id))
}

func (h *Host) now() time.Duration { return time.Since(h.start) }

func (h *Host) params(name string) cell.Params {
	p := cell.Params{Cell: name, Self: h.self.ID, Alpha: alpha, MaxQueue: maxQueue, MaxBatch: maxBatch,
		KeepLog: keepLog, Beat: beatEvery, Patience: patience, Jitter: mrand.Float64}
	if name != ExchangeCell {
		p.Beat, p.Patience = indexBeat, indexPatience
	}
	return p
}

// Open starts the member of a cell. founders, if it names this node and the
// disk knows nothing of the cell, makes it a voter of the new cell.
func (h *Host) Open(name string, founders []cell.Seat) {
	if h.cells[name] != nil {
		return
	}
	saved, found, err := h.vault.Load(name)
	if err != nil {
		// What cannot be read must not vote: the member stays away, the
		// others go on, and the node's log says so.
		h.log.Error(event.CellDamaged).Str("cell", name).Err(err).Msg("the cell on this disk cannot be read")
		return
	}
	if !found {
		for _, s := range founders {
			if s.ID == h.self.ID {
				saved.Snap = &cell.Snapshot{State: map[string]cell.Value{}, Memberships: []cell.Membership{{From: 1, Seats: founders}}}
			}
		}
		if saved.Snap != nil {
			h.vault.Submit(name, cell.Writes{Snap: saved.Snap}, func() {})
		}
	}
	h.cells[name] = cell.New(h.params(name), saved, h.now())
	h.openedAt[name] = h.now()
	h.log.Info(event.CellOpened).Str("cell", name).Bool("voter", h.cells[name].Voter()).Uint64("applied", h.cells[name].Applied()).Msg("cell opened")
	h.noteSeats(name)
	h.changed(name, cell.Touched{All: true})
}

// Close ends the member of a cell that is no more.
func (h *Host) Close(name string) { delete(h.cells, name); delete(h.roles, name) }

// Run is the loop that owns the cells.
func (h *Host) Run() error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case f := <-h.work:
			f()
		case <-t.C:
			h.tick()
		case <-h.quit:
			return nil
		}
	}
}

// Stop ends Run.
func (h *Host) Stop() { close(h.quit) }

// do runs f on the loop, without waiting for it.
func (h *Host) do(f func()) {
	select {
	case h.work <- f:
	case <-h.quit:
	}
}

// ask runs f on the loop and waits for it.
func (h *Host) ask(f func()) {
	done := make(chan struct{})
	h.do(func() { f(); close(done) })
	select {
	case <-done:
	case <-h.quit:
	}
}

func (h *Host) tick() {
	now := h.now()
	if now-h.tickedAt > standstill {
		h.wokeAt = now
	}
	h.tickedAt = now
	for name, m := range h.cells {
		m.Tick(now)
		h.drain(name, m)
	}
	every := helloEvery
	if ex := h.cells[ExchangeCell]; ex != nil && ex.Voter() && ex.Leader() != "" {
		every = 2 * helloEvery
	}
	if now-h.helloAt >= every {
		h.helloAt = now
		h.refreshLearners()
		for _, a := range h.addresses() {
			h.push(a, nil)
		}
	}
}

// live lists the registrars heard in the last while, this one among them.
func (h *Host) live(within time.Duration) map[string]Hello {
	now := h.now()
	out := map[string]Hello{h.self.Addr: h.self}
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	for a, p := range h.peers {
		if p.hello.ID != "" && now-p.heard < within {
			out[a] = p.hello
		}
	}
	return out
}

// unheard is how long a registrar has been silent, as far as this node was in
// a state to hear it.
func (h *Host) unheard(addr string) time.Duration {
	if addr == h.self.Addr {
		return 0
	}
	since := h.wokeAt
	h.peersMu.Lock()
	defer h.peersMu.Unlock()
	if p := h.peers[addr]; p != nil {
		since = max(since, p.heard)
	}
	return h.now() - since
}

// over reports whether a member's life has ended: its machine is live under another
// name, so its disk was lost. This node may have started since and never have heard
// the former name; then its seat tells where it lived.
func (h *Host) over(id cell.MemberID) (yes bool) {
	live := h.live(learnerSpan)
	h.peersMu.Lock()
	yes = h.former[id]
	h.peersMu.Unlock()
	h.ask(func() {
		if ex := h.cells[ExchangeCell]; ex != nil {
			seats, _ := ex.Seats()
			for _, s := range seats {
				if now, ok := live[s.Addr]; ok && s.ID == id && now.ID != id {
					yes = true
				}
			}
		}
	})
	return yes
}

// seated reports whether this node votes in the exchange cell: only those who
// do hear every registrar.
func (h *Host) seated() (yes bool) {
	h.ask(func() {
		m := h.cells[ExchangeCell]
		yes = m != nil && m.Voter()
	})
	return yes
}

// addresses lists where other registrars may be.
func (h *Host) addresses() []string {
	seen := map[string]bool{h.self.Addr: true}
	var out []string
	add := func(a string) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	if ex := h.cells[ExchangeCell]; ex != nil {
		seats, _ := ex.Seats()
		for _, s := range seats {
			add(s.Addr)
		}
	}
	for _, a := range h.seeds {
		add(a)
	}
	return out
}

// refreshLearners keeps registrars without a vote current.
func (h *Host) refreshLearners() {
	live := h.live(learnerSpan)
	for _, m := range h.cells {
		seats, _ := m.Seats()
		var out []cell.MemberID
		for _, p := range live {
			if p.ID != h.self.ID && !(cell.Membership{Seats: seats}).Has(p.ID) {
				out = append(out, p.ID)
			}
		}
		m.SetLearners(out)
	}
}

func (h *Host) noteSeats(name string) {
	if m := h.cells[name]; m != nil {
		seats, _ := m.Seats()
		for _, s := range seats {
			h.ids[s.ID] = s.Addr
		}
	}
}

// drain carries out what a member wants done.
func (h *Host) drain(name string, m *cell.Member) {
	for {
		out := m.Take()
		if out.Changed {
			h.noteSeats(name)
		}
		after := out.SendSynced
		loop := h.route(out.Send)
		if len(after) > 0 || !out.Writes.Empty() {
			synced := h.vault.Submit(name, out.Writes, func() {
				h.do(func() {
					if h.cells[name] != m {
						return
					}
					for _, own := range h.route(after) {
						m.Step(h.now(), own)
					}
					h.drain(name, m)
				})
			})
			if synced {
				loop = append(loop, h.route(after)...)
			}
		}
		for _, d := range out.Done {
			if w := h.waiters[d.ID]; w != nil {
				delete(h.waiters, d.ID)
				w <- d
			}
		}
		for _, r := range out.Reads {
			if w := h.reads[r]; w != nil {
				delete(h.reads, r)
				w <- m.Applied()
			}
		}
		if r := m.Role(); r != h.roles[name] {
			h.roles[name] = r
			h.log.Info(event.RoleChanged).Str("cell", name).Stringer("role", r).Uint64("applied", m.Applied()).Msg("role changed")
		}
		if out.Changed {
			h.changed(name, out.Touched)
		}
		if len(loop) == 0 {
			return
		}
		for _, own := range loop {
			m.Step(h.now(), own)
		}
	}
}

// route sends messages and hands back those to this node itself.
func (h *Host) route(msgs []cell.Message) []cell.Message {
	var own []cell.Message
	byAddr := map[string][]cell.Message{}
	for _, msg := range msgs {
		if msg.To == h.self.ID {
			own = append(own, msg)
		} else if a := h.ids[msg.To]; a != "" && a != h.self.Addr {
			byAddr[a] = append(byAddr[a], msg)
		}
	}
	for a, list := range byAddr {
		h.push(a, list)
	}
	return own
}

const maxPeerQueue = 256

func (h *Host) push(addr string, msgs []cell.Message) {
	h.peersMu.Lock()
	p := h.peers[addr]
	if p == nil {
		p = &peer{wake: make(chan struct{}, senders)}
		h.peers[addr] = p
		for range senders {
			go h.sendLoop(addr, p)
		}
	}
	if len(p.queue)+len(msgs) <= maxPeerQueue {
		p.queue = append(p.queue, msgs...)
	}
	h.peersMu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Host) sendLoop(addr string, p *peer) {
	to := net.JoinHostPort(addr, strconv.Itoa(h.port))
	for {
		select {
		case <-p.wake:
		case <-h.quit:
			return
		}
		h.peersMu.Lock()
		msgs := p.queue
		p.queue = nil
		h.peersMu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
		_ = h.call.Call(ctx, to, "/cells", &Batch{Hello: h.self, Messages: msgs, List: h.listed()}, nil)
		cancel()
	}
}

// Receive takes in what another registrar sent.
func (h *Host) Receive(b *Batch) {
	h.do(func() {
		now := h.now()
		if b.Hello.Addr == "" || b.Hello.ID == "" {
			return
		}
		h.ids[b.Hello.ID] = b.Hello.Addr
		h.peersMu.Lock()
		p := h.peers[b.Hello.Addr]
		h.peersMu.Unlock()
		if p == nil {
			h.push(b.Hello.Addr, nil)
			h.peersMu.Lock()
			p = h.peers[b.Hello.Addr]
			h.peersMu.Unlock()
		}
		h.peersMu.Lock()
		delete(h.former, b.Hello.ID)
		if p.hello.ID != "" && p.hello.ID != b.Hello.ID {
			h.former[p.hello.ID] = true
		}
		p.hello, p.heard = b.Hello, now
		h.peersMu.Unlock()
		h.seen(b.Hello.Addr, b.List)
		touched := map[string]*cell.Member{}
		for _, msg := range b.Messages {
			if m := h.cells[msg.Cell]; m != nil {
				m.Step(now, msg)
				touched[msg.Cell] = m
			}
		}
		for name, m := range touched {
			h.drain(name, m)
		}
	})
}

// refusedBy is the verdict where a member takes nothing.
func refusedBy(err error) verdict {
	if errors.Is(err, cell.ErrBusy) {
		return verdict{Busy: true}
	}
	return verdict{NoLeader: true}
}

// proposeHere proposes at this node, which must be the proposer.
func (h *Host) proposeHere(ctx context.Context, name string, t cell.Txn) verdict {
	w := make(chan cell.Outcome, 1)
	var err error
	h.ask(func() {
		m := h.cells[name]
		if m == nil {
			err = cell.ErrNotProposer
			return
		}
		h.waiters[t.ID] = w
		if err = m.Propose(h.now(), t); err != nil {
			delete(h.waiters, t.ID)
		}
		h.drain(name, m)
	})
	if err != nil {
		return refusedBy(err)
	}
	select {
	case o := <-w:
		return verdict{Committed: o.Committed, Unclear: o.Lost}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.do(func() {
		delete(h.waiters, t.ID)
		if m := h.cells[name]; m != nil {
			m.Forget(t.ID)
		}
	})
	return verdict{Unclear: true}
}

// readHere confirms at the proposer that its state is current.
func (h *Host) readHere(ctx context.Context, name string) verdict {
	w := make(chan uint64, 1)
	var err error
	var ticket uint64
	h.ask(func() {
		m := h.cells[name]
		if m == nil {
			err = cell.ErrNotProposer
			return
		}
		h.ticket++
		ticket = h.ticket
		h.reads[ticket] = w
		if err = m.Read(h.now(), ticket); err != nil {
			delete(h.reads, ticket)
		}
		h.drain(name, m)
	})
	if err != nil {
		return refusedBy(err)
	}
	select {
	case slot := <-w:
		return verdict{Committed: true, Slot: slot}
	case <-ctx.Done():
	case <-h.quit:
	}
	h.do(func() { delete(h.reads, ticket) })
	return verdict{NoLeader: true}
}

// leaderOf returns where the proposer is; here says that it is this node.
func (h *Host) leaderOf(name string) (addr string, here bool) {
	h.ask(func() {
		if m := h.cells[name]; m != nil {
			here = m.Role() == cell.Leading
			if l := m.Leader(); l != "" {
				addr = h.ids[l]
			}
		}
	})
	return addr, here
}

// attempt runs f at the proposer, here or by a call, and backs off
// exponentially with jitter while there is none or it refuses.
func (h *Host) attempt(ctx context.Context, name, path string, in any, f func(context.Context) verdict) (verdict, error) {
	pause := 20 * time.Millisecond
	last := ErrNoProposer
	for {
		addr, here := h.leaderOf(name)
		v := verdict{NoLeader: true}
		if here {
			v = f(ctx)
		} else if addr != "" && addr != h.self.Addr {
			// Into a fresh verdict: what is absent on the wire stays as it was.
			v = verdict{}
			if err := h.call.Call(ctx, net.JoinHostPort(addr, strconv.Itoa(h.port)), path, in, &v); err != nil {
				v = verdict{Unclear: true}
			}
		}
		switch {
		case v.Unclear:
			return v, ErrUnclear
		case v.Busy:
			last = ErrBusy
		case !v.NoLeader:
			return v, nil
		}
		wait := time.Duration((0.5 + mrand.Float64()) * float64(pause))
		most := longestPause
		if v.NoLeader {
			most = noLeaderPause // looked up here: it costs nobody else anything
		}
		pause = min(2*pause, most)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return v, last
		case <-h.quit:
			return v, last
		}
	}
}

func newID() string { return strconv.FormatUint(mrand.Uint64(), 36) }

// Propose has a transaction decided and tells whether it was committed.
func (h *Host) Propose(ctx context.Context, name string, t cell.Txn) (bool, error) {
	t.ID = newID()
	v, err := h.attempt(ctx, name, "/propose", &proposal{Cell: name, Txn: t},
		func(ctx context.Context) verdict { return h.proposeHere(ctx, name, t) })
	return v.Committed, err
}

// Sync waits until this node's copy of the cell is current.
func (h *Host) Sync(ctx context.Context, name string) error {
	v, err := h.attempt(ctx, name, "/confirm", &proposal{Cell: name},
		func(ctx context.Context) verdict { return h.readHere(ctx, name) })
	if err != nil {
		return err
	}
	for {
		var applied uint64
		h.ask(func() {
			if m := h.cells[name]; m != nil {
				applied = m.Applied()
			}
		})
		if applied >= v.Slot {
			return nil
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%w: behind its cell", ErrNoProposer)
		case <-h.quit:
			return ErrNoProposer
		}
	}
}

// Get reads a key of the applied state.
func (h *Host) Get(name, key string) (v cell.Value, ok bool) {
	h.ask(func() {
		if m := h.cells[name]; m != nil {
			v, ok = m.Get(key)
		}
	})
	return v, ok
}
