package operatorapi

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"comethold/internal/controlplane/batching"
	"comethold/internal/controlplane/replicahost"
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/logging"
	"comethold/internal/outbox"
	"comethold/internal/paxos"
)

// Limits of the purge queue. The reasons for these values are in docs/design.md.
const (
	maxPurgeBatch     = 512
	purgeQueueLength  = 4096
	purgeRetryBackoff = 20 * time.Millisecond
)

var errInvalidPurge = errors.New("a purge names hostname and path, or label, and not both")

// purgeRequest is the body of a purge: a host and path, or a label.
type purgeRequest struct {
	Hostname string `json:"hostname"`
	Path     string `json:"path"`
	Label    string `json:"label"`
}

func parsePurge(raw []byte) (distribution.Purge, error) {
	var request purgeRequest
	if err := json.Unmarshal(raw, &request); err != nil {
		return distribution.Purge{}, err
	}
	hasPath := request.Hostname != "" && strings.HasPrefix(request.Path, "/")
	hasLabelOnly := request.Label != "" && request.Hostname == "" && request.Path == ""
	switch {
	case hasLabelOnly && !strings.ContainsAny(request.Label, " \t"):
		return distribution.Purge{Label: request.Label}, nil
	case hasPath && request.Label == "":
		return distribution.Purge{Host: strings.ToLower(request.Hostname), Path: request.Path}, nil
	}
	return distribution.Purge{}, errInvalidPurge
}

// purgeQueue commits purges in batches: purges that arrive while a batch is being committed
// form the next one, so that a burst needs few log entries.
type purgeQueue struct {
	cells    Cells
	log      *logging.Logger
	pending  chan *pendingPurge
	stopping chan struct{} // closed when the context of run is done
}

type pendingPurge struct {
	purge distribution.Purge
	done  chan error // receives the outcome of the batch; buffered
}

func newPurgeQueue(cells Cells, log *logging.Logger) *purgeQueue {
	return &purgeQueue{
		cells:    cells,
		log:      log,
		pending:  make(chan *pendingPurge, purgeQueueLength),
		stopping: make(chan struct{}),
	}
}

// submit queues a purge and waits until it is committed. It returns replicahost.ErrBusy if
// the queue is full, and replicahost.ErrOutcomeUnknown if ctx is done or the queue stops
// before the outcome is known.
func (q *purgeQueue) submit(ctx context.Context, purge distribution.Purge) error {
	pending := &pendingPurge{purge: purge, done: make(chan error, 1)}
	select {
	case q.pending <- pending:
	default:
		return replicahost.ErrBusy
	}
	select {
	case err := <-pending.done:
		return err
	case <-ctx.Done():
	case <-q.stopping:
	}
	return replicahost.ErrOutcomeUnknown
}

// run commits batches until ctx is done. Then it completes the current batch, but blocked
// calls of submit return immediately.
func (q *purgeQueue) run(ctx context.Context) {
	context.AfterFunc(ctx, func() { close(q.stopping) })
	for {
		var batch []*pendingPurge
		select {
		case pending := <-q.pending:
			batch = append(batch, pending)
		case <-ctx.Done():
			return
		}
		batch = batching.Drain(q.pending, batch, maxPurgeBatch)
		batchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		err := q.commit(batchCtx, distinctPurges(batch))
		cancel()
		for _, pending := range batch {
			pending.done <- err
		}
	}
}

// distinctPurges lists the purges of a batch in order, each once.
func distinctPurges(batch []*pendingPurge) []distribution.Purge {
	seen := map[distribution.Purge]bool{}
	var purges []distribution.Purge
	for _, pending := range batch {
		if !seen[pending.purge] {
			seen[pending.purge] = true
			purges = append(purges, pending.purge)
		}
	}
	return purges
}

// commit commits purges and retries until ctx is done. A retry after an unknown outcome is
// safe because purges are idempotent.
func (q *purgeQueue) commit(ctx context.Context, purges []distribution.Purge) error {
	// The notification gets its version and event ID from its log index; see schema.DecodeRow.
	notification, err := outbox.Notification{Aggregate: outbox.AggregatePurges}.WithPayload(len(purges))
	if err != nil {
		return err
	}
	txn := paxos.Txn{Ops: []paxos.Op{
		{Kind: paxos.OpAppend, Key: schema.PurgeKeyPrefix, Value: schema.MustEncode(purges)},
		{Kind: paxos.OpAppend, Key: schema.OutboxKeyPrefix, Value: schema.MustEncode(outbox.Row{Notification: notification})},
	}}
	for {
		committed, err := q.cells.Propose(ctx, schema.MetaCell, txn)
		if committed && err == nil {
			q.log.Info(logging.PurgeCommitted).Int("purges", len(purges)).Msg("purges committed")
			return nil
		}
		select {
		case <-time.After(purgeRetryBackoff):
		case <-ctx.Done():
			if err == nil {
				err = replicahost.ErrBusy
			}
			return err
		}
	}
}
