package paxos

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"comethold/internal/simulation"
)

// The runner plays scenario files on simulated time. Each line is a command;
// what each does stands in docs/testing.md. After every step it checks that no
// two members applied different content at one position, and that what was
// acknowledged is never lost.

type simNode struct {
	id      ReplicaID
	up      bool
	m       *Replica
	disk    disk
	stalled bool
	refuses bool
	slow    time.Duration // of a disk that takes longer than the others
	waiting []syncing
	frozen  bool
	held    []Message
	noted   uint64 // positions of this life that were compared with the others'
}

// syncing is what a member wants on disk and what may be sent once it is there.
type syncing struct {
	at    time.Duration
	m     *Replica
	w     Writes
	after []Message
}

// disk is what survives a loss of power.
type disk struct {
	saved PersistedState
	log   map[uint64]Entry
}

type flying struct {
	at  time.Duration
	seq int
	msg Message
}

// wire holds what is under way, the next first.
type wire []flying

func (w wire) Len() int { return len(w) }
func (w wire) Less(i, j int) bool {
	return w[i].at < w[j].at || w[i].at == w[j].at && w[i].seq < w[j].seq
}
func (w wire) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w *wire) Push(x any)   { *w = append(*w, x.(flying)) }
func (w *wire) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// greeting tells a member that another's life has ended.
type greeting struct {
	at   time.Duration
	to   *simNode
	over ReplicaID
}

type sim struct {
	t       *testing.T
	name    string
	now     time.Duration
	rng     *rand.Rand
	nodes   map[string]*simNode
	wire    wire
	seq     int
	loss    float64
	dup     float64
	delay   time.Duration
	sync    time.Duration // how long a sync takes
	cut     map[string]bool
	chosen  map[uint64]string
	acked   map[string]string // key -> value that a client was told is in
	asked   map[string][2]string
	status  map[string]string
	seats   []Voter
	reads   map[uint64]bool
	nextTxn int
	late    float64 // so many of the messages come a good while later
	sorted  []string
	acks    []ack
	outcome func(n *simNode, o Outcome)
	read    func(n *simNode, ticket uint64)
	greets  []greeting
}

// ack is an acknowledgement and what its node had applied then.
type ack struct {
	at   time.Duration
	slot uint64
}

func newSim(t *testing.T, name string) *sim {
	return &sim{t: t, name: name, rng: rand.New(rand.NewSource(1)), nodes: map[string]*simNode{}, delay: 5 * time.Millisecond,
		cut: map[string]bool{}, chosen: map[uint64]string{}, acked: map[string]string{}, asked: map[string][2]string{},
		status: map[string]string{}, reads: map[uint64]bool{}}
}

func (s *sim) params(id ReplicaID) Config {
	return Config{Cell: "c", Self: id, Alpha: 3, MaxQueue: 8, MaxBatch: 4, RetainedEntries: 16,
		HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, Jitter: s.rng.Float64}
}

func (s *sim) start(n *simNode) {
	sv := n.disk.saved
	sv.Entries = nil
	for _, e := range n.disk.log {
		sv.Entries = append(sv.Entries, e)
	}
	n.m = NewReplica(s.params(n.id), sv, s.now)
	n.up, n.frozen, n.noted = true, false, 0
	s.note(n)
}

func (d *disk) write(w Writes) {
	if d.log == nil {
		d.log = map[uint64]Entry{}
	}
	if w.Promised != nil {
		d.saved.Promised = *w.Promised
	}
	if w.Term != 0 {
		d.saved.Term = w.Term
	}
	for _, e := range w.Entries {
		d.log[e.Index] = e
	}
	if w.Snapshot != nil {
		d.saved.Snapshot = w.Snapshot
		for slot := range d.log {
			if slot <= w.TruncateTo {
				delete(d.log, slot)
			}
		}
	}
	if !w.Empty() {
		d.saved.CommitIndex = w.CommitIndex
	}
}

func (s *sim) drain(n *simNode) {
	for n.up {
		out := n.m.Ready()
		after := out.MessagesAfterSync
		own := s.post(n, out.Messages)
		if len(after) > 0 || !out.Writes.Empty() {
			n.waiting = append(n.waiting, syncing{s.now + s.syncTime() + n.slow, n.m, out.Writes, after})
			own = append(own, s.flush(n)...)
		}
		for _, d := range out.Outcomes {
			s.finish(n, d)
		}
		for _, r := range out.ConfirmedReads {
			s.reads[r] = true
			if s.read != nil {
				s.read(n, r)
			}
		}
		s.note(n)
		if len(own) == 0 {
			return
		}
		for _, msg := range own {
			n.m.Step(s.now, msg)
		}
	}
}

