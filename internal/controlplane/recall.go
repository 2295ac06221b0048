package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"strings"
	"time"

	"comethold/internal/controlplane/batching"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
	"comethold/internal/rpc"

	"github.com/labstack/echo/v4"
)

// Pacing of recalls. Ours; see docs/design.md.
const (
	maxPurgeBytes     = 64 << 10
	maxPurgeBatch     = 512
	purgeQueueLength  = 4096
	minPurgeRetention = 60 * time.Second // recalls are kept for this long at least
)

// purgeRequest is the operator's purge: a host and path, or a label.
type purgeRequest struct {
	Hostname string `json:"hostname"`
	Path     string `json:"path"`
	Label    string `json:"label"`
}

var errInvalidPurge = errors.New("a purge names hostname and path, or label, and not both")

func parsePurge(raw []byte) (distribution.Purge, error) {
	var o purgeRequest
	if err := json.Unmarshal(raw, &o); err != nil {
		return distribution.Purge{}, err
	}
	byPath := o.Hostname != "" && strings.HasPrefix(o.Path, "/")
	switch {
	case o.Label != "" && o.Hostname == "" && o.Path == "" && !strings.ContainsAny(o.Label, " \t"):
		return distribution.Purge{Label: o.Label}, nil
	case o.Label == "" && byPath:
		return distribution.Purge{Host: strings.ToLower(o.Hostname), Path: o.Path}, nil
	}
	return distribution.Purge{}, errInvalidPurge
}

type pendingPurge struct {
	purge distribution.Purge
	done  chan error
}

