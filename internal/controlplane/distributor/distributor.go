// Package distributor hands out to nodes what they need of the control plane's state: the
// configuration, the endpoint list, ejection marks, the node list, purges and notifications.
//
// A Distributor holds all of it, ready to be sent. The control plane sets what has changed,
// and each node asks by long poll (see LongPoll) for what it lacks, which it says by the
// versions that it holds. Each part keeps its own versions, in a file of its own.
package distributor

import (
	"sync"
	"time"

	"comethold/internal/distribution"
	"comethold/internal/paxos"
	"comethold/internal/routing"
)

// nodePublishInterval is how often at most changes of the node list are published: when
// all nodes start, each of them would be sent every other.
const nodePublishInterval = 300 * time.Millisecond

// Options are what a Distributor is made from.
type Options struct {
	// SavedEndpoints is the endpoint list of this node's former incarnation, or nil. It
	// serves until a newer one comes.
	SavedEndpoints *distribution.EndpointList
	// SaveEndpoints is called with each newer list; it must not wait. It may be nil.
	SaveEndpoints func(*distribution.EndpointList)
}

// Distributor is what this control node can send to nodes. It is safe for concurrent use.
type Distributor struct {
	saveEndpoints func(*distribution.EndpointList)

	mu sync.Mutex // guards the fields below

	configurations configurationHistory
	endpoints      endpointTable
	marks          markTable
	nodes          nodeTable
	purges         purgeLog
	notifications  notificationLog

	// changed is closed and renewed whenever one of the parts has changed.
	changed chan struct{}
	// encoded holds updates by what their callers hold: after a change all nodes of a zone
	// lack the same, so it is worked out, encoded and compressed once.
	encoded map[string]*EncodedUpdate
	// publishTimer is set while the newest node list waits to be published.
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

// Close ends what the Distributor does by itself.
func (d *Distributor) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.publishTimer != nil {
		d.publishTimer.Stop()
	}
}

// notifyLocked wakes those who wait for a change.
func (d *Distributor) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
	clear(d.encoded)
}

// SetConfiguration takes a committed configuration and reports whether it is new. It may be
// called from several goroutines; of two configurations the newer stays.
func (d *Distributor) SetConfiguration(version uint64, raw []byte) bool {
	if latest := d.LatestConfiguration(); version == 0 || latest != nil && latest.Version >= version {
		return false
	}
	configuration, err := routing.Decode(raw)
	if err != nil || configuration.Version != version {
		return false // it was checked before it was committed
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

// SetEndpoints takes an endpoint list if it is newer, and returns the revision that is held
// after that.
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

// SetMarks takes the ejection marks of an index.
func (d *Distributor) SetMarks(marks distribution.EjectionMarks) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marks.set(marks) {
		d.notifyLocked()
	}
}

// DropMarks forgets the marks of an index that is removed.
func (d *Distributor) DropMarks(indexName string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.marks.drop(indexName) {
		d.notifyLocked()
	}
}

// SetNodes takes the node list as of a log index. It is published at once, or with the
// changes that follow within nodePublishInterval.
func (d *Distributor) SetNodes(logIndex uint64, nodes []distribution.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isAwaited := d.nodes.set(logIndex, nodes)
	wait := nodePublishInterval - time.Since(d.nodes.publishedAt)
	if wait <= 0 {
		d.publishNodesLocked()
	} else if !isAwaited {
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

// SetPurges takes the purges of the meta cell's state that it doesn't hold yet, and forgets
// those that the state has compacted.
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

// AddNotifications takes those notifications that are new, all at once.
func (d *Distributor) AddNotifications(notifications []distribution.OutboxNotification) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.notifications.add(notifications) {
		d.notifyLocked()
	}
}
