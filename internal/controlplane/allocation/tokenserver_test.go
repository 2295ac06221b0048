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
	slowRefillRate = 1e-6 // in tokens per second; so low that buckets hold only the tokens that the test deposits
)

// fakeNode is a control node whose slice is a third of each bucket.
type fakeNode struct {
	address   string
	network   *fakeNetwork
	allocator *quota.Allocator
	borrower  *Borrower
	tokens    *TokenServer
}

// fakeNetwork delivers datagrams synchronously, and counts loan requests.
type fakeNetwork struct {
	mu            sync.Mutex // guards the fields below
	nodes         map[string]*fakeNode
	zones         map[string]string
	loanRequests  map[string]int        // number of loan requests by the lender's address
	delayGrants   map[string]bool       // addresses of lenders whose answers are delayed
	delayedGrants []func()              // each delivers one delayed answer
	answers       chan quota.TokenGrant // to the client
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		nodes:        map[string]*fakeNode{},
		zones:        map[string]string{},
		loanRequests: map[string]int{},
		delayGrants:  map[string]bool{},
		answers:      make(chan quota.TokenGrant, 1),
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

// addNode adds a control node with the given number of tokens of the tenant. The zone is also the
// node's region.
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

// SendDatagram delivers a datagram from this node through the network.
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

// deliver hands a datagram to the receiving node or to the client, or keeps it if the sender is in
// delayGrants.
func (n *fakeNetwork) deliver(from, to string, datagram *distribution.Datagram) {
	if to == clientAddress {
		n.answers <- *datagram.TokenGrant
		return
	}
	n.mu.Lock()
	node := n.nodes[to]
	if datagram.TokenRequest != nil {
		n.loanRequests[to]++
	}
	if datagram.TokenGrant != nil && n.delayGrants[from] {
		n.delayedGrants = append(n.delayedGrants, func() { node.borrower.ReceiveGrant(datagram.TokenGrant) })
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

// requestTokens sends a node a data plane node's request for tokens, and returns the result.
func (n *fakeNetwork) requestTokens(t *testing.T, node *fakeNode, required int) quota.TenantGrant {
	t.Helper()
	request := &quota.TokenRequest{ID: 7, Demands: []quota.TenantDemand{{Tenant: tenant, Required: required}}}
	node.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, node)
	answer := <-n.answers
	if answer.ID != request.ID || len(answer.Results) != 1 {
		t.Fatalf("request for tokens got answer %+v, want one result with ID 7", answer)
	}
	return answer.Results[0]
}

// wantTokens withdraws all tokens of the node and checks their number.
func (f *fakeNode) wantTokens(t *testing.T, want float64) {
	t.Helper()
	got := f.allocator.Withdraw(tenant, bucketDepth, time.Now())
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("node %s holds %g tokens, want %g", f.address, got, want)
	}
}

// TestBorrowsFromOwnRegionFirst: missing tokens are borrowed from the node's own region first. Other
// regions are asked only for the rest.
func TestBorrowsFromOwnRegionFirst(t *testing.T) {
	network := newFakeNetwork()
	borrower := network.addNode("10.0.0.1", "x", 2)
	sameRegion := network.addNode("10.0.0.2", "x", 3)
	otherRegion := network.addNode("10.0.0.3", "y", 10)
	result := network.requestTokens(t, borrower, 8)
	if result.Granted != 8 || result.RetryAfterMs != 0 {
		t.Errorf("request for 8 tokens got %+v, want 8 without RetryAfterMs", result)
	}
	borrower.wantTokens(t, 0)
	sameRegion.wantTokens(t, 0)
	otherRegion.wantTokens(t, 7)
}

// TestFractionalTokensStayWithBorrower: the borrower keeps the fraction of a token that it can't
// grant; it is not lost.
func TestFractionalTokensStayWithBorrower(t *testing.T) {
	network := newFakeNetwork()
	borrower := network.addNode("10.0.0.1", "x", 0.25)
	network.addNode("10.0.0.2", "x", 2.5)
	result := network.requestTokens(t, borrower, 4)
	if result.Granted != 2 || result.RetryAfterMs <= 0 {
		t.Errorf("request for 4 tokens got %+v, want 2 with RetryAfterMs", result)
	}
	borrower.wantTokens(t, 0.75)
}

// TestEmptyLendersNotAskedAgainAtOnce: lenders that had too few tokens are not asked again
// before emptyLenderBackoff has passed.
func TestEmptyLendersNotAskedAgainAtOnce(t *testing.T) {
	network := newFakeNetwork()
	borrower := network.addNode("10.0.0.1", "x", 0)
	network.addNode("10.0.0.2", "x", 1)
	network.addNode("10.0.0.3", "y", 1)
	for _, want := range []int{2, 0, 0} {
		if result := network.requestTokens(t, borrower, 5); result.Granted != want {
			t.Errorf("request for 5 tokens got %+v, want %d granted", result, want)
		}
	}
	for address, count := range network.loanRequests {
		if count != 1 {
			t.Errorf("node %s got %d loan requests, want 1", address, count)
		}
	}
}

// TestLateLoanGoesToOwnSlice: tokens that a lender sends after the borrower stopped waiting go to the
// borrower's slice. A duplicate of the answer does not add them again.
func TestLateLoanGoesToOwnSlice(t *testing.T) {
	network := newFakeNetwork()
	borrower := network.addNode("10.0.0.1", "x", 0)
	network.addNode("10.0.0.2", "x", 4)
	network.delayGrants["10.0.0.2"] = true
	if result := network.requestTokens(t, borrower, 3); result.Granted != 0 {
		t.Errorf("request for 3 tokens with a delayed lender got %+v, want 0 granted", result)
	}
	for range 2 {
		for _, deliver := range network.delayedGrants {
			deliver()
		}
	}
	borrower.wantTokens(t, 3)
}

// TestLenderDoesNotBorrow: a loan request is answered from the lender's own slice, without borrowing
// from other nodes.
func TestLenderDoesNotBorrow(t *testing.T) {
	network := newFakeNetwork()
	lender := network.addNode("10.0.0.1", "x", 1.5)
	network.addNode("10.0.0.2", "x", 9)
	demand := quota.TenantDemand{Tenant: tenant, MilliTokens: 4000}
	request := &quota.TokenRequest{ID: 1, Loan: true, Demands: []quota.TenantDemand{demand}}
	lender.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, lender)
	answer := <-network.answers
	if got := answer.Results[0].MilliTokens; got != 1500 {
		t.Errorf("request for a loan of 4000 millitokens got %d, want 1500", got)
	}
	if len(network.loanRequests) != 0 {
		t.Errorf("lender sent loan requests %v, want none", network.loanRequests)
	}
}

