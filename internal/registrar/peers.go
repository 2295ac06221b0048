package registrar

import (
	"context"
	"net"
	"strconv"
	"time"

	"comethold/internal/cell"
	"comethold/internal/feed"
	"comethold/internal/wire"
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

// Sending. Ours; see docs/design.md.
const (
	sendBase     = 1500 * time.Millisecond // a batch may take so long, and
	sendRate     = 16 << 10                // a second more for so many bytes
	bulkRate     = 4 << 10                 // of a large message; a peer that is dead is noticed sooner
	sendMost     = time.Minute
	bulkFrom     = 32 << 10 // a message of this size goes by itself
	batchBytes   = 64 << 10
	queueBytes   = 1 << 20 // that wait for a peer
	timesUpTo    = 4 << 10 // bytes of a batch that tells times
	maxBulkQueue = 64
	bulkWater    = 32 << 10 // bytes of it that wait in this machine
	bulkSilent   = 6 * time.Second
)

// sendLimit is how long a body of so many bytes may be under way.
func sendLimit(bytes int, rate float64) time.Duration {
	return min(sendMost, sendBase+time.Duration(float64(bytes)/rate*float64(time.Second)))
}

type peer struct {
	hello Hello
	heard time.Duration
	queue []cell.Message
	bytes int // of the queue
	wake  chan struct{}
	bulk  lane
}

// lane holds the large messages to one peer, which go one at a time, so that greetings and
// beats need not wait behind them.
type lane struct {
	queue []cell.Message
	away  *cell.Message // the one that is under way
	wake  chan struct{}
}

// put queues a large message. What is under way, or waits, is not sent a second time: a
// snapshot of a cell, or the same message. What is left of one that went without its
// snapshot is handed back.
func (l *lane) put(msg cell.Message) *cell.Message {
	has := func(f func(*cell.Message) bool) bool {
		if l.away != nil && f(l.away) {
			return true
		}
		for i := range l.queue {
			if f(&l.queue[i]) {
				return true
			}
		}
		return false
	}
	if msg.Snap != nil && has(func(o *cell.Message) bool { return o.Cell == msg.Cell && o.Snap != nil }) {
		if msg.Kind == cell.Teach {
			return nil
		}
		msg.Snap = nil // a promise that cannot be counted yet still tells how far its sender is
		if msg.Size() < bulkFrom {
			return &msg
		}
	}
	if len(l.queue) >= maxBulkQueue || has(func(o *cell.Message) bool {
		return o.Cell == msg.Cell && o.Kind == msg.Kind && o.Ballot == msg.Ballot && (msg.Kind != cell.Accept || o.Entries[0].Slot == msg.Entries[0].Slot)
	}) {
		return nil
	}
	l.queue = append(l.queue, msg)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return nil
}

// take hands out the next message; what was under way is no more.
func (l *lane) take() *cell.Message {
	l.away = nil
	if len(l.queue) > 0 {
		msg := l.queue[0]
		l.queue, l.away = l.queue[1:], &msg
	}
	return l.away
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
		p = &peer{wake: make(chan struct{}, senders), bulk: lane{wake: make(chan struct{}, 1)}}
		h.peers[addr] = p
		for range senders {
			go h.sendLoop(addr, p)
		}
		go h.bulkLoop(addr, p)
	}
	for i := range msgs {
		small := &msgs[i]
		if small.Size() >= bulkFrom {
			small = p.bulk.put(*small)
		}
		if small != nil {
			p.queue = append(p.queue, *small)
			p.bytes += small.Size()
		}
	}
	for p.bytes > queueBytes {
		p.bytes -= p.queue[0].Size() // what is newer counts more
		p.queue = p.queue[1:]
	}
	h.peersMu.Unlock()
	p.wakeOne()
}

func (p *peer) wakeOne() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (h *Host) sendLoop(addr string, p *peer) {
	for {
		select {
		case <-p.wake:
		case <-h.quit:
			return
		}
		h.peersMu.Lock()
		n, bytes := 0, 0
		for n < len(p.queue) && (n == 0 || bytes < batchBytes) {
			bytes += p.queue[n].Size()
			n++
		}
		msgs := p.queue[:n:n]
		p.queue, p.bytes = p.queue[n:], p.bytes-bytes
		if len(p.queue) > 0 {
			p.wakeOne()
		}
		h.peersMu.Unlock()
		h.sendBatch(h.call, sendRate, addr, msgs)
	}
}

func (h *Host) bulkLoop(addr string, p *peer) {
	for {
		h.peersMu.Lock()
		msg := p.bulk.take()
		h.peersMu.Unlock()
		if msg != nil {
			h.sendBatch(h.bulk, bulkRate, addr, []cell.Message{*msg})
			continue
		}
		select {
		case <-p.bulk.wake:
		case <-h.quit:
			return
		}
	}
}

func (h *Host) sendBatch(by *wire.Client, rate float64, addr string, msgs []cell.Message) {
	body, err := wire.Encode(h.batch(msgs))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit(len(body), rate))
	defer cancel()
	_ = by.Post(ctx, net.JoinHostPort(addr, strconv.Itoa(h.port)), "/cells", body, nil)
}

// batch makes what goes to a peer. What may be long under way tells no times: by its
// arrival they are wrong.
func (h *Host) batch(msgs []cell.Message) *Batch {
	b := &Batch{Hello: h.self, Messages: msgs, List: h.listed()}
	bytes := 0
	for i := range msgs {
		bytes += msgs[i].Size()
	}
	if bytes <= timesUpTo {
		b.Wall, b.Agreed = h.times()
	}
	return b
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
		former := p.hello.ID
		if former != "" && fresh {
			h.former[former] = true
		}
		if fresh || now-p.heard > candidateSpan {
			h.stirredAt = now
		}
		p.hello, p.heard = b.Hello, now
		h.peersMu.Unlock()
		if fresh {
			h.refreshLearners() // a newcomer is taught from now on, not from the next round of greetings
		}
		if fresh && former != "" {
			for name, m := range h.cells {
				m.Over(now, former)
				h.drain(name, m)
			}
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
