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
	regionalLendTimeout = 8 * time.Millisecond   // how long to wait for lenders of the own region
	remoteLendTimeout   = 45 * time.Millisecond  // and for the others
	emptyLenderBackoff  = 150 * time.Millisecond // how long one that had too little is not asked again
	maxEmptyLenders     = 4096                   // remembered; beyond it all are forgotten
)

// rounding covers the error of sums of parts of tokens.
const rounding = 1e-6

// Peers lists control nodes.
type Peers interface {
	// LivePeers lists, by address, the control nodes heard within a time, this one too.
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

// Borrower asks other control nodes for tokens that this one lacks.
type Borrower struct {
	options BorrowerOptions

	mu            sync.Mutex // guards the fields below
	lastRequestID uint64
	pendingLoans  map[uint64]pendingLoan  // by request ID
	emptyUntil    map[lenderKey]time.Time // not asked until then, since it had too little
}

// pendingLoan is a request to a lender. Once reply is nil nobody waits for it; what is lent
// until the deadline still fills this node's slice.
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

// Fill borrows what a result lacks of a demand, first in the own region. What is lent beyond
// that goes to this node's own slice, as far as it has room. It blocks until the lenders have
// answered or the time is over.
func (b *Borrower) Fill(demand quota.TenantDemand, result *quota.TenantGrant, lenders Lenders, sender Sender) {
	missing := float64(demand.Required - result.Granted)
	// The part of a token that is here counts.
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

// lenderGroup is lenders that are asked together, and how long they are waited for.
type lenderGroup struct {
	addresses []string
	timeout   time.Duration
}

// borrow asks lenders, all at once, for an amount of tokens each, and returns what came in
// time.
func (b *Borrower) borrow(from lenderGroup, tenant string, amount float64, sender Sender) (collected float64) {
	replies := make(chan quota.TenantGrant, len(from.addresses)) // has capacity for all answers
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

// registerLoans makes a request to each lender that may have something. It returns their
// addresses by request ID.
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

// endLoans no longer waits for those that have not answered. It returns what came in
// meanwhile.
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

// markEmpty notes lenders that had too little, all together.
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

// ReceiveGrant takes the answer of a lender.
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
	case !pending || now.After(loan.deadline): // too late to count on
	case loan.reply != nil:
		loan.reply <- lent // it has capacity for all that were asked
	default:
		b.options.Allocator.Deposit(loan.tenant, tokensOf(lent), now)
	}
}

// tokensOf is what a lender gives, in tokens.
func tokensOf(lent quota.TenantGrant) float64 { return float64(lent.MilliTokens) / milli }
