package allocation

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/replicahost"
	"comethold/internal/distribution"
	"comethold/internal/quota"
)

const (
	regionalLendTimeout = 8 * time.Millisecond   // for lenders of the own region
	remoteLendTimeout   = 45 * time.Millisecond  // for lenders of other regions
	emptyLenderBackoff  = 150 * time.Millisecond // until a lender that had too little is asked again
	maxEmptyLenders     = 4096                   // entries in emptyUntil; beyond that it is cleared
)

// rounding is the tolerance for rounding errors in sums of fractions of tokens.
const rounding = 1e-6

// Peers lists control nodes.
type Peers interface {
	// LivePeers returns, by address, the control nodes in contact within a time, and this node.
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
}

// BorrowerOptions are what a Borrower needs.
type BorrowerOptions struct {
	Allocator *quota.Allocator
	Peers     Peers
	Address   string // of this node
	Port      int    // to which control nodes take datagrams
	Region    string // of this node
	RegionOf  func(zone string) string
}

// Lenders are the addresses of other control nodes.
type Lenders struct {
	sameRegion   []string
	otherRegions []string
}

// Borrower borrows missing tokens from other control nodes. Safe for concurrent use.
type Borrower struct {
	options BorrowerOptions

	mu            sync.Mutex // guards the fields below
	lastRequestID uint64
	pendingLoans  map[uint64]pendingLoan  // by request ID
	emptyUntil    map[lenderKey]time.Time // when a lender that had too little is asked again
}

// pendingLoan is a request to a lender. If reply is nil, Fill no longer waits for the answer;
// tokens that arrive before the deadline then go to this node's slice.
type pendingLoan struct {
	tenant   string
	deadline time.Time
	reply    chan<- quota.TenantGrant
}

type lenderKey struct {
	address string
	tenant  string
}

// NewBorrower returns a Borrower.
func NewBorrower(options BorrowerOptions) *Borrower {
	return &Borrower{
		options:       options,
		lastRequestID: rand.Uint64(),
		pendingLoans:  map[uint64]pendingLoan{},
		emptyUntil:    map[lenderKey]time.Time{},
	}
}

// Lenders lists the other control nodes.
func (b *Borrower) Lenders() (lenders Lenders) {
	for address, peer := range b.options.Peers.LivePeers(replicahost.LearnerTimeout) {
		switch {
		case address == b.options.Address:
		case b.options.RegionOf(peer.Zone) == b.options.Region:
			lenders.sameRegion = append(lenders.sameRegion, address)
		default:
			lenders.otherRegions = append(lenders.otherRegions, address)
		}
	}
	return lenders
}

// BorrowMissing borrows the tokens that a result lacks of a demand, first from the own region. Surplus
// tokens go to this node's slice, up to its depth. It blocks until the lenders have answered
// or their time-out has passed.
func (b *Borrower) BorrowMissing(
	demand quota.TenantDemand, result *quota.TenantGrant, lenders Lenders, sender Sender,
) {
	missing := float64(demand.Required - result.Granted)
	// Start with the fraction of a token that is left here.
	collected := b.options.Allocator.Withdraw(demand.Tenant, missing, time.Now())
	for _, from := range []lenderGroup{
		{lenders.sameRegion, regionalLendTimeout},
		{lenders.otherRegions, remoteLendTimeout},
	} {
		if collected < missing-rounding {
			collected += b.borrow(from, demand.Tenant, missing-collected, sender)
		}
	}
	added := min(int(collected+rounding), demand.Required-result.Granted)
	b.options.Allocator.Deposit(demand.Tenant, max(0, collected-float64(added)), time.Now())
	result.Granted += added
	if result.Granted >= demand.Required {
		result.RetryAfterMs = 0
	}
}

// lenderGroup is a set of lenders that are asked at once, and the time-out for them.
type lenderGroup struct {
	addresses []string
	timeout   time.Duration
}

