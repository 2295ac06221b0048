package registrar

import (
	"context"
	"net"
	"strconv"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
)

func indexName(n int64) string { return "i" + strconv.FormatInt(n, 10) }

// moveOrder asks a cell's proposer to give a seat to another member.
type moveOrder struct {
	Cell string        `cbor:"1,keyasint"`
	Out  cell.MemberID `cbor:"2,keyasint"`
	In   cell.Seat     `cbor:"3,keyasint"`
}

// moveHere moves a cell by one node at its proposer, once the newcomer has
// caught up and the move before it is in effect.
func (r *Registrar) moveHere(ctx context.Context, o *moveOrder) verdict {
	var t cell.Txn
	v := verdict{NoLeader: true}
	r.host.ask(func() {
		m := r.host.cells[o.Cell]
		if m == nil || m.Role() != cell.Leading {
			return
		}
		v = verdict{Busy: true}
		seats, settled := m.Seats()
		if !settled || m.Learnt(o.In.ID)+alpha < m.Applied() || m.Learnt(o.In.ID) == 0 && m.Applied() > 0 {
			return
		}
		var next []cell.Seat
		for _, s := range seats {
			if s.ID != o.Out {
				next = append(next, s)
			}
		}
		next = append(next, o.In)
		if !placed(next) || len(next) > len(seats) && o.Out != "" {
			return
		}
		cond := cell.Condition{Key: cell.SeatsKey, Absent: true}
		if c, ok := m.Get(cell.SeatsKey); ok {
			cond = cell.Condition{Key: cell.SeatsKey, Equals: c}
		}
		t = cell.Txn{ID: newID(), Conditions: []cell.Condition{cond}, Ops: []cell.Op{{Kind: cell.OpSeats, Seats: next}}}
	})
	if t.Ops == nil {
		return v
	}
	v = r.host.proposeHere(ctx, o.Cell, t)
	if v.Committed {
		r.log.Info(event.SeatsChanged).Str("cell", o.Cell).Str("out", string(o.Out)).Str("in", string(o.In.ID)).Msg("a seat changed hands")
	}
	return v
}

// placed reports whether no zone holds a majority of the seats.
func placed(seats []cell.Seat) bool {
	n := map[string]int{}
	for _, s := range seats {
		if s.Zone != "" {
			n[s.Zone]++
		}
	}
	for _, k := range n {
		if k > len(seats)/2 && len(seats) > 1 {
			return false
		}
	}
	return true
}

// moveDesk gives the seats of members that are gone for good to live ones: a
// machine that came back with an empty disk takes over its former seat; a seat
// unheard for long goes to a registrar that has none.
func (r *Registrar) moveDesk() {
	type job struct {
		o    moveOrder
		addr string
		here bool
	}
	var jobs []job
	r.host.ask(func() {
		now := r.host.now()
		r.host.peersMu.Lock()
		live := map[string]Hello{r.host.self.Addr: r.host.self}
		for a, p := range r.host.peers {
			if p.hello.ID != "" && now-p.heard < 3*time.Second {
				live[a] = p.hello
			}
		}
		r.host.peersMu.Unlock()
		for name, m := range r.host.cells {
			seats, settled := m.Seats()
			if !settled {
				// Natural traffic would bring the move into effect; a cell
				// without any gets a no-op.
				r.nudge(name)
				continue
			}
			for _, s := range seats {
				h, ok := live[s.Addr]
				if !ok || h.ID == s.ID {
					continue
				}
				addr := ""
				if l := m.Leader(); l != "" {
					addr = r.host.ids[l]
				}
				jobs = append(jobs, job{moveOrder{Cell: name, Out: s.ID, In: cell.Seat{ID: h.ID, Addr: h.Addr, Zone: h.Zone}}, addr, m.Role() == cell.Leading})
				break
			}
		}
	})
	for _, j := range jobs {
		ctx, cancel := context.WithTimeout(context.Background(), deskWork)
		if j.here {
			r.moveHere(ctx, &j.o)
		} else if j.addr != "" {
			var v verdict
			_ = r.host.call.Call(ctx, net.JoinHostPort(j.addr, strconv.Itoa(r.host.port)), "/move", &j.o, &v)
		}
		cancel()
	}
}

// nudge proposes a no-op in the background.
func (r *Registrar) nudge(name string) {
	go r.propose(name, cell.Txn{})
}
