package registrar

import (
	"context"
	"net"
	"strconv"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
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
	// The sender's time of day and the time that it agrees on, where that matters.
	Wall   int64 `cbor:"4,keyasint,omitempty"`
	Agreed int64 `cbor:"5,keyasint,omitempty"`
}

type peer struct {
	hello Hello
	heard time.Duration
	queue []cell.Message
	wake  chan struct{}
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

// addresses lists where other registrars may be. One that comes back knows seats of long
// ago, and those who have the seats now need not be among the seeds: those in the directory
// are greeted as well, also while they are down, and all who are heard, or nobody might
// teach it.
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
	for _, a := range h.listing() {
		add(a)
	}
	for a := range h.live(learnerSpan) {
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
		b := &Batch{Hello: h.self, Messages: msgs, List: h.listed()}
		b.Wall, b.Agreed = h.times()
		_ = h.call.Call(ctx, to, "/cells", b, nil)
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
		fresh := p.hello.ID != b.Hello.ID
		if p.hello.ID != "" && fresh {
			h.former[p.hello.ID] = true
		}
		p.hello, p.heard = b.Hello, now
		h.peersMu.Unlock()
		if fresh {
			h.refreshLearners() // a newcomer is taught from now on, not from the next round of greetings
		}
		h.seen(b.Hello.Addr, b.List)
		if b.Wall != 0 {
			h.timeSeen(b.Hello.Addr, b.Wall, b.Agreed)
		}
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
