// Package registrar is the control plane: it hosts the cells of a node, takes
// the operator's configurations and feeds the switches.
package registrar

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	candidateSpan = 3 * time.Second  // a registrar unheard for longer is given no seat
	senders       = 3
	longestPause  = 300 * time.Millisecond
	noLeaderPause = 60 * time.Millisecond
	identityNote  = "identity" // in the vault
)

// Host runs the cells of one node. All cell state belongs to the goroutine of
// Run; others get at it with do.
type Host struct {
	self  Hello
	port  int
	vault *vault.Vault
	log   *event.Log
	call  *wire.Client
	bulk  *wire.Client // for large messages
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
	listing  func() []string // addresses of the registrars in the directory
	times    func() (wall, agreed int64)
	timeSeen func(addr string, wall, agreed int64)
	helloAt  time.Duration
	tickedAt time.Duration
	wokeAt   time.Duration // this node stood still until then and heard nobody
	openedAt map[string]time.Duration

	// Of the exchange cell: who led and who had seats at the last look, and when either
	// was another last, or a registrar came, or the majority was out of touch; and when
	// it got a further seat.
	leader    cell.MemberID
	seats     []cell.Seat
	stirredAt time.Duration
	grewAt    time.Duration
}

// NewHost opens the node's cells from its vault.
func NewHost(self Hello, port int, seeds []string, v *vault.Vault, n wire.Net, log *event.Log) *Host {
	return &Host{self: self, port: port, vault: v, log: log, call: wire.NewClient(n), bulk: wire.NewClientWith(wire.LowWater(n, bulkWater), 2*time.Second, bulkSilent, 1), start: time.Now(),
		work: make(chan func(), 256), quit: make(chan struct{}), cells: map[string]*cell.Member{},
		roles: map[string]cell.Role{}, ids: map[cell.MemberID]string{}, waiters: map[string]chan cell.Outcome{},
		reads: map[uint64]chan uint64{}, peers: map[string]*peer{}, former: map[cell.MemberID]bool{}, seeds: seeds,
		openedAt: map[string]time.Duration{}, changed: func(string, cell.Touched) {},
		listed: func() feed.Stamp { return feed.Stamp{} }, seen: func(string, feed.Stamp) {},
		listing: func() []string { return nil },
		times:   func() (int64, int64) { return 0, 0 }, timeSeen: func(string, int64, int64) {}}
}

// Identity returns the member name of this life of the disk, made and synced at its
// first start. Only the very first start of the system may use a name that the first
// membership counts on, and not where a file was put aside: that name may have voted.
// A founder's part of the first cell is synced with its name, so a founder that was
// stopped in between is one nevertheless.
func Identity(v *vault.Vault, addr string, first, setAside bool, founders []cell.Seat) (id cell.MemberID, fresh bool, err error) {
	if old := v.Node(identityNote); len(old) > 0 {
		return cell.MemberID(old), false, nil
	}
	if first && !setAside {
		id = cell.MemberID(addr)
	} else {
		var b [6]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", false, err
		}
		id = cell.MemberID(addr + "~" + hex.EncodeToString(b[:]))
	}
	var w cell.Writes
	if (cell.Membership{Seats: founders}).Has(id) {
		w.Snap = founding(founders)
	}
	return id, true, v.Found(identityNote, []byte(id), ExchangeCell, w)
}

// founding is the state of a cell at its beginning.
func founding(seats []cell.Seat) *cell.Snapshot {
	return &cell.Snapshot{State: map[string]cell.Value{}, Memberships: []cell.Membership{{From: 1, Seats: seats}}}
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
				saved.Snap = founding(founders)
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

// ask runs f on the loop and waits for it. Once the node ends, f has either run whole by
// the time ask returns or never will: what f sets may be looked at.
func (h *Host) ask(f func()) {
	var taken atomic.Bool
	done := make(chan struct{})
	h.do(func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	})
	select {
	case <-done:
	case <-h.quit:
		if !taken.CompareAndSwap(false, true) {
			<-done
		}
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
	h.lookCalm(now)
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

// lookCalm notes when the exchange cell was not at rest, as far as this node knows.
func (h *Host) lookCalm(now time.Duration) {
	m := h.cells[ExchangeCell]
	if m == nil {
		return
	}
	seats, _ := m.Seats()
	if m.Leader() == "" || m.Leader() != h.leader || m.Fresh(now) > staleFrom || !slices.Equal(seats, h.seats) {
		if len(seats) > len(h.seats) {
			h.grewAt = now
		}
		h.leader, h.seats, h.stirredAt = m.Leader(), slices.Clone(seats), now
	}
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

// Get reads a key of the applied state.
func (h *Host) Get(name, key string) (v cell.Value, ok bool) {
	h.ask(func() {
		if m := h.cells[name]; m != nil {
			v, ok = m.Get(key)
		}
	})
	return v, ok
}
