package reconcile

import (
	"context"
	"maps"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// minPurgeRetention is the minimum time for which purges are kept.
const minPurgeRetention = 60 * time.Second

// purgeCompactor removes a purge once every response that was cached before it has expired. It
// measures the age of a purge with this node's monotonic clock.
type purgeCompactor struct {
	cells     committer
	firstSeen map[string]time.Time // by key
}

func newPurgeCompactor(cells committer) *purgeCompactor {
	return &purgeCompactor{cells: cells, firstSeen: map[string]time.Time{}}
}

// compact removes the expired purges and raises the low watermark.
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
		retention = c.retention() // only if a purge may have expired: it parses the configuration
	}
	var expired []string
	for _, key := range keys {
		if now.Sub(c.firstSeen[key]) > retention {
			expired = append(expired, key)
		}
	}
	if len(expired) > 0 {
		c.cells.commit(ctx, schema.MetaCell, CompactPurgesTxn(lowWatermark, exists, expired))
	}
}

// observe updates firstSeen for the current keys.
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

// retention returns how long purges are kept: minPurgeRetention plus twice the longest cache
// TTL of any route in the committed configuration.
func (c *purgeCompactor) retention() time.Duration {
	retention := minPurgeRetention
	var raw []byte
	c.cells.View(schema.MetaCell, func(replica *paxos.Replica) {
		_, raw = schema.ReadConfig(replica)
	})
	configuration, err := routing.Parse(raw)
	if err != nil {
		return retention // no configuration is committed
	}
	for i := range configuration.Routes {
		retention = max(retention, 2*configuration.Routes[i].CacheTTL()+minPurgeRetention)
	}
	return retention
}

// CompactPurgesTxn returns the transaction that removes purges, given their keys in order of log
// index, and raises the low watermark to the last of them. Its condition is that the watermark
// is unchanged. Otherwise a delayed transaction could lower the watermark, and a node that lacks
// removed purges would not detect that it lacks them.
func CompactPurgesTxn(lowWatermark paxos.Value, exists bool, keys []string) (txn paxos.Txn) {
	txn.Conditions = []paxos.Condition{schema.UnchangedCondition(schema.PurgeCompactedKey, lowWatermark, exists)}
	for _, key := range keys {
		txn.Ops = append(txn.Ops, schema.DeleteOp(key))
	}
	last := schema.LogIndexOfKey(keys[len(keys)-1], schema.PurgeKeyPrefix)
	txn.Ops = append(txn.Ops, schema.PutValueOp(schema.PurgeCompactedKey, schema.UintValue(last)))
	return txn
}
