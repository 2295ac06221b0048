// Package distributor sends nodes the parts of the control plane's state that they need: the
// configuration, the endpoint list, ejection marks, the node list, purges and notifications.
//
// A Distributor holds all parts in memory. The control plane sets changed parts, and each node
// requests updates by long poll (see LongPoll), naming the versions that it holds. Each part
// has its own versions and its own file.
package distributor

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// nodePublishInterval is the minimal time between two publications of the node list. Without
// it, a start of all nodes would send every node an update for each other node.
const nodePublishInterval = 300 * time.Millisecond

// Options are what a Distributor is made from.
type Options struct {
	// SavedEndpoints is the endpoint list of this node's former incarnation, or nil. It is
	// used until a newer one is set.
	SavedEndpoints *distribution.EndpointList
	// SaveEndpoints is called with each newer list; it must not wait. It may be nil.
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

// New makes a Distributor.
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

// SetConfiguration sets a committed configuration and reports whether it is newer than the one
// held. Concurrent calls may arrive in any order; the newest configuration is kept.
func (d *Distributor) SetConfiguration(version uint64, raw []byte) bool {
	if latest := d.LatestConfiguration(); version == 0 || latest != nil && latest.Version >= version {
		return false
	}
	configuration, err := routing.Decode(raw)
	if err != nil || configuration.Version != version {
		return false // can't happen: it was validated before it was committed
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.configurations.add(configuration) {
		return false
	}
	d.notifyLocked()
	return true
}

// LatestConfiguration returns the newest configuration held, or nil. Callers must not change
// it.
func (d *Distributor) LatestConfiguration() *routing.Configuration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configurations.latest()
}

// SetEndpoints sets the endpoint list if it is newer, and returns the revision that is held
// afterwards.
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

// Endpoints returns the endpoint list, or nil. Callers must not change it.
func (d *Distributor) Endpoints() *distribution.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoints.list
}

// EndpointsRevision returns the revision of the endpoint list, or zero.
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

// SetNodes sets the node list as of a log index. It is published at once, or together with
// later changes once nodePublishInterval has passed.
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

// ControlAddresses lists the addresses of the control nodes of the node list, down or not.
func (d *Distributor) ControlAddresses() (addresses []string) {
	for _, node := range d.Nodes() {
		if node.ControlPlane {
			addresses = append(addresses, node.Addr)
		}
	}
	return addresses
}

// SetPurges adds new purges from the meta cell's state, and removes those that were compacted
// there.
func (d *Distributor) SetPurges(replica *paxos.Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.purges.read(replica) {
		d.notifyLocked()
	}
}

// PurgePosition returns the log index up to which purges are held.
func (d *Distributor) PurgePosition() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.purges.position
}

// AddNotifications adds the notifications that are new in one step.
func (d *Distributor) AddNotifications(notifications []distribution.OutboxNotification) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.notifications.add(notifications) {
		d.notifyLocked()
	}
}
