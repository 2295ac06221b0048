package registrar

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"strings"
	"time"

	"comethold/internal/cell"
	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/notice"
	"comethold/internal/wire"

	"github.com/labstack/echo/v4"
)

// Pacing of recalls. Ours; see docs/design.md.
const (
	maxRecallBytes  = 64 << 10
	maxRecallBatch  = 512
	recallQueue     = 4096
	minRecallMemory = 60 * time.Second // recalls are kept for this long at least
)

// purgeOrder is the operator's purge: a host and path, or a label.
type purgeOrder struct {
	Hostname string `json:"hostname"`
	Path     string `json:"path"`
	Label    string `json:"label"`
}

var errPurge = errors.New("a purge names hostname and path, or label, and not both")

func readPurge(raw []byte) (feed.Recall, error) {
	var o purgeOrder
	if err := json.Unmarshal(raw, &o); err != nil {
		return feed.Recall{}, err
	}
	byPath := o.Hostname != "" && strings.HasPrefix(o.Path, "/")
	switch {
	case o.Label != "" && o.Hostname == "" && o.Path == "" && !strings.ContainsAny(o.Label, " \t"):
		return feed.Recall{Label: o.Label}, nil
	case o.Label == "" && byPath:
		return feed.Recall{Host: strings.ToLower(o.Hostname), Path: o.Path}, nil
	}
	return feed.Recall{}, errPurge
}

type pendingRecall struct {
	recall feed.Recall
	done   chan error
}