// syncTime draws how long a sync takes.
func (s *sim) syncTime() time.Duration {
	if s.sync == 0 {
		return 0
	}
	return time.Duration(s.rng.Int63n(int64(2 * s.sync)))
}

// flush syncs what is due on a node's disk, sends what waited for it, and hands
// back the messages to the node itself.
func (s *sim) flush(n *simNode) (own []Message) {
	for len(n.waiting) > 0 && !n.stalled && !n.refuses && n.waiting[0].at <= s.now {
		w := n.waiting[0]
		n.waiting = n.waiting[1:]
		n.disk.write(w.w)
		if n.up && n.m == w.m {
			own = append(own, s.post(n, w.after)...)
		}
	}
	return own
}

// settle flushes a node's disk and lets the node see what follows.
func (s *sim) settle(n *simNode) {
	for _, msg := range s.flush(n) {
		n.m.Step(s.now, msg)
	}
	if n.up {
		s.drain(n)
	}
}

// power takes a node's power: of what was not synced, the first writes may have
// reached the disk all the same, and nothing after them.
func (s *sim) power(n *simNode) {
	if len(n.waiting) > 0 {
		for _, w := range n.waiting[:s.rng.Intn(len(n.waiting)+1)] {
			n.disk.write(w.w)
		}
	}
	n.up, n.waiting, n.held = false, nil, nil
}

func (s *sim) post(n *simNode, msgs []Message) (own []Message) {
	for _, msg := range msgs {
		if msg.To == n.id {
			own = append(own, msg)
			continue
		}
		times := 1
		if s.rng.Float64() < s.dup {
			times = 2
		}
		for range times {
			if s.rng.Float64() < s.loss {
				continue
			}
			s.seq++
			d := s.delay + time.Duration(s.rng.Int63n(int64(s.delay)))
			if s.late > 0 && s.rng.Float64() < s.late {
				d += time.Duration(s.rng.Int63n(int64(4 * time.Second)))
			}
			heap.Push(&s.wire, flying{s.now + d, s.seq, msg})
		}
	}
	return own
}

func (s *sim) finish(n *simNode, o Outcome) {
	if s.outcome != nil {
		s.outcome(n, o)
	}
	if o.Committed {
		s.acks = append(s.acks, ack{s.now, n.m.appliedIndex})
	}
	kv, ok := s.asked[o.TxnID]
	switch {
	case o.Unknown:
		s.status[o.TxnID] = "lost"
	case o.Committed:
		s.status[o.TxnID] = "committed"
		if ok {
			s.acked[kv[0]] = kv[1]
		}
	default:
		s.status[o.TxnID] = "ignored"
	}
}

// note checks agreement on every position that a member has applied.
func (s *sim) note(n *simNode) {
	for slot := n.noted + 1; slot <= n.m.appliedIndex; slot++ {
		n.noted = slot
		e := n.m.log[slot]
		if e == nil {
			continue
		}
		var ids []string
		for _, t := range e.Txns {
			ids = append(ids, t.ID)
		}
		text := strings.Join(ids, ",")
		if old, ok := s.chosen[slot]; ok && old != text {
			s.t.Fatalf("%s at %v: position %d is %q at %s, %q elsewhere", s.name, s.now, slot, text, n.id, old)
		}
		s.chosen[slot] = text
	}
}

// fresh checks that a member has all that was acknowledged up to the moment until which
// it takes itself to be current.
func (s *sim) fresh() {
	for _, name := range s.names() {
		n := s.nodes[name]
		if !n.up || n.frozen {
			continue
		}
		until := s.now - n.m.Staleness(s.now)
		for i := len(s.acks) - 1; i >= 0; i-- {
			if a := s.acks[i]; a.at < until {
				if n.m.appliedIndex < a.slot {
					s.t.Fatalf("%s at %v: %s has applied %d and takes itself to be current until %v, when %d was acknowledged", s.name, s.now, n.id, n.m.appliedIndex, until, a.slot)
				}
				break
			}
		}
	}
}

// greet has the others find out, each in its own time, that a member's life has ended. Few
// take a greeting of the former life that comes late for news of the new one's end.
func (s *sim) greet(n *simNode, former ReplicaID) {
	for _, name := range s.names() {
		if o := s.nodes[name]; o != n {
			over := former
			if s.rng.Intn(10) == 0 {
				over = n.id
			}
			s.greets = append(s.greets, greeting{s.now + time.Duration(s.rng.Int63n(int64(time.Second))), o, over})
		}
	}
}

