package reconcile

import (
	"context"
	"maps"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// minPurgeRetention is how long purges are kept at least.
const minPurgeRetention = 60 * time.Second

// purgeCompactor drops purges that no cached response can predate any more: this node's own
// monotonic clock saw each of them for longer than any response may be cached.
type purgeCompactor struct {
	cells     committer
	firstSeen map[string]time.Time // by key
}

func newPurgeCompactor(cells committer) *purgeCompactor {
	return &purgeCompactor{cells: cells, firstSeen: map[string]time.Time{}}
}

func (c *purgeCompactor) compact(ctx context.Context) {
	var keys []string // in order of log index
	var lowWatermark paxos.Value
	var exists bool
	found := c.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		keys = replica.KeysWithPrefix(schema.PurgeKeyPrefix, schema.PurgeKeyPrefix)
		lowWatermark, exists = replica.Get(schema.PurgeCompactedKey)
	})
	if !found {
		return
	}
	now := time.Now()
	c.observe(keys, now)
	retention := minPurgeRetention
	if len(keys) > 0 && now.Sub(c.firstSeen[keys[0]]) > retention {
		retention = c.retention() // the configuration is parsed only if it may matter
	}
	var expired []string
	for _, key := range keys {
		if now.Sub(c.firstSeen[key]) > retention {
			expired = append(expired, key)
		}
	}
	if len(expired) > 0 {
		c.cells.commit(ctx, schema.MetaCell, ForgetPurgesTxn(lowWatermark, exists, expired))
	}
}

// observe notes when keys were seen first, and forgets those that are gone.
func (c *purgeCompactor) observe(keys []string, now time.Time) {
	exists := map[string]bool{}
	for _, key := range keys {
		exists[key] = true
		if _, isKnown := c.firstSeen[key]; !isKnown {
			c.firstSeen[key] = now
		}
	}
	maps.DeleteFunc(c.firstSeen, func(key string, _ time.Time) bool { return !exists[key] })
}

// retention is how long purges are kept by the committed configuration: twice as long as any
// of its routes lets responses be cached, and minPurgeRetention.
func (c *purgeCompactor) retention() time.Duration {
	retention := minPurgeRetention
	var raw []byte
	c.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		_, raw = schema.ReadConfig(replica)
	})
	configuration, err := routing.Parse(raw)
	if err != nil {
		return retention // none is committed
	}
	for i := range configuration.Routes {
		retention = max(retention, 2*configuration.Routes[i].CacheTTL()+minPurgeRetention)
	}
	return retention
}

// ForgetPurgesTxn drops purges, by their keys in order of log index, and raises the low
// watermark from where it was read. One that is late would lower it, and a node that lacks
// what was dropped would not notice; it finds another watermark there, and changes nothing.
func ForgetPurgesTxn(lowWatermark paxos.Value, exists bool, keys []string) (txn paxos.Txn) {
	txn.Conditions = []paxos.Condition{schema.UnchangedCondition(schema.PurgeCompactedKey, lowWatermark, exists)}
	for _, key := range keys {
		txn.Ops = append(txn.Ops, schema.DeleteOp(key))
	}
	last := schema.LogIndexOfKey(keys[len(keys)-1], schema.PurgeKeyPrefix)
	txn.Ops = append(txn.Ops, schema.PutValueOp(schema.PurgeCompactedKey, schema.UintValue(last)))
	return txn
}