// handlePurge takes a purge order and answers once a majority keeps it.
func (r *Server) handlePurge(c echo.Context) error {
	raw, status, why := readBody(c, maxPurgeBytes)
	if status != 0 {
		return writeError(c, status, why)
	}
	rec, err := parsePurge(raw)
	if err != nil {
		r.log.Warn(logging.PurgeRejected).Err(err).Msg("purge refused")
		return writeError(c, http.StatusBadRequest, err.Error())
	}
	p := &pendingPurge{rec, make(chan error, 1)}
	select {
	case r.purgeRequests <- p:
	default:
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(replicahost.ErrBusy))
	}
	select {
	case err = <-p.done:
	case <-c.Request().Context().Done():
		err = replicahost.ErrOutcomeUnknown
	case <-r.quit:
		err = replicahost.ErrOutcomeUnknown
	}
	if err != nil {
		return writeError(c, http.StatusServiceUnavailable, unavailableReason(err))
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// purgeLoop puts purges into the exchange cell. Those that come while a batch
// is being decided make up the next one, so that a storm costs few positions.
func (r *Server) purgeLoop() {
	for {
		var batch []*pendingPurge
		select {
		case p := <-r.purgeRequests:
			batch = append(batch, p)
		case <-r.quit:
			return
		}
		batch = batching.Drain(r.purgeRequests, batch, maxPurgeBatch)
		seen := map[distribution.Purge]bool{}
		var list []distribution.Purge
		for _, p := range batch {
			if !seen[p.purge] {
				seen[p.purge] = true
				list = append(list, p.purge)
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), RequestTimeout)
		err := r.commitPurges(ctx, list)
		cancel()
		for _, p := range batch {
			p.done <- err
		}
	}
}

// commitPurges has purges decided. One decided twice does no harm, so what is
// unclear is simply proposed again.
func (r *Server) commitPurges(ctx context.Context, list []distribution.Purge) error {
	// Its version and event id are those of its position; see rowAt.
	n, err := outbox.NewNotification("", outbox.AggregatePurges, 0, 0, len(list))
	if err != nil {
		return err
	}
	for {
		ok, err := r.host.Propose(ctx, schema.MetaCell, paxos.Txn{Ops: []paxos.Op{
			{Kind: paxos.OpAppend, Key: schema.PurgeKeyPrefix, Value: schema.MustEncode(list)},
			{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: schema.MustEncode(outbox.Row{Notification: n})}}})
		if ok && err == nil {
			r.log.Info(logging.PurgeCommitted).Int("recalls", len(list)).Msg("purges taken")
			return nil
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			if err == nil {
				err = replicahost.ErrBusy
			}
			return err
		}
	}
}

// SetPurges takes the recalls of the exchange cell. Those already held are
// not decoded again.
func (b *Distributor) SetPurges(m *paxos.Replica) {
	b.mu.Lock()
	defer b.mu.Unlock()
	floor := uint64(0)
	if v, ok := m.Get(schema.PurgeCompactedKey); ok && v.Int != nil {
		floor = v.Int.Uint64()
	}
	moved := false
	if floor > b.purgeLowWatermark {
		b.purgeLowWatermark = floor
		b.purgePosition = max(b.purgePosition, floor)
		at := sort.Search(len(b.purges), func(i int) bool { return b.purges[i].LogIndex > floor })
		b.purges = append([]distribution.Purge(nil), b.purges[at:]...)
	}
	held := b.purgePosition
	for _, k := range m.KeysWithPrefix(schema.PurgeKeyPrefix, purgeKeyAfter(held)) {
		var list []distribution.Purge
		v, _ := m.Get(k)
		if rpc.Unmarshal(v.Bytes, &list) != nil {
			continue
		}
		pos := schema.LogIndexOfKey(k, schema.PurgeKeyPrefix)
		for _, rec := range list {
			rec.LogIndex = pos
			b.purges = append(b.purges, rec)
		}
		b.purgePosition = max(b.purgePosition, pos)
		moved = true
	}
	if moved {
		b.notifyLocked()
	}
}

func purgeKeyAfter(pos uint64) string { return paxos.AppendedKey(schema.PurgeKeyPrefix, pos+1, "") }

// addPurgesLocked adds the recalls that the caller lacks.
func (b *Distributor) addPurgesLocked(h distribution.HeldVersions, n *distribution.Update) {
	if b.purgePosition <= h.PurgeIndex {
		return
	}
	rs := &distribution.PurgeUpdate{LogIndex: b.purgePosition, Reset: h.PurgeIndex < b.purgeLowWatermark}
	at := sort.Search(len(b.purges), func(i int) bool { return b.purges[i].LogIndex > h.PurgeIndex })
	rs.Purges = b.purges[at:len(b.purges):len(b.purges)]
	n.Purges = rs
}

// sweepPurges forgets recalls that no copy can predate any more: this node's own
// steady clock saw each of them for longer than any copy may be kept.
func (r *Server) sweepPurges(first map[string]time.Time) {
	keep := minPurgeRetention
	var keys []string
	var held paxos.Value
	var known bool
	if !r.viewMetaCell(func(m *paxos.Replica) {
		keys = m.KeysWithPrefix(schema.PurgeKeyPrefix, schema.PurgeKeyPrefix)
		held, known = m.Get(schema.PurgeCompactedKey)
	}) {
		return
	}
	now := time.Now()
	if len(keys) > 0 && now.Sub(first[keys[0]]) > keep && !first[keys[0]].IsZero() {
		if cfg := r.committedConfiguration(); cfg != nil {
			for i := range cfg.Routes {
				keep = max(keep, 2*cfg.Routes[i].CacheTTL()+minPurgeRetention)
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
		r.propose(schema.MetaCell, ForgetPurgesTxn(held, known, old))
	}
}

// ForgetPurgesTxn forgets recalls, in order of position, and raises the floor from where it is
// held: one that is late would lower it, and a node that lacks what was forgotten would
// not be told.
func ForgetPurgesTxn(held paxos.Value, known bool, old []string) (t paxos.Txn) {
	cond := paxos.Condition{Key: schema.PurgeCompactedKey, Absent: true}
	if known {
		cond = paxos.Condition{Key: schema.PurgeCompactedKey, Equals: held}
	}
	t.Conditions = []paxos.Condition{cond}
	for _, k := range old {
		t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpDelete, Key: k})
	}
	t.Ops = append(t.Ops, paxos.Op{Kind: paxos.OpPut, Key: schema.PurgeCompactedKey, Value: schema.UintValue(schema.LogIndexOfKey(old[len(old)-1], schema.PurgeKeyPrefix))})
	return t
}
