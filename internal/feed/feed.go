// Package feed holds what registrars tell switches: the configuration, the
// list of leafs, the marks of the index cells and the directory of nodes. Each
// part carries a version, and a holder only ever moves to a higher one.
package feed

import (
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"

	"comethold/internal/notice"
)

// Stamp orders leaf lists: the term of the duty that made it, then its count.
type Stamp struct {
	Term uint64 `cbor:"1,keyasint,omitempty"`
	Rev  uint64 `cbor:"2,keyasint,omitempty"`
}

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	if s.Term != o.Term {
		return s.Term < o.Term
	}
	return s.Rev < o.Rev
}

// Leaf is one life of one server of a service.
type Leaf struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
	Cold     bool   `cbor:"7,keyasint,omitempty"`
}

// List is the platform's list at one moment: whole, or as what changed since
// Base, which is of use to holders of that very list alone.
type List struct {
	Stamp Stamp    `cbor:"1,keyasint"`
	Leafs []Leaf   `cbor:"2,keyasint"`
	Delta bool     `cbor:"3,keyasint,omitempty"`
	Gone  []string `cbor:"4,keyasint,omitempty"`
	Base  Stamp    `cbor:"5,keyasint,omitempty"`
}

// Fits reports whether a holder of the list at have may take it: nothing is ever
// taken back, and changes only by who holds what they build on.
func (l *List) Fits(have Stamp, listed bool) bool {
	if l.Delta {
		return listed && have == l.Base && have.Less(l.Stamp)
	}
	return !listed || have.Less(l.Stamp)
}

// Marks are the leafs that an index cell holds as drained.
type Marks struct {
	Index   string          `cbor:"1,keyasint"`
	Slot    uint64          `cbor:"2,keyasint"`
	Drained map[string]Mark `cbor:"3,keyasint,omitempty"`
	Cut     []string        `cbor:"4,keyasint,omitempty"`
}

// MarksSum is what the positions of marks, by index, are compared by; 0 for none.
func MarksSum(slots map[string]uint64) (sum uint64) {
	for ix, slot := range slots {
		h := fnv.New64a()
		_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(ix), slot))
		sum ^= h.Sum64()
	}
	return sum
}

// Mark says why a leaf is drained.
type Mark struct {
	Why string `cbor:"1,keyasint"`
	By  string `cbor:"2,keyasint,omitempty"`
}

// The reasons of marks.
const (
	WhyList   = "list"   // the platform says that it leaves
	WhySilent = "silent" // answers late, lost or refused
)

// Node is an entry of the directory of nodes.
type Node struct {
	Name    string `cbor:"1,keyasint"`
	Addr    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	Control bool   `cbor:"4,keyasint,omitempty"`
	Down    bool   `cbor:"5,keyasint,omitempty"`
	Cache   bool   `cbor:"6,keyasint,omitempty"`
}

// Serves reports whether the node takes clients' requests.
func (n Node) Serves() bool { return !n.Control && !n.Cache }

// Nodes is the part of the directory that concerns the caller, after one
// position of the exchange cell: registrars, announcers and the nodes of its
// own zone. Of the rest it learns the number alone.
type Nodes struct {
	Slot     uint64   `cbor:"1,keyasint"`
	All      []Node   `cbor:"2,keyasint,omitempty"`
	Delta    bool     `cbor:"3,keyasint,omitempty"`
	Gone     []string `cbor:"4,keyasint,omitempty"`
	Switches int      `cbor:"5,keyasint,omitempty"` // all that serve clients and are not down
	Base     uint64   `cbor:"6,keyasint,omitempty"` // of a delta
}

// Recall is one purge: of what a host and path name, or of a label. Its
// position is that of the exchange cell's log.
type Recall struct {
	Pos   uint64 `cbor:"1,keyasint,omitempty"`
	Host  string `cbor:"2,keyasint,omitempty"`
	Path  string `cbor:"3,keyasint,omitempty"`
	Label string `cbor:"4,keyasint,omitempty"`
}

// Recalls are the purges after the position that the caller holds. Reset says
// that some of them are forgotten: nothing kept from before may be used.
type Recalls struct {
	Pos   uint64   `cbor:"1,keyasint"`
	All   []Recall `cbor:"2,keyasint,omitempty"`
	Reset bool     `cbor:"3,keyasint,omitempty"`
}

// Notice is a notice of the outbox, with the position of its row in the exchange cell's
// log.
type Notice struct {
	Pos    uint64        `cbor:"1,keyasint"`
	Notice notice.Notice `cbor:"2,keyasint"`
}

// Notices are those after the position that the caller holds. Reset says that there are
// none to tell from there: what the caller is given of everything else is the state
// after all of them up to Pos.
type Notices struct {
	Pos   uint64   `cbor:"1,keyasint"`
	All   []Notice `cbor:"2,keyasint,omitempty"`
	Reset bool     `cbor:"3,keyasint,omitempty"`
	// Base, with Reset, holds the newest versions of the aggregates at Pos.
	Base map[string]uint64 `cbor:"4,keyasint,omitempty"`
}

