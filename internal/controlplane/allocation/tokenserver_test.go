package allocation

import (
	"net"
	"sync"
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/quota"
)

const (
	tenant         = "t"
	clientAddress  = "10.0.9.9"
	datagramPort   = 7120
	bucketDepth    = 300
	slowRefillRate = 1e-6 // so that buckets hold what the test puts in
)

// fakeNode is a control node that holds a third of each bucket.
type fakeNode struct {
	address   string
	network   *fakeNetwork
	allocator *quota.Allocator
	borrower  *Borrower
	tokens    *TokenServer
}

// fakeNetwork delivers datagrams at once, and counts those to lenders.
type fakeNetwork struct {
	mu       sync.Mutex // guards the fields below
	nodes    map[string]*fakeNode
	zones    map[string]string
	asked    map[string]int        // loan requests by address
	silent   map[string]bool       // nodes whose answers are held back
	heldBack []func()              // which deliver these answers
	answers  chan quota.TokenGrant // to the client
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		nodes:   map[string]*fakeNode{},
		zones:   map[string]string{},
		asked:   map[string]int{},
		silent:  map[string]bool{},
		answers: make(chan quota.TokenGrant, 1),
	}
}

func (n *fakeNetwork) LivePeers(time.Duration) map[string]replicahost.PeerInfo {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := map[string]replicahost.PeerInfo{}
	for address, zone := range n.zones {
		live[address] = replicahost.PeerInfo{Addr: address, Zone: zone}
	}
	return live
}

// addNode adds a control node in a zone, which is its region too, with tokens of the tenant.
func (n *fakeNetwork) addNode(address, zone string, tokens float64) *fakeNode {
	node := &fakeNode{address: address, network: n, allocator: quota.NewAllocator()}
	now := time.Now()
	limits := quota.BucketLimits{Rate: slowRefillRate, Depth: bucketDepth}
	node.allocator.SetTenants(map[string]quota.BucketLimits{tenant: limits}, now)
	node.allocator.Renew(1.0/3, now.Add(time.Hour), now)
	node.allocator.Deposit(tenant, tokens, now)
	node.borrower = NewBorrower(BorrowerOptions{
		Allocator: node.allocator,
		Peers:     n,
		Address:   address,
		Port:      datagramPort,
		Region:    zone,
		RegionOf:  func(zone string) string { return zone },
	})
	node.tokens = NewTokenServer(TokenServerOptions{
		Allocator:   node.allocator,
		Borrower:    node.borrower,
		OnShortfall: func() {},
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
	n.zones[address] = zone
	return node
}

// SendDatagram delivers what a node sends.
func (f *fakeNode) SendDatagram(to net.Addr, datagram *distribution.Datagram) {
	f.network.deliver(f.address, hostOf(to), datagram)
}

func hostOf(address net.Addr) string {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return address.String()
	}
	return host
}

func (n *fakeNetwork) deliver(from, to string, datagram *distribution.Datagram) {
	if to == clientAddress {
		n.answers <- *datagram.TokenGrant
		return
	}
	n.mu.Lock()
	node := n.nodes[to]
	if datagram.TokenRequest != nil {
		n.asked[to]++
	}
	if datagram.TokenGrant != nil && n.silent[from] {
		n.heldBack = append(n.heldBack, func() { node.borrower.ReceiveGrant(datagram.TokenGrant) })
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	if datagram.TokenGrant != nil {
		node.borrower.ReceiveGrant(datagram.TokenGrant)
		return
	}
	node.tokens.Answer(datagram.TokenRequest, &net.UDPAddr{IP: net.ParseIP(from), Port: datagramPort}, node)
}

// ask sends a node a request of a data plane node for tokens, and returns the result.
func (n *fakeNetwork) ask(t *testing.T, node *fakeNode, required int) quota.TenantGrant {
	t.Helper()
	request := &quota.TokenRequest{ID: 7, Demands: []quota.TenantDemand{{Tenant: tenant, Required: required}}}
	node.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, node)
	answer := <-n.answers
	if answer.ID != request.ID || len(answer.Results) != 1 {
		t.Fatalf("the answer is %+v", answer)
	}
	return answer.Results[0]
}

func (f *fakeNode) wantTokens(t *testing.T, want float64) {
	t.Helper()
	got := f.allocator.Withdraw(tenant, bucketDepth, time.Now())
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("%s holds %g tokens, not %g", f.address, got, want)
	}
}

