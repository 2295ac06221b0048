// Package distributor sends nodes the parts of the control plane's state that they need: the
// configuration, the endpoint list, ejection marks, the node list, purges and notifications.
//
// A Distributor holds all parts in memory. The control plane sets the parts that change. Each
// node requests updates by long poll (see LongPoll); its request contains the versions that it
// holds. Each part has its own versions and its own file.
package distributor

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// nodePublishInterval is the minimum time between two publications of the node list. Without
// it, when all nodes start at once, every node would receive an update for each other node.
const nodePublishInterval = 300 * time.Millisecond

// Options configures a Distributor.
type Options struct {
	// SavedEndpoints is the endpoint list that this node saved before its last restart, or
	// nil. It is used until a newer list is set.
	SavedEndpoints *distribution.EndpointList
	// SaveEndpoints is called with each newer list while the lock is held; it must not block.
	// It may be nil.
	SaveEndpoints func(*distribution.EndpointList)
}

// Distributor holds the state that this control node sends to nodes. It is safe for concurrent
// use.
type Distributor struct {
	saveEndpoints func(*distribution.EndpointList)

	mu sync.Mutex // guards the fields below

	configurations configurationHistory
	endpoints      endpointTable
	marks          markTable
	nodes          nodeTable
	purges         purgeLog
	notifications  notificationLog

	// changed is closed and replaced whenever a part changes.
	changed chan struct{}
	// encoded caches updates by updateKey until the next change: all nodes of a zone usually
	// need the same update, so it is encoded and compressed once.
	encoded map[string]*EncodedUpdate
	// publishTimer publishes the newest node list after nodePublishInterval.
	publishTimer *time.Timer
}

// New returns a Distributor.
func New(options Options) *Distributor {
	d := &Distributor{
		saveEndpoints: options.SaveEndpoints,
		marks:         newMarkTable(),
		notifications: newNotificationLog(),
		changed:       make(chan struct{}),
		encoded:       map[string]*EncodedUpdate{},
	}
	if options.SavedEndpoints != nil {
		d.endpoints.set(options.SavedEndpoints)
	}
	return d
}

// Close stops the timer that publishes the node list.
func (d *Distributor) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.publishTimer != nil {
		d.publishTimer.Stop()
	}
}

// notifyLocked wakes long polls after a change.
func (d *Distributor) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
	clear(d.encoded)
}

// SetConfiguration sets a committed configuration if it is newer than the current one, and
// reports whether it is. Concurrent calls may come in any order.
func (d *Distributor) SetConfiguration(version uint64, raw []byte) bool {
	if latest := d.LatestConfiguration(); version == 0 || latest != nil && latest.Version >= version {
		return false
	}
	configuration, err := routing.Decode(raw)
	if err != nil || configuration.Version != version {
		return false // can't happen: the configuration was validated before it was committed
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configurations.add(configuration) {
		return false
	}
	d.notifyLocked()
	return true
}

// LatestConfiguration returns the newest configuration, or nil if there is none. Callers must
// not change it.
func (d *Distributor) LatestConfiguration() *routing.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configurations.latest()
}

// SetEndpoints sets the endpoint list if it is newer than the current one, and returns the
// revision of the list that is then current.
func (d *Distributor) SetEndpoints(list *distribution.EndpointList) distribution.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endpoints.set(list) {
		if d.saveEndpoints != nil {
			d.saveEndpoints(list)
		}
		d.notifyLocked()
	}
	return d.endpoints.list.Revision
}

// Endpoints returns the endpoint list, or nil if there is none. Callers must not change it.
func (d *Distributor) Endpoints() *distribution.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints.list
}

// EndpointsRevision returns the revision of the endpoint list, or the zero revision if there is
// none.
func (d *Distributor) EndpointsRevision() distribution.Revision {
	if list := d.Endpoints(); list != nil {
		return list.Revision
	}
	return distribution.Revision{}
}

// SetMarks sets the ejection marks of an index.
func (d *Distributor) SetMarks(marks distribution.EjectionMarks) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marks.set(marks) {
		d.notifyLocked()
	}
}

// DropMarks removes the marks of an index that was removed.
func (d *Distributor) DropMarks(indexName string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marks.drop(indexName) {
		d.notifyLocked()
	}
}

// SetNodes sets the node list as of a log index. The list is published at once if
// nodePublishInterval has passed since the last publication. Otherwise it is published at the
// end of the interval, together with any later changes.
func (d *Distributor) SetNodes(logIndex uint64, nodes []distribution.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wasPending := d.nodes.set(logIndex, nodes)
	wait := nodePublishInterval - time.Since(d.nodes.publishedAt)
	if wait <= 0 {
		d.publishNodesLocked()
	} else if !wasPending {
		d.publishTimer = time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.publishNodesLocked()
		})
	}
}

func (d *Distributor) publishNodesLocked() {
	if d.nodes.publish(time.Now()) {
		d.notifyLocked()
	}
}

// Nodes returns the newest node list by name. Callers must not change it.
func (d *Distributor) Nodes() map[string]distribution.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.nodes.byName
}

// ControlAddresses returns the addresses of all control nodes in the node list, including those
// that are down.
func (d *Distributor) ControlAddresses() (addresses []string) {
	for _, node := range d.Nodes() {
		if node.ControlPlane {
			addresses = append(addresses, node.Addr)
		}
	}
	return addresses
}

// SetPurges adds the new purges in the meta cell's state, and removes those that the meta cell
// has compacted.
func (d *Distributor) SetPurges(replica *paxos.Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.purges.read(replica) {
		d.notifyLocked()
	}
}

// PurgeLogIndex returns the log index up to which this node has read the purges.
func (d *Distributor) PurgeLogIndex() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.purges.readIndex
}

// AddNotifications adds those notifications that are new. Nodes receive them in one update.
func (d *Distributor) AddNotifications(notifications []distribution.OutboxNotification) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.notifications.add(notifications) {
		d.notifyLocked()
	}
}