// hear has those greetings heard whose time has come, by members that aren't down or frozen.
func (s *sim) hear() {
	s.greets = slices.DeleteFunc(s.greets, func(g greeting) bool {
		if g.at <= s.now && g.to.up && !g.to.frozen {
			g.to.m.ReportReplicaLost(s.now, g.over)
			s.drain(g.to)
		}
		return g.at <= s.now
	})
}

// due takes the next message whose time has come off the wire.
func (s *sim) due() (Message, bool) {
	if len(s.wire) == 0 || s.wire[0].at > s.now {
		return Message{}, false
	}
	return heap.Pop(&s.wire).(flying).msg, true
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for s.now < end {
		s.now += time.Millisecond
		for msg, ok := s.due(); ok; msg, ok = s.due() {
			n := s.byID(msg.To)
			if n == nil || !n.up || s.cut[string(msg.From)+">"+string(msg.To)] {
				continue
			}
			if n.frozen {
				n.held = append(n.held, msg)
				continue
			}
			n.m.Step(s.now, msg)
			s.drain(n)
		}
		if s.sync > 0 {
			for _, name := range s.names() {
				if n := s.nodes[name]; n.up && !n.frozen && len(n.waiting) > 0 {
					s.settle(n)
				}
			}
		}
		if s.now%(20*time.Millisecond) == 0 {
			s.hear()
			for _, name := range s.names() {
				if n := s.nodes[name]; n.up && !n.frozen {
					n.m.Tick(s.now)
					s.drain(n)
				}
			}
			s.fresh()
			s.held()
		}
	}
}

// held checks that what a proposer was told of a member's disk is there: a restart would
// find at least so many positions, and know them to be chosen.
func (s *sim) held() {
	for _, name := range s.names() {
		l := s.nodes[name]
		if !l.up || l.m.Role() != Leader {
			continue
		}
		for id, upTo := range l.m.durableCommitIndexes {
			n := s.byID(id)
			if n == nil {
				continue // its disk was lost
			}
			if found := n.disk.found(); found < upTo {
				s.t.Fatalf("%s at %v: %s was told that %s holds %d, a restart would find %d", s.name, s.now, l.id, id, upTo, found)
			}
		}
	}
}

// found is the position up to which a restart would apply what is on the disk.
func (d *disk) found() (slot uint64) {
	if d.saved.Snapshot != nil {
		slot = d.saved.Snapshot.AppliedIndex
	}
	for ; slot < d.saved.CommitIndex; slot++ {
		if _, ok := d.log[slot+1]; !ok {
			break
		}
	}
	return slot
}

// names are the machines in order; callers must not change the list.
func (s *sim) names() []string {
	if len(s.sorted) != len(s.nodes) {
		s.sorted = slices.Sorted(maps.Keys(s.nodes))
	}
	return s.sorted
}

func (s *sim) byID(id ReplicaID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *sim) leader() *simNode {
	var best *simNode
	for _, name := range s.names() {
		if n := s.nodes[name]; n.up && !n.frozen && n.m.Role() == Leader && (best == nil || best.m.proposalNumber.Less(n.m.proposalNumber)) {
			best = n
		}
	}
	return best
}

func (s *sim) pick(name string) *simNode {
	if name == "leader" {
		if n := s.leader(); n != nil {
			return n
		}
		s.t.Fatalf("%s at %v: no leader", s.name, s.now)
	}
	if name == "follower" {
		l := s.leader()
		for _, k := range s.names() {
			if n := s.nodes[k]; n != l && n.up && n.m.IsVoter() {
				return n
			}
		}
	}
	n := s.nodes[name]
	if n == nil {
		s.t.Fatalf("%s: no node %q", s.name, name)
	}
	return n
}

func (s *sim) propose(n *simNode, id string, t Txn) {
	t.ID = id
	err := n.m.Propose(s.now, t)
	s.status[id] = "pending"
	if err == ErrPipelineFull {
		s.status[id] = "busy"
	} else if err != nil {
		s.status[id] = "refused"
	}
	s.drain(n)
}

// put gives a value to a key through whoever leads, trying until it is in.
func (s *sim) put(key, val string) {
	for range 200 {
		if l := s.leader(); l != nil {
			s.nextTxn++
			id := fmt.Sprintf("t%d", s.nextTxn)
			s.asked[id] = [2]string{key, val}
			s.propose(l, id, Txn{Ops: []Op{{Kind: OpPut, Key: key, Value: Bytes([]byte(val))}}})
			for k := 0; k < 60 && s.status[id] == "pending"; k++ {
				s.run(20 * time.Millisecond)
			}
			if s.status[id] == "committed" {
				return
			}
		}
		s.run(50 * time.Millisecond)
	}
	s.t.Fatalf("%s at %v: %s=%s was never taken", s.name, s.now, key, val)
}