// TestBorrowsFromOwnRegionFirst: what a node lacks comes from its region and then from the
// others, each asked for no more than is missing.
func TestBorrowsFromOwnRegionFirst(t *testing.T) {
	network := newFakeNetwork()
	asked := network.addNode("10.0.0.1", "x", 2)
	near := network.addNode("10.0.0.2", "x", 3)
	far := network.addNode("10.0.0.3", "y", 10)
	result := network.ask(t, asked, 8)
	if result.Granted != 8 || result.RetryAfterMs != 0 {
		t.Errorf("granted is %+v", result)
	}
	asked.wantTokens(t, 0)
	near.wantTokens(t, 0)
	far.wantTokens(t, 7)
}

// TestPartsOfTokensStay: parts of tokens that make no whole one stay at the node that has
// borrowed them.
func TestPartsOfTokensStay(t *testing.T) {
	network := newFakeNetwork()
	asked := network.addNode("10.0.0.1", "x", 0.25)
	network.addNode("10.0.0.2", "x", 2.5)
	result := network.ask(t, asked, 4)
	if result.Granted != 2 || result.RetryAfterMs <= 0 {
		t.Errorf("granted is %+v", result)
	}
	asked.wantTokens(t, 0.75)
}

// TestEmptyLendersAreLeftAlone: lenders that had too little are not asked again at once.
func TestEmptyLendersAreLeftAlone(t *testing.T) {
	network := newFakeNetwork()
	asked := network.addNode("10.0.0.1", "x", 0)
	network.addNode("10.0.0.2", "x", 1)
	network.addNode("10.0.0.3", "y", 1)
	for _, want := range []int{2, 0, 0} {
		if result := network.ask(t, asked, 5); result.Granted != want {
			t.Errorf("granted is %+v, not %d", result, want)
		}
	}
	for address, count := range network.asked {
		if count != 1 {
			t.Errorf("%s was asked %d times", address, count)
		}
	}
}

// TestLateLoanFillsOwnSlice: what is lent after the borrower has gone on is not lost, and
// counts once.
func TestLateLoanFillsOwnSlice(t *testing.T) {
	network := newFakeNetwork()
	asked := network.addNode("10.0.0.1", "x", 0)
	network.addNode("10.0.0.2", "x", 4)
	network.silent["10.0.0.2"] = true
	if result := network.ask(t, asked, 3); result.Granted != 0 {
		t.Errorf("granted is %+v", result)
	}
	for range 2 {
		for _, deliver := range network.heldBack {
			deliver()
		}
	}
	asked.wantTokens(t, 3)
}

// TestLenderBorrowsNothing: a request to lend is answered out of the own slice alone.
func TestLenderBorrowsNothing(t *testing.T) {
	network := newFakeNetwork()
	lender := network.addNode("10.0.0.1", "x", 1.5)
	network.addNode("10.0.0.2", "x", 9)
	demand := quota.TenantDemand{Tenant: tenant, MilliTokens: 4000}
	request := &quota.TokenRequest{ID: 1, Loan: true, Demands: []quota.TenantDemand{demand}}
	lender.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, lender)
	answer := <-network.answers
	if got := answer.Results[0].MilliTokens; got != 1500 {
		t.Errorf("lent are %d thousandths", got)
	}
	if len(network.asked) != 0 {
		t.Errorf("asked were %v", network.asked)
	}
}

// TestNoShareGrantsNothing: a node without a share says so and borrows nothing.
func TestNoShareGrantsNothing(t *testing.T) {
	network := newFakeNetwork()
	network.addNode("10.0.0.2", "x", 9)
	asked := network.addNode("10.0.0.1", "x", 9)
	asked.allocator.Renew(1.0/3, time.Now(), time.Now()) // it is over already
	if result := network.ask(t, asked, 1); !result.NoShare || result.Granted != 0 {
		t.Errorf("granted is %+v", result)
	}
	if len(network.asked) != 0 {
		t.Errorf("asked were %v", network.asked)
	}
}

// TestTooManyDemandsAreIgnored: a request that no data plane node sends gets no answer.
func TestTooManyDemandsAreIgnored(t *testing.T) {
	network := newFakeNetwork()
	asked := network.addNode("10.0.0.1", "x", 9)
	request := &quota.TokenRequest{Demands: make([]quota.TenantDemand, quota.MaxDemands+1)}
	asked.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, asked)
	asked.tokens.Close()
	if len(network.answers) != 0 {
		t.Error("it is answered")
	}
}
