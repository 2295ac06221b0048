package registrar

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
)

func indexName(n int64) string { return "i" + strconv.FormatInt(n, 10) }

// moveOrder asks a cell's proposer to give a seat to another member. Out is
// empty where a seat is added.
type moveOrder struct {
	Cell string        `cbor:"1,keyasint"`
	Out  cell.MemberID `cbor:"2,keyasint"`
	In   cell.Seat     `cbor:"3,keyasint"`
}

// seatsFor is how many voters bear the loss of so many machines.
func seatsFor(losses int) int { return 2*losses + 1 }

// moveHere moves a cell by one node at its proposer, once the newcomer has
// caught up and the move before it is done; the proposer brings it to its end.
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
		if o.Out != "" && len(next) > len(seats) || o.Out == "" && len(next) > seatsFor(r.set.Tolerance.MachineLosses) {
			return
		}
		if !placed(next) && placed(seats) {
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

// nextMove decides the one move that a cell needs most, if any: a machine that
// came back with an empty disk takes over its former seat; a seat unheard for
// long goes to a registrar that has none; a cell with too few seats gets one
// more. Newcomers come from the zone, then the region, with the fewest seats.
func nextMove(seats []cell.Seat, live map[string]Hello, silent func(addr string) bool, want int, region func(zone string) string) (out cell.MemberID, in cell.Seat, ok bool) {
	for _, s := range seats {
		if h, here := live[s.Addr]; here && h.ID != s.ID {
			return s.ID, cell.Seat{ID: h.ID, Addr: h.Addr, Zone: h.Zone}, true
		}
	}
	zones, regions, seated := map[string]int{}, map[string]int{}, map[string]bool{}
	var lost *cell.Seat
	for i, s := range seats {
		seated[s.Addr] = true
		if silent(s.Addr) {
			if lost == nil {
				lost = &seats[i]
			}
			continue
		}
		zone := s.Zone
		if h, here := live[s.Addr]; here {
			zone = h.Zone // founders are known by their address alone
		}
		zones[zone]++
		regions[region(zone)]++
	}
	if lost == nil && len(seats) >= want {
		return "", in, false
	}
	for _, h := range live {
		if seated[h.Addr] {
			continue
		}
		better := in.ID == "" || zones[h.Zone] < zones[in.Zone]
		if in.ID != "" && zones[h.Zone] == zones[in.Zone] {
			a, b := regions[region(h.Zone)], regions[region(in.Zone)]
			better = a < b || a == b && h.ID < in.ID
		}
		if better {
			in = cell.Seat{ID: h.ID, Addr: h.Addr, Zone: h.Zone}
		}
	}
	if in.ID == "" {
		return "", in, false
	}
	if len(seats) < want {
		return "", in, true // add before replacing: the majority grows with it
	}
	return lost.ID, in, true
}

// moveLoop moves seats while this node holds the duty. It has a loop of its own: the
// desk's work on a cell without a majority must not delay the repair of the others.
func (r *Registrar) moveLoop() {
	pause := deskEvery
	for {
		select {
		case <-time.After(pause):
		case <-r.quit:
			return
		}
		pause = deskEvery
		if _, ok := r.mover.held(); ok && r.fresh() <= staleFrom && r.moveDesk() {
			pause = moveAgain
		}
	}
}

// moveDesk carries out the moves that the cells need, of each cell one, and reports
// whether there were any: until all are done a further loss may be one too many.
func (r *Registrar) moveDesk() bool {
	type job struct {
		o    moveOrder
		addr string
		here bool
	}
	var jobs []job
	want := seatsFor(r.set.Tolerance.MachineLosses)
	r.host.ask(func() {
		now := r.host.now()
		live := r.host.live(candidateSpan)
		silent := func(addr string) bool { return r.host.unheard(addr) > seatSilence }
		for name, m := range r.host.cells {
			seats, settled := m.Seats()
			if !settled {
				continue
			}
			if now-r.host.openedAt[name] < settleFirst {
				continue
			}
			if out, in, ok := nextMove(seats, live, silent, want, r.set.Region); ok {
				addr := ""
				if l := m.Leader(); l != "" {
					addr = r.host.ids[l]
				}
				jobs = append(jobs, job{moveOrder{Cell: name, Out: out, In: in}, addr, m.Role() == cell.Leading})
			}
		}
	})
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), deskWork)
			defer cancel()
			if j.here {
				r.moveHere(ctx, &j.o)
			} else if j.addr != "" {
				var v verdict
				_ = r.host.call.Call(ctx, net.JoinHostPort(j.addr, strconv.Itoa(r.host.port)), "/move", &j.o, &v)
			}
		})
	}
	wg.Wait()
	return len(jobs) > 0
}