// learners has every member keep those current that are not in the first cell.
func (s *sim) learners() {
	var ids []ReplicaID
	for _, name := range s.names() {
		if n := s.nodes[name]; !(Membership{Voters: s.seats}).Contains(n.id) {
			ids = append(ids, n.id)
		}
	}
	for _, o := range s.nodes {
		if o.up {
			o.m.SetLearners(ids)
		}
	}
}

func (s *sim) do(line string) {
	f := strings.Fields(line)
	arg := func(i int) string {
		if i >= len(f) {
			s.t.Fatalf("%s: %q lacks a word", s.name, line)
		}
		return f[i]
	}
	num := func(i int) float64 {
		v, err := strconv.ParseFloat(arg(i), 64)
		if err != nil {
			s.t.Fatalf("%s: %q: %v", s.name, line, err)
		}
		return v
	}
	switch f[0] {
	case "seed":
		s.rng = rand.New(rand.NewSource(int64(num(1))))
	case "cell":
		for _, name := range f[1:] {
			s.seats = append(s.seats, Voter{ID: ReplicaID(name), Addr: name, Zone: name})
		}
		for _, name := range f[1:] {
			n := &simNode{id: ReplicaID(name)}
			n.disk.write(Writes{Snapshot: &Snapshot{State: map[string]Value{}, Memberships: []Membership{{EffectiveFrom: 1, Voters: s.seats}}}})
			s.nodes[name] = n
			s.start(n)
		}
	case "loss":
		s.loss = num(1)
	case "dup":
		s.dup = num(1)
	case "delay":
		s.delay = time.Duration(num(1)) * time.Millisecond
	case "run":
		s.run(time.Duration(num(1)) * time.Millisecond)
	case "put":
		s.put(arg(1), arg(2))
	case "storm": // storm N: so many puts, one after the other
		for i := range int(num(1)) {
			s.put(fmt.Sprintf("k%d", i%7), fmt.Sprintf("v%d.%d", i, s.rng.Intn(1000)))
		}
	case "kill":
		n := s.pick(arg(1))
		n.up, n.waiting, n.held = false, nil, nil
	case "power":
		s.power(s.pick(arg(1)))
	case "sync":
		s.sync = time.Duration(num(1)) * time.Millisecond
	case "start":
		s.start(s.pick(arg(1)))
	case "freeze":
		s.pick(arg(1)).frozen = true
	case "thaw":
		for _, name := range s.names() {
			if n := s.nodes[name]; n.frozen {
				n.frozen = false
				held := n.held
				n.held = nil
				for _, msg := range held {
					n.m.Step(s.now, msg)
					s.drain(n)
				}
			}
		}
	case "stall", "refuse":
		n := s.pick(arg(1))
		n.stalled, n.refuses = f[0] == "stall", f[0] == "refuse"
	case "heal-disk":
		for _, name := range s.names() {
			n := s.nodes[name]
			n.stalled, n.refuses = false, false
			s.settle(n)
		}
	case "cut", "join":
		a := s.pick(arg(1))
		for _, name := range s.names() {
			if b := s.nodes[name]; b != a {
				s.cut[string(a.id)+">"+string(b.id)] = f[0] == "cut"
				s.cut[string(b.id)+">"+string(a.id)] = f[0] == "cut"
			}
		}
	case "join-all":
		s.cut = map[string]bool{}
	case "wipe": // wipe NODE NEWID: the disk is lost; it comes back as another member
		n := s.pick(arg(1))
		n.up, n.waiting, n.held = false, nil, nil
		former := n.id
		n.disk, n.id = disk{}, ReplicaID(arg(2))
		s.start(n)
		s.greet(n, former)
		s.learners()
	case "join-new": // join-new NAME: an empty machine appears and is kept current
		n := &simNode{id: ReplicaID(arg(1))}
		s.nodes[arg(1)] = n
		s.start(n)
		s.learners()
	case "move": // move OUT IN [OUT IN]: a seat changes hands, at once after it another; OUT "-": one is added
		l := s.pick("leader")
		seats, _ := l.m.Voters()
		var ids []string
		for i := 1; i < len(f); i += 2 {
			var next []Voter
			out := ReplicaID(arg(i))
			if out == "leader" {
				out = l.id
			}
			for _, x := range seats {
				if x.ID != out {
					next = append(next, x)
				}
			}
			seats = append(next, Voter{ID: ReplicaID(arg(i + 1)), Addr: arg(i + 1), Zone: arg(i + 1)})
			s.nextTxn++
			ids = append(ids, "move"+strconv.Itoa(s.nextTxn))
			s.propose(l, ids[len(ids)-1], Txn{Ops: []Op{{Kind: OpSetVoters, Voters: seats}}})
		}
		s.run(200 * time.Millisecond)
		s.status["move"] = s.status[ids[0]]
		if len(ids) > 1 {
			s.status["second"] = s.status[ids[1]]
		}
	case "race": // race KEY OLD A B: two conditional changes of one value
		l := s.pick("leader")
		for _, v := range []string{arg(3), arg(4)} {
			c := Condition{Key: arg(1), Equals: Bytes([]byte(arg(2)))}
			s.propose(l, "race-"+v, Txn{Conditions: []Condition{c}, Ops: []Op{{Kind: OpPut, Key: arg(1), Value: Bytes([]byte(v))}}})
		}
		s.run(300 * time.Millisecond)
		delete(s.acked, arg(1))
	case "flood": // flood N: so many proposals at once
		l := s.pick("leader")
		for i := range int(num(1)) {
			s.propose(l, fmt.Sprintf("flood%d", i), Txn{Ops: []Op{{Kind: OpAdd, Key: "count", Value: Int(1)}}})
		}
	case "read": // read NODE: asks for a confirmed read there
		n := s.pick(arg(1))
		s.reads = map[uint64]bool{}
		err := n.m.Read(s.now, 1)
		s.drain(n)
		s.run(150 * time.Millisecond)
		s.status["read"] = map[bool]string{true: "confirmed", false: "unconfirmed"}[err == nil && s.reads[1]]
	case "want": // want ID STATUS
		if s.status[arg(1)] != arg(2) {
			s.t.Fatalf("%s at %v: %s is %q, want %q", s.name, s.now, arg(1), s.status[arg(1)], arg(2))
		}
	case "want-some": // want-some STATUS PREFIX: at least one
		for id, st := range s.status {
			if st == arg(1) && strings.HasPrefix(id, arg(2)) {
				return
			}
		}
		s.t.Fatalf("%s at %v: none of %s* is %s: %v", s.name, s.now, arg(2), arg(1), s.status)
	case "want-one": // want-one PREFIX: exactly one committed
		n := 0
		for id, st := range s.status {
			if strings.HasPrefix(id, arg(1)) && st == "committed" {
				n++
			}
		}
		if n != 1 {
			s.t.Fatalf("%s at %v: %d of %s* committed: %v", s.name, s.now, n, arg(1), s.status)
		}
	case "want-leader":
		if l := s.leader(); (l != nil) != (arg(1) == "yes") {
			s.t.Fatalf("%s at %v: leader: %v", s.name, s.now, l)
		}
	case "want-not-leading":
		if s.pick(arg(1)).m.Role() == Leader {
			s.t.Fatalf("%s at %v: %s leads", s.name, s.now, arg(1))
		}
	case "want-settled": // the newest change of seats is done, and all of them know
		for _, name := range s.names() {
			n := s.nodes[name]
			if seats, settled := n.m.Voters(); n.up && (Membership{Voters: seats}).Contains(n.id) && !settled {
				s.t.Fatalf("%s at %v: to %s the change of seats is not done", s.name, s.now, name)
			}
		}
	case "want-voter", "want-no-voter":
		if s.pick(arg(1)).m.IsVoter() != (f[0] == "want-voter") {
			s.t.Fatalf("%s at %v: voter: %v", s.name, s.now, s.pick(arg(1)).m.IsVoter())
		}
	case "want-all": // every live voter comes to hold all that was acknowledged
		s.run(500 * time.Millisecond)
		seats, _ := s.pick("leader").m.Voters()
		for _, name := range s.names() {
			n := s.nodes[name]
			if !n.up || !(Membership{Voters: seats}).Contains(n.id) {
				continue
			}
			for k, v := range s.acked {
				if got, _ := n.m.Get(k); string(got.Bytes) != v {
					s.t.Fatalf("%s at %v: %s has %s=%q, acknowledged was %q", s.name, s.now, name, k, got.Bytes, v)
				}
			}
		}
	default:
		s.t.Fatalf("%s: unknown command %q", s.name, line)
	}
}

type world struct{ *sim }

func (w world) Do(c simulation.Command) error {
	w.do(c.Line)
	return nil
}

func TestScenarios(t *testing.T) {
	simulation.Play(t, "testdata", func(t *testing.T, run func(*testing.T)) { run(t) },
		func(t *testing.T) simulation.World { return world{newSim(t, t.Name())} })
}