// borrow asks all lenders of a group at once for the whole amount, and returns the tokens that
// arrive in time.
func (b *Borrower) borrow(from lenderGroup, tenant string, amount float64, sender Sender) (collected float64) {
	replies := make(chan quota.TenantGrant, len(from.addresses)) // buffered, so that ReceiveGrant never blocks
	asked := b.registerLoans(from.addresses, tenant, replies)
	for id, address := range asked {
		demand := quota.TenantDemand{Tenant: tenant, MilliTokens: int64(amount*milli + 0.999)}
		request := &quota.TokenRequest{ID: id, Loan: true, Demands: []quota.TenantDemand{demand}}
		to := &net.UDPAddr{IP: net.ParseIP(address), Port: b.options.Port}
		sender.SendDatagram(to, &distribution.Datagram{TokenRequest: request})
	}
	timer := time.NewTimer(from.timeout)
	defer timer.Stop()
	timedOut := false
	for answers := 0; answers < len(asked) && collected < amount && !timedOut; {
		select {
		case reply := <-replies:
			answers++
			collected += tokensOf(reply)
		case <-timer.C:
			timedOut = true
		}
	}
	collected += b.endLoans(asked, replies)
	if collected < amount {
		b.markEmpty(asked, tenant)
	}
	return collected
}

// registerLoans registers a request to each lender except those that lately had too little.
// It returns the addresses by request ID.
func (b *Borrower) registerLoans(
	addresses []string, tenant string, replies chan<- quota.TenantGrant,
) (asked map[uint64]string) {
	now := time.Now()
	asked = map[uint64]string{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, loan := range b.pendingLoans {
		if now.After(loan.deadline) {
			delete(b.pendingLoans, id)
		}
	}
	for _, address := range addresses {
		if now.Before(b.emptyUntil[lenderKey{address: address, tenant: tenant}]) {
			continue
		}
		b.lastRequestID++
		b.pendingLoans[b.lastRequestID] = pendingLoan{
			tenant:   tenant,
			deadline: now.Add(remoteLendTimeout),
			reply:    replies,
		}
		asked[b.lastRequestID] = address
	}
	return asked
}

// endLoans stops waiting for lenders that have not answered. It returns the tokens that have
// arrived meanwhile.
func (b *Borrower) endLoans(asked map[uint64]string, replies <-chan quota.TenantGrant) (collected float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range asked {
		if loan, pending := b.pendingLoans[id]; pending {
			loan.reply = nil
			b.pendingLoans[id] = loan
		}
	}
	for len(replies) > 0 {
		collected += tokensOf(<-replies)
	}
	return collected
}

// markEmpty sets emptyUntil for lenders that together had too little.
func (b *Borrower) markEmpty(asked map[uint64]string, tenant string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range asked {
		b.emptyUntil[lenderKey{address: address, tenant: tenant}] = time.Now().Add(emptyLenderBackoff)
	}
	if len(b.emptyUntil) > maxEmptyLenders {
		clear(b.emptyUntil)
	}
}

// ReceiveGrant handles the answer of a lender.
func (b *Borrower) ReceiveGrant(grant *quota.TokenGrant) {
	if len(grant.Results) != 1 {
		return
	}
	now := time.Now()
	lent := grant.Results[0]
	b.mu.Lock()
	defer b.mu.Unlock()
	loan, pending := b.pendingLoans[grant.ID]
	delete(b.pendingLoans, grant.ID)
	switch {
	case !pending || now.After(loan.deadline): // unknown, a duplicate or too late
	case loan.reply != nil:
		loan.reply <- lent // never blocks; see borrow
	default:
		b.options.Allocator.Deposit(loan.tenant, tokensOf(lent), now)
	}
}

// tokensOf returns the number of tokens in a loan.
func tokensOf(lent quota.TenantGrant) float64 { return float64(lent.MilliTokens) / milli }
