package controlplane

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
	"comethold/internal/routing"
	"comethold/internal/rpc"
)

// Distributor is what this registrar can tell the nodes it feeds, ready to hand out.
type Distributor struct {
	mu               sync.Mutex
	changed          chan struct{}            // closed and renewed whenever something changes
	configurations   []*routing.Configuration // the last few, newest last
	endpoints        *distribution.EndpointList
	endpointHistory  distribution.DeltaTable[distribution.Endpoint]
	persistEndpoints func(*distribution.EndpointList) // stores a new list for the next start
	marks            map[string]distribution.EjectionMarks
	markDigests      markDigests
	nodeHistory      distribution.DeltaTable[distribution.Node]
	nodesByName      map[string]distribution.Node // the directory by name; never changed, only replaced
	servingNodes     int                          // nodes that serve clients and are not down

	nodesPublishedAt time.Time     // when nodes last moved
	pendingNodes     *nodeSnapshot // the directory that nodes will hold next

	purges            []distribution.Purge // in order
	purgePosition     uint64               // of the newest recall
	purgeLowWatermark uint64               // recalls up to here are forgotten

	notifications            []distribution.OutboxNotification // in order; never changed, only replaced
	notificationLowWatermark uint64                            // those up to here are not told any more
	notificationBaseVersions map[string]uint64                 // by aggregate: the newest version told

	// encodedUpdates holds answers by what their callers have: after a change all of a zone
	// lack the same, so it is worked out, encoded and compressed once.
	encodedUpdates map[string]*EncodedUpdate
}

type nodeSnapshot struct {
	index   uint64
	byName  map[string]distribution.Node
	serving int
}

// EncodedUpdate is an answer ready to be sent; without news it is empty.
type EncodedUpdate struct {
	Body  []byte
	Empty bool
}

const (
	maxConfigurations = 4
	// nodePublishInterval is how often the nodes are told of changes of the directory: at a
	// start of all, each of them would hear of every other.
	nodePublishInterval = 300 * time.Millisecond
)

func NewDistributor() *Distributor {
	return &Distributor{changed: make(chan struct{}), persistEndpoints: func(*distribution.EndpointList) {}, marks: map[string]distribution.EjectionMarks{}, encodedUpdates: map[string]*EncodedUpdate{}, notificationBaseVersions: map[string]uint64{}}
}

func (b *Distributor) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
	clear(b.encodedUpdates)
}

// SetConfiguration takes a configuration that a cell holds and reports whether it is new. The
// cells don't wait for it to be read; of two the newer stays.
func (b *Distributor) SetConfiguration(version uint64, raw []byte) bool {
	if last := b.LatestConfiguration(); version == 0 || last != nil && last.Version >= version {
		return false
	}
	c, err := routing.Decode(raw)
	if err != nil || c.Version != version {
		return false // it was checked when it was taken
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.configurations); n > 0 && b.configurations[n-1].Version >= version {
		return false
	}
	b.configurations = append(b.configurations, c)
	if len(b.configurations) > maxConfigurations {
		b.configurations = append([]*routing.Configuration(nil), b.configurations[1:]...)
	}
	b.notifyLocked()
	return true
}

// LatestConfiguration returns the newest configuration held, or nil.
func (b *Distributor) LatestConfiguration() *routing.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.configurations); n > 0 {
		return b.configurations[n-1]
	}
	return nil
}

// SetEndpoints takes a list if it is newer and reports which stamp is held now.
func (b *Distributor) SetEndpoints(l *distribution.EndpointList) distribution.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endpoints == nil || b.endpoints.Revision.Less(l.Revision) {
		b.endpoints = l
		all := make(map[string]distribution.Endpoint, len(l.Endpoints))
		for _, leaf := range l.Endpoints {
			all[leaf.ID] = leaf
		}
		b.endpointHistory.Set(l.Revision, all)
		b.persistEndpoints(l)
		b.notifyLocked()
	}
	return b.endpoints.Revision
}

// EndpointsVersion is that of the list held, or zero.
func (b *Distributor) EndpointsVersion() distribution.Revision {
	if l := b.Endpoints(); l != nil {
		return l.Revision
	}
	return distribution.Revision{}
}

func (b *Distributor) Endpoints() *distribution.EndpointList {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoints
}

// markDigests knows what the sums of marks stand for that callers name: those of this
// board's own last states, and of what callers have told.
type markDigests struct {
	current  uint64
	versions map[uint64]map[string]uint64
	order    []uint64 // oldest first
}

// maxMarkDigests bounds the sums that are known.
const maxMarkDigests = 64

func (m *markDigests) remember(sum uint64, slots map[string]uint64) {
	if m.versions == nil {
		m.versions = map[uint64]map[string]uint64{}
	}
	if _, ok := m.versions[sum]; ok {
		return
	}
	m.versions[sum] = slots
	if m.order = append(m.order, sum); len(m.order) > maxMarkDigests {
		delete(m.versions, m.order[0])
		m.order = m.order[1:]
	}
}

// marksChangedLocked notes what this board holds now.
func (b *Distributor) marksChangedLocked() {
	slots := make(map[string]uint64, len(b.marks))
	for ix, m := range b.marks {
		slots[ix] = m.LogIndex
	}
	b.markDigests.current = distribution.MarksDigest(slots)
	b.markDigests.remember(b.markDigests.current, slots)
	b.notifyLocked()
}

func (b *Distributor) SetMarks(m distribution.EjectionMarks) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.marks[m.IndexName]
	if ok {
		slot := m.LogIndex
		m.LogIndex = old.LogIndex
		if schema.EqualEncoding(old, m) {
			return
		}
		m.LogIndex = slot
	}
	b.marks[m.IndexName] = m
	b.marksChangedLocked()
}