// purge takes a purge order and answers once a majority keeps it.
func (r *Registrar) purge(c echo.Context) error {
	raw, status, why := readBody(c, maxRecallBytes)
	if status != 0 {
		return refuse(c, status, why)
	}
	rec, err := readPurge(raw)
	if err != nil {
		r.log.Warn(event.PurgeRefused).Err(err).Msg("purge refused")
		return refuse(c, http.StatusBadRequest, err.Error())
	}
	p := &pendingRecall{rec, make(chan error, 1)}
	select {
	case r.recalls <- p:
	default:
		return refuse(c, http.StatusServiceUnavailable, translate(ErrBusy))
	}
	select {
	case err = <-p.done:
	case <-c.Request().Context().Done():
		err = ErrUnclear
	case <-r.quit:
		err = ErrUnclear
	}
	if err != nil {
		return refuse(c, http.StatusServiceUnavailable, translate(err))
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// recallLoop puts purges into the exchange cell. Those that come while a batch
// is being decided make up the next one, so that a storm costs few positions.
func (r *Registrar) recallLoop() {
	for {
		var batch []*pendingRecall
		select {
		case p := <-r.recalls:
			batch = append(batch, p)
		case <-r.quit:
			return
		}
		batch = drain(r.recalls, batch, maxRecallBatch)
		seen := map[feed.Recall]bool{}
		var list []feed.Recall
		for _, p := range batch {
			if !seen[p.recall] {
				seen[p.recall] = true
				list = append(list, p.recall)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), orderPatience)
		err := r.commitRecalls(ctx, list)
		cancel()
		for _, p := range batch {
			p.done <- err
		}
	}
}

// commitRecalls has purges decided. One decided twice does no harm, so what is
// unclear is simply proposed again.
func (r *Registrar) commitRecalls(ctx context.Context, list []feed.Recall) error {
	// Its version and event id are those of its position; see rowAt.
	n, err := notice.New("", notice.Purges, 0, 0, len(list))
	if err != nil {
		return err
	}
	for {
		ok, err := r.host.Propose(ctx, ExchangeCell, cell.Txn{Ops: []cell.Op{
			{Kind: cell.OpAppend, Key: keyRecall, Value: encode(list)},
			{Kind: cell.OpAppend, Key: keyOutbox, Value: encode(notice.Row{Notice: n})}}})
		if ok && err == nil {
			r.log.Info(event.PurgeTaken).Int("recalls", len(list)).Msg("purges taken")
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			if err == nil {
				err = ErrBusy
			}
			return err
		}
	}
}

// setRecalls takes the recalls of the exchange cell. Those already held are
// not decoded again.
func (b *board) setRecalls(m *cell.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	floor := uint64(0)
	if v, ok := m.Get(keyFloor); ok && v.Int != nil {
		floor = v.Int.Uint64()
	}
	moved := false
	if floor > b.floor {
		b.floor = floor
		b.pos = max(b.pos, floor)
		at := sort.Search(len(b.recalls), func(i int) bool { return b.recalls[i].Pos > floor })
		b.recalls = append([]feed.Recall(nil), b.recalls[at:]...)
	}
	held := b.pos
	for _, k := range m.KeysFrom(keyRecall, recallKeyAfter(held)) {
		var list []feed.Recall
		v, _ := m.Get(k)
		if wire.Unmarshal(v.Bytes, &list) != nil {
			continue
		}
		pos := slotOf(k, keyRecall)
		for _, rec := range list {
			rec.Pos = pos
			b.recalls = append(b.recalls, rec)
		}
		b.pos = max(b.pos, pos)
		moved = true
	}
	if moved {
		b.changedLocked()
	}
}

func recallKeyAfter(pos uint64) string { return cell.AppendedKey(keyRecall, pos+1, "") }

// recallNews adds the recalls that the caller lacks.
func (b *board) recallNews(h feed.Have, n *feed.News) {
	if b.pos <= h.Recall {
		return
	}
	rs := &feed.Recalls{Pos: b.pos, Reset: h.Recall < b.floor}
	at := sort.Search(len(b.recalls), func(i int) bool { return b.recalls[i].Pos > h.Recall })
	rs.All = b.recalls[at:len(b.recalls):len(b.recalls)]
	n.Recalls = rs
}

// recallDesk forgets recalls that no copy can predate any more: this node's own
// steady clock saw each of them for longer than any copy may be kept.
func (r *Registrar) recallDesk(first map[string]time.Time) {
	keep := minRecallMemory
	var keys []string
	var held cell.Value
	var known bool
	if !r.exchange(func(m *cell.Member) {
		keys = m.KeysFrom(keyRecall, keyRecall)
		held, known = m.Get(keyFloor)
	}) {
		return
	}
	now := time.Now()
	if len(keys) > 0 && now.Sub(first[keys[0]]) > keep && !first[keys[0]].IsZero() {
		if cfg := r.config(); cfg != nil {
			for i := range cfg.Routes {
				keep = max(keep, 2*cfg.Routes[i].TTL()+minRecallMemory)
			}
		}
	}
	var old []string
	listed := map[string]bool{}
	for _, k := range keys {
		listed[k] = true
		if first[k].IsZero() {
			first[k] = now
		}
		if now.Sub(first[k]) > keep {
			old = append(old, k)
		}
	}
	for k := range first {
		if !listed[k] {
			delete(first, k)
		}
	}
	if len(old) > 0 {
		r.propose(ExchangeCell, forgetTxn(held, known, old))
	}
}

// forgetTxn forgets recalls, in order of position, and raises the floor from where it is
// held: one that is late would lower it, and a node that lacks what was forgotten would
// not be told.
func forgetTxn(held cell.Value, known bool, old []string) (t cell.Txn) {
	cond := cell.Condition{Key: keyFloor, Absent: true}
	if known {
		cond = cell.Condition{Key: keyFloor, Equals: held}
	}
	t.Conditions = []cell.Condition{cond}
	for _, k := range old {
		t.Ops = append(t.Ops, cell.Op{Kind: cell.OpDelete, Key: k})
	}
	t.Ops = append(t.Ops, cell.Op{Kind: cell.OpPut, Key: keyFloor, Value: uintValue(slotOf(old[len(old)-1], keyRecall))})
	return t
}