// Share is a node's leased part of every rate that all nodes share, in
// thousandths.
type Share struct {
	Permille int    `cbor:"1,keyasint"`
	Beat     uint64 `cbor:"2,keyasint"`
	Turn     Turn   `cbor:"3,keyasint,omitzero"` // of the claim that it comes from
}

// Turn numbers the claims of one life of a node, so that one that comes late is known.
type Turn struct {
	Life uint64 `cbor:"1,keyasint"`
	N    uint64 `cbor:"2,keyasint"`
}

// NewTurn is that before the first claim of a life.
func NewTurn() Turn { return Turn{Life: rand.Uint64()} }

// Next moves on to the next claim.
func (t *Turn) Next() Turn { t.N++; return *t }

// Late reports whether a newer claim than t's has been settled already.
func (t Turn) Late(settled Turn) bool { return t.Life == settled.Life && t.N < settled.N }

// Claim asks for the renewal of a share. The asker uses no more than Permille
// from before it asks.
type Claim struct {
	Node     string `cbor:"1,keyasint"`
	Permille int    `cbor:"2,keyasint"`
	// Fresh: the asker uses nothing of its share now and takes what is fair.
	Fresh bool `cbor:"3,keyasint,omitempty"`
	// Of says which shares are meant.
	Of   Shares `cbor:"4,keyasint,omitempty"`
	Turn Turn   `cbor:"5,keyasint,omitzero"`
}

// Shares names a table of leased shares.
type Shares uint8

// The tables: of the rates of services, held by announcers, and of the tenants' quotas,
// held by registrars.
const (
	SharesOfRates Shares = iota
	SharesOfQuotas
)

// Grant answers a Claim: what is granted now and what would be fair.
type Grant struct {
	Permille int  `cbor:"1,keyasint"`
	Fair     int  `cbor:"2,keyasint"`
	Granted  bool `cbor:"3,keyasint,omitempty"`
	// Kept: the claimant's share was recorded until now, so nobody else had any of it.
	Kept bool `cbor:"4,keyasint,omitempty"`
}

// Have says what a caller already holds.
type Have struct {
	Config   uint64            `cbor:"1,keyasint,omitempty"`
	List     Stamp             `cbor:"2,keyasint,omitempty"`
	Marks    map[string]uint64 `cbor:"3,keyasint,omitempty"`
	Nodes    uint64            `cbor:"4,keyasint,omitempty"`
	Switches int               `cbor:"5,keyasint,omitempty"`
	Recall   uint64            `cbor:"6,keyasint,omitempty"`
	Notice   uint64            `cbor:"7,keyasint,omitempty"`
	// MarksSum stands for the positions of all marks held; Marks names them only for a
	// while after a registrar said that it does not know what the sum stands for.
	MarksSum uint64 `cbor:"8,keyasint,omitempty"`
}

// Report is what a switch noticed about a leaf.
type Report struct {
	Leaf    string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Well    bool   `cbor:"3,keyasint,omitempty"`
}

// Call is what a switch asks.
type Call struct {
	Node     Node     `cbor:"1,keyasint"`
	Have     Have     `cbor:"2,keyasint"`
	Reports  []Report `cbor:"3,keyasint,omitempty"`
	Suspects []string `cbor:"4,keyasint,omitempty"`
	// Now asks for an answer at once, be there news or not.
	Now bool `cbor:"5,keyasint,omitempty"`
}

// News answers a Call with the parts that are newer than what it holds.
type News struct {
	// Stale says that the sender has lost touch with its cell's majority.
	Stale  bool    `cbor:"1,keyasint,omitempty"`
	Config *Config `cbor:"2,keyasint,omitempty"`
	List   *List   `cbor:"3,keyasint,omitempty"`
	Marks  []Marks `cbor:"4,keyasint,omitempty"`
	Nodes  *Nodes  `cbor:"5,keyasint,omitempty"`
	// Gone names indexes that are no more.
	Gone    []string `cbor:"6,keyasint,omitempty"`
	Recalls *Recalls `cbor:"7,keyasint,omitempty"`
	Notices *Notices `cbor:"8,keyasint,omitempty"`
	// NeedMarks: the sender can't tell which marks are lacking from their sum.
	NeedMarks bool `cbor:"9,keyasint,omitempty"`
}

// Empty reports whether there is no news.
func (n *News) Empty() bool {
	return n.Config == nil && n.List == nil && len(n.Marks) == 0 && n.Nodes == nil && len(n.Gone) == 0 && n.Recalls == nil && n.Notices == nil && !n.NeedMarks
}

// EstimatesAsk asks a switch what it knows of lookups: of one service and class, or of
// all where they are empty.
type EstimatesAsk struct {
	Service string `cbor:"1,keyasint,omitempty"`
	Class   string `cbor:"2,keyasint,omitempty"`
}