func (b *Distributor) DropMarks(index string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.marks[index]; ok {
		delete(b.marks, index)
		b.marksChangedLocked()
	}
}

func (b *Distributor) SetNodes(slot uint64, all []distribution.Node) {
	next := &nodeSnapshot{index: slot, byName: make(map[string]distribution.Node, len(all))}
	for _, n := range all {
		next.byName[n.Name] = n
		if n.ServesClients() && !n.Down {
			next.serving++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodesByName = next.byName
	waits := b.pendingNodes != nil
	b.pendingNodes = next
	if wait := nodePublishInterval - time.Since(b.nodesPublishedAt); wait > 0 {
		if !waits {
			time.AfterFunc(wait, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.publishNodesLocked()
			})
		}
		return
	}
	b.publishNodesLocked()
}

// publishNodesLocked lets the nodes have the newest directory.
func (b *Distributor) publishNodesLocked() {
	next := b.pendingNodes
	if next == nil {
		return
	}
	b.pendingNodes = nil
	if b.nodeHistory.Set(distribution.Revision{Sequence: next.index}, next.byName) {
		b.servingNodes, b.nodesPublishedAt = next.serving, time.Now()
		b.notifyLocked()
	}
}

// Nodes returns the directory of nodes by name. Callers must not change it.
func (b *Distributor) Nodes() map[string]distribution.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodesByName
}

// ControlAddresses lists the addresses of those in the directory, down or not.
func (b *Distributor) ControlAddresses() (out []string) {
	for _, n := range b.Nodes() {
		if n.ControlPlane {
			out = append(out, n.Addr)
		}
	}
	return out
}

// Update returns, ready to be sent, what the caller lacks, and a channel that
// closes at the next change.
func (b *Distributor) Update(call *distribution.UpdateRequest, stale bool) (*EncodedUpdate, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := updateKey(call, stale)
	t := b.encodedUpdates[key]
	if t == nil {
		news := b.updateLocked(call)
		t = &EncodedUpdate{Empty: news.Empty()}
		news.Stale = stale
		if raw, err := rpc.Marshal(&news); err == nil {
			t.Body = rpc.EncodeBody(raw)
		}
		b.encodedUpdates[key] = t
	}
	return t, b.changed
}

// updateKey is the same for callers that lack the same.
func updateKey(call *distribution.UpdateRequest, stale bool) string {
	h := &call.Held
	k := fmt.Sprint(stale, call.Node.Zone, h.ConfigVersion, h.EndpointRevision, h.NodesIndex, h.DataPlaneCount, h.PurgeIndex, h.NotificationIndex, h.MarksDigest, h.MarkIndexes != nil)
	for _, ix := range slices.Sorted(maps.Keys(h.MarkIndexes)) {
		k += fmt.Sprint(" ", ix, "=", h.MarkIndexes[ix])
	}
	return k
}

// addMarksLocked adds the marks that the caller lacks.
func (b *Distributor) addMarksLocked(h distribution.HeldVersions, n *distribution.Update) {
	held, known := h.MarkIndexes, h.MarkIndexes != nil || h.MarksDigest == 0
	switch {
	case h.MarkIndexes != nil:
		b.markDigests.remember(h.MarksDigest, h.MarkIndexes)
	case h.MarksDigest == b.markDigests.current:
		return
	case !known:
		if held, known = b.markDigests.versions[h.MarksDigest]; !known {
			n.NeedMarkIndexes = true
			return
		}
	}
	for ix, m := range b.marks {
		if slot, ok := held[ix]; !ok || slot < m.LogIndex {
			n.EjectionMarks = append(n.EjectionMarks, m)
		}
	}
	for ix := range held {
		if _, ok := b.marks[ix]; !ok && len(b.marks) > 0 {
			n.RemovedIndexes = append(n.RemovedIndexes, ix)
		}
	}
}

// updateLocked collects what the caller lacks.
func (b *Distributor) updateLocked(call *distribution.UpdateRequest) distribution.Update {
	h := call.Held
	var n distribution.Update
	if k := len(b.configurations); k > 0 && b.configurations[k-1].Version > h.ConfigVersion {
		last := b.configurations[k-1]
		n.Config = distribution.FullConfig(last)
		for _, c := range b.configurations[:k-1] {
			if c.Version == h.ConfigVersion {
				n.Config = distribution.ConfigDelta(c, last)
			}
		}
	}
	if b.endpoints != nil && h.EndpointRevision.Less(b.endpoints.Revision) {
		l := &distribution.EndpointList{Revision: b.endpoints.Revision, Base: h.EndpointRevision}
		l.Endpoints, l.Removed, l.Delta = b.endpointHistory.ChangesSince(h.EndpointRevision, func(distribution.Endpoint) bool { return true })
		n.Endpoints = l
	}
	b.addMarksLocked(h, &n)
	if at := b.nodeHistory.Revision().Sequence; b.nodeHistory.Len() > 0 && at > h.NodesIndex {
		ns := &distribution.NodeList{LogIndex: at, DataPlaneCount: b.servingNodes, Base: h.NodesIndex}
		ns.Nodes, ns.Removed, ns.Delta = b.nodeHistory.ChangesSince(distribution.Revision{Sequence: h.NodesIndex}, func(n distribution.Node) bool {
			return !n.ServesClients() || n.Zone == call.Node.Zone
		})
		if !ns.Delta || len(ns.Nodes)+len(ns.Removed) > 0 || ns.DataPlaneCount != h.DataPlaneCount {
			n.Nodes = ns
		}
	}
	b.addPurgesLocked(h, &n)
	b.addNotificationsLocked(h, &n)
	return n
}
