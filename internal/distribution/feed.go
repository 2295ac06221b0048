// Package feed holds what registrars tell switches: the configuration, the
// list of leafs, the marks of the index cells and the directory of nodes. Each
// part carries a version, and a holder only ever moves to a higher one.
package distribution

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"

	"comethold/internal/outbox"
)

// Revision orders leaf lists: the term of the duty that made it, then its count.
type Revision struct {
	Term     uint64 `cbor:"1,keyasint,omitempty"`
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
}

// Less reports whether s is older than o.
func (s Revision) Less(o Revision) bool {
	if s.Term != o.Term {
		return s.Term < o.Term
	}
	return s.Sequence < o.Sequence
}

// Endpoint is one life of one server of a service.
type Endpoint struct {
	ID        string `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Addr      string `cbor:"3,keyasint"`
	Zone      string `cbor:"4,keyasint"`
	Slots     int    `cbor:"5,keyasint,omitempty"`
	Draining  bool   `cbor:"6,keyasint,omitempty"`
	WarmingUp bool   `cbor:"7,keyasint,omitempty"`
}

// EndpointList is the platform's list at one moment: whole, or as what changed since
// Base, which is of use to holders of that very list alone.
type EndpointList struct {
	Revision  Revision   `cbor:"1,keyasint"`
	Endpoints []Endpoint `cbor:"2,keyasint"`
	Delta     bool       `cbor:"3,keyasint,omitempty"`
	Removed   []string   `cbor:"4,keyasint,omitempty"`
	Base      Revision   `cbor:"5,keyasint,omitempty"`
}

// AppliesTo reports whether a holder of the list at have may take it: nothing is ever
// taken back, and changes only by who holds what they build on.
func (l *EndpointList) AppliesTo(have Revision, listed bool) bool {
	if l.Delta {
		return listed && have == l.Base && have.Less(l.Revision)
	}
	return !listed || have.Less(l.Revision)
}

// EjectionMarks are the leafs that an index cell holds as drained.
type EjectionMarks struct {
	IndexName string                  `cbor:"1,keyasint"`
	LogIndex  uint64                  `cbor:"2,keyasint"`
	Ejected   map[string]EjectionMark `cbor:"3,keyasint,omitempty"`
	Services  []string                `cbor:"4,keyasint,omitempty"`
}

// MarksDigest is what the positions of marks, by index, are compared by; 0 for none.
func MarksDigest(slots map[string]uint64) (sum uint64) {
	for ix, slot := range slots {
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(ix), slot))
		sum ^= h.Sum64()
	}
	return sum
}

// EjectionMark says why a leaf is drained.
type EjectionMark struct {
	Reason   string `cbor:"1,keyasint"`
	Reporter string `cbor:"2,keyasint,omitempty"`
}

// The reasons of marks.
const (
	ReasonDraining     = "list"   // the platform says that it leaves
	ReasonUnresponsive = "silent" // answers late, lost or refused
)

// Node is an entry of the directory of nodes.
type Node struct {
	Name         string `cbor:"1,keyasint"`
	Addr         string `cbor:"2,keyasint"`
	Zone         string `cbor:"3,keyasint"`
	ControlPlane bool   `cbor:"4,keyasint,omitempty"`
	Down         bool   `cbor:"5,keyasint,omitempty"`
	ObjectCache  bool   `cbor:"6,keyasint,omitempty"`
}

// ServesClients reports whether the node takes clients' requests.
func (n Node) ServesClients() bool { return !n.ControlPlane && !n.ObjectCache }

// NodeList is the part of the directory that concerns the caller, after one
// position of the exchange cell: registrars, announcers and the nodes of its
// own zone. Of the rest it learns the number alone.
type NodeList struct {
	LogIndex       uint64   `cbor:"1,keyasint"`
	Nodes          []Node   `cbor:"2,keyasint,omitempty"`
	Delta          bool     `cbor:"3,keyasint,omitempty"`
	Removed        []string `cbor:"4,keyasint,omitempty"`
	DataPlaneCount int      `cbor:"5,keyasint,omitempty"` // all that serve clients and are not down
	Base           uint64   `cbor:"6,keyasint,omitempty"` // of a delta
}

// Purge is one purge: of what a host and path name, or of a label. Its
// position is that of the exchange cell's log.
type Purge struct {
	LogIndex uint64 `cbor:"1,keyasint,omitempty"`
	Host     string `cbor:"2,keyasint,omitempty"`
	Path     string `cbor:"3,keyasint,omitempty"`
	Label    string `cbor:"4,keyasint,omitempty"`
}

// PurgeUpdate are the purges after the position that the caller holds. Reset says
// that some of them are forgotten: nothing kept from before may be used.
type PurgeUpdate struct {
	LogIndex uint64  `cbor:"1,keyasint"`
	Purges   []Purge `cbor:"2,keyasint,omitempty"`
	Reset    bool    `cbor:"3,keyasint,omitempty"`
}

// OutboxNotification is a notice of the outbox, with the position of its row in the exchange cell's
// log.
type OutboxNotification struct {
	LogIndex     uint64              `cbor:"1,keyasint"`
	Notification outbox.Notification `cbor:"2,keyasint"`
}

// NotificationUpdate are those after the position that the caller holds. Reset says that there are
// none to tell from there: what the caller is given of everything else is the state
// after all of them up to Pos.
type NotificationUpdate struct {
	LogIndex      uint64               `cbor:"1,keyasint"`
	Notifications []OutboxNotification `cbor:"2,keyasint,omitempty"`
	Reset         bool                 `cbor:"3,keyasint,omitempty"`
	// BaseVersions, with Reset, holds the newest versions of the aggregates at Pos.
	BaseVersions map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// ShareLease is a node's leased part of every rate that all nodes share, in
// thousandths.
type ShareLease struct {
	Permille int           `cbor:"1,keyasint"`
	Renewals uint64        `cbor:"2,keyasint"`
	Request  RequestNumber `cbor:"3,keyasint,omitzero"` // of the claim that it comes from
}

// RequestNumber numbers the claims of one life of a node, so that one that comes late is known.
type RequestNumber struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Sequence    uint64 `cbor:"2,keyasint"`
}

// NewRequestNumber is that before the first claim of a life.
func NewRequestNumber() RequestNumber { return RequestNumber{Incarnation: rand.Uint64()} }

// Next moves on to the next claim.
func (t *RequestNumber) Next() RequestNumber { t.Sequence++; return *t }

// IsStale reports whether a newer claim than t's has been settled already.
func (t RequestNumber) IsStale(settled RequestNumber) bool {
	return t.Incarnation == settled.Incarnation && t.Sequence < settled.Sequence
}

// ShareRequest asks for the renewal of a share. The asker uses no more than Permille
// from before it asks.
type ShareRequest struct {
	Node     string `cbor:"1,keyasint"`
	Permille int    `cbor:"2,keyasint"`
	// HoldsNone: the asker uses nothing of its share now and takes what is fair.
	HoldsNone bool `cbor:"3,keyasint,omitempty"`
	// Table says which shares are meant.
	Table  ShareTable    `cbor:"4,keyasint,omitempty"`
	Number RequestNumber `cbor:"5,keyasint,omitzero"`
}

// ShareTable names a table of leased shares.
type ShareTable uint8

// The tables: of the rates of services, held by announcers, and of the tenants' quotas,
// held by registrars.
const (
	RateShares ShareTable = iota
	QuotaShares
)

// ShareGrant answers a Claim: what is granted now and what would be fair.
type ShareGrant struct {
	Permille     int  `cbor:"1,keyasint"`
	FairPermille int  `cbor:"2,keyasint"`
	Granted      bool `cbor:"3,keyasint,omitempty"`
	// Uninterrupted: the claimant's share was recorded until now, so nobody else had any of it.
	Uninterrupted bool `cbor:"4,keyasint,omitempty"`
}

// HeldVersions says what a caller already holds.
type HeldVersions struct {
	ConfigVersion     uint64            `cbor:"1,keyasint,omitempty"`
	EndpointRevision  Revision          `cbor:"2,keyasint,omitempty"`
	MarkIndexes       map[string]uint64 `cbor:"3,keyasint,omitempty"`
	NodesIndex        uint64            `cbor:"4,keyasint,omitempty"`
	DataPlaneCount    int               `cbor:"5,keyasint,omitempty"`
	PurgeIndex        uint64            `cbor:"6,keyasint,omitempty"`
	NotificationIndex uint64            `cbor:"7,keyasint,omitempty"`
	// MarksDigest stands for the positions of all marks held; Marks names them only for a
	// while after a registrar said that it does not know what the sum stands for.
	MarksDigest uint64 `cbor:"8,keyasint,omitempty"`
}

// HealthReport is what a switch noticed about a leaf.
type HealthReport struct {
	EndpointID string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Healthy    bool   `cbor:"3,keyasint,omitempty"`
}

// UpdateRequest is what a switch asks.
type UpdateRequest struct {
	Node     Node           `cbor:"1,keyasint"`
	Held     HeldVersions   `cbor:"2,keyasint"`
	Reports  []HealthReport `cbor:"3,keyasint,omitempty"`
	Suspects []string       `cbor:"4,keyasint,omitempty"`
	// Immediate asks for an answer at once, be there news or not.
	Immediate bool `cbor:"5,keyasint,omitempty"`
}

// Update answers a Call with the parts that are newer than what it holds.
type Update struct {
	// Stale says that the sender has lost touch with its cell's majority.
	Stale         bool            `cbor:"1,keyasint,omitempty"`
	Config        *ConfigUpdate   `cbor:"2,keyasint,omitempty"`
	Endpoints     *EndpointList   `cbor:"3,keyasint,omitempty"`
	EjectionMarks []EjectionMarks `cbor:"4,keyasint,omitempty"`
	Nodes         *NodeList       `cbor:"5,keyasint,omitempty"`
	// RemovedIndexes names indexes that are no more.
	RemovedIndexes []string            `cbor:"6,keyasint,omitempty"`
	Purges         *PurgeUpdate        `cbor:"7,keyasint,omitempty"`
	Notifications  *NotificationUpdate `cbor:"8,keyasint,omitempty"`
	// NeedMarkIndexes: the sender can't tell which marks are lacking from their sum.
	NeedMarkIndexes bool `cbor:"9,keyasint,omitempty"`
}

// Empty reports whether there is no news.
func (n *Update) Empty() bool {
	return n.Config == nil && n.Endpoints == nil && len(n.EjectionMarks) == 0 && n.Nodes == nil && len(n.RemovedIndexes) == 0 && n.Purges == nil && n.Notifications == nil && !n.NeedMarkIndexes
}

// EstimatesRequest asks a switch what it knows of lookups: of one service and class, or of
// all where they are empty.
type EstimatesRequest struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Class   string `cbor:"2,keyasint,omitempty"`
}