// TestNoShareGrantsNothing: a node without a share answers NoShare and does not borrow.
func TestNoShareGrantsNothing(t *testing.T) {
	network := newFakeNetwork()
	network.addNode("10.0.0.2", "x", 9)
	borrower := network.addNode("10.0.0.1", "x", 9)
	borrower.allocator.Renew(1.0/3, time.Now(), time.Now()) // the lease has already expired
	if result := network.requestTokens(t, borrower, 1); !result.NoShare || result.Granted != 0 {
		t.Errorf("request to a node without a share got %+v, want NoShare", result)
	}
	if len(network.loanRequests) != 0 {
		t.Errorf("node without a share sent loan requests %v, want none", network.loanRequests)
	}
}

// TestRequestWithTooManyDemandsIsIgnored: a request with more than quota.MaxDemands demands, which
// data plane nodes never send, gets no answer.
func TestRequestWithTooManyDemandsIsIgnored(t *testing.T) {
	network := newFakeNetwork()
	borrower := network.addNode("10.0.0.1", "x", 9)
	request := &quota.TokenRequest{Demands: make([]quota.TenantDemand, quota.MaxDemands+1)}
	borrower.tokens.Answer(request, &net.UDPAddr{IP: net.ParseIP(clientAddress)}, borrower)
	borrower.tokens.Close()
	if len(network.answers) != 0 {
		t.Error("request with too many demands was answered, want no answer")
	}
}
