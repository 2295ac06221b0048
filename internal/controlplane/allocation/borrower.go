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
	regionalLendTimeout = 8 * time.Millisecond   // for lenders in this node's region
	remoteLendTimeout   = 45 * time.Millisecond  // for lenders in other regions
	emptyLenderBackoff  = 150 * time.Millisecond // before a lender that had too few tokens is asked again
	maxEmptyLenders     = 4096                   // entries in emptyUntil above which it is cleared
)

// roundingTolerance is the tolerance, in tokens, for rounding errors in sums of fractional tokens.
const roundingTolerance = 1e-6

// Peers lists control nodes.
type Peers interface {
	// LivePeers returns this node and the control nodes from which a message arrived within the
	// given duration, by address.
	LivePeers(within time.Duration) map[string]replicahost.PeerInfo
}

// BorrowerOptions are the dependencies and settings of a Borrower.
type BorrowerOptions struct {
	Allocator *quota.Allocator
	Peers     Peers
	Address   string // of this node
	Port      int    // on which control nodes receive datagrams
	Region    string // of this node
	RegionOf  func(zone string) string
}

// Lenders holds the addresses of the other control nodes, by whether they are in this node's region.
type Lenders struct {
	sameRegion   []string
	otherRegions []string
}

// Borrower borrows missing tokens from other control nodes. It is safe for concurrent use.
type Borrower struct {
	options BorrowerOptions

	mu            sync.Mutex // guards the fields below
	lastRequestID uint64
	pendingLoans  map[uint64]pendingLoan  // by request ID
	emptyUntil    map[lenderKey]time.Time // when a lender that had too few tokens may be asked again
}

// pendingLoan is an unanswered request to a lender. reply is nil once BorrowMissing no longer waits
// for the answer. Tokens that arrive after that, but before the deadline, go to this node's slice.
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

// Lenders returns the other control nodes in contact within replicahost.LearnerTimeout.
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

// BorrowMissing borrows the required tokens that result does not yet grant and adds them to it. It
// asks the lenders in this node's region first, and those in other regions only for the rest. Tokens
// that are not granted go to this node's slice, up to its depth. BorrowMissing blocks until the
// lenders have answered or timed out.
func (b *Borrower) BorrowMissing(
	demand quota.TenantDemand, result *quota.TenantGrant, lenders Lenders, sender Sender,
) {
	missing := float64(demand.Required - result.Granted)
	// The slice may still hold a fraction of a token.
	collected := b.options.Allocator.Withdraw(demand.Tenant, missing, time.Now())
	for _, group := range []lenderGroup{
		{lenders.sameRegion, regionalLendTimeout},
		{lenders.otherRegions, remoteLendTimeout},
	} {
		if collected < missing-roundingTolerance {
			collected += b.borrow(group, demand.Tenant, missing-collected, sender)
		}
	}
	added := min(int(collected+roundingTolerance), demand.Required-result.Granted)
	b.options.Allocator.Deposit(demand.Tenant, max(0, collected-float64(added)), time.Now())
	result.Granted += added
	if result.Granted >= demand.Required {
		result.RetryAfterMs = 0
	}
}

// lenderGroup is a set of lenders that are asked in parallel, and their time-out.
type lenderGroup struct {
	addresses []string
	timeout   time.Duration
}

// borrow asks all lenders of a group in parallel, each for the whole amount, and returns the number
// of tokens that arrive before the time-out.
func (b *Borrower) borrow(group lenderGroup, tenant string, amount float64, sender Sender) (collected float64) {
	replies := make(chan quota.TenantGrant, len(group.addresses)) // buffered, so that ReceiveGrant never blocks
	requestedFrom := b.registerLoans(group.addresses, tenant, replies)
	for id, address := range requestedFrom {
		demand := quota.TenantDemand{Tenant: tenant, MilliTokens: int64(amount*milliPerToken + 0.999)}
		request := &quota.TokenRequest{ID: id, Loan: true, Demands: []quota.TenantDemand{demand}}
		to := &net.UDPAddr{IP: net.ParseIP(address), Port: b.options.Port}
		sender.SendDatagram(to, &distribution.Datagram{TokenRequest: request})
	}
	timer := time.NewTimer(group.timeout)
	defer timer.Stop()
	timedOut := false
	for answers := 0; answers < len(requestedFrom) && collected < amount && !timedOut; {
		select {
		case reply := <-replies:
			answers++
			collected += tokensOf(reply)
		case <-timer.C:
			timedOut = true
		}
	}
	collected += b.stopWaiting(requestedFrom, replies)
	if collected < amount {
		b.markEmpty(requestedFrom, tenant)
	}
	return collected
}

// registerLoans registers a request to each lender, except to those that recently had too few
// tokens (see emptyUntil). It returns the addresses of the lenders to ask, by request ID.
func (b *Borrower) registerLoans(
	addresses []string, tenant string, replies chan<- quota.TenantGrant,
) (requestedFrom map[uint64]string) {
	now := time.Now()
	requestedFrom = map[uint64]string{}
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
		requestedFrom[b.lastRequestID] = address
	}
	return requestedFrom
}

// stopWaiting makes ReceiveGrant put the tokens of later answers into this node's slice. It returns
// the number of tokens in answers that were received but not yet counted.
func (b *Borrower) stopWaiting(requestedFrom map[uint64]string, replies <-chan quota.TenantGrant) (collected float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range requestedFrom {
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

// markEmpty sets emptyUntil for lenders that together lent less than was requested.
func (b *Borrower) markEmpty(requestedFrom map[uint64]string, tenant string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, address := range requestedFrom {
		b.emptyUntil[lenderKey{address: address, tenant: tenant}] = time.Now().Add(emptyLenderBackoff)
	}
	if len(b.emptyUntil) > maxEmptyLenders {
		clear(b.emptyUntil)
	}
}

// ReceiveGrant handles a lender's answer. It ignores answers that are unknown, duplicate or late.
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
	case !pending || now.After(loan.deadline): // unknown, duplicate or too late
	case loan.reply != nil:
		loan.reply <- lent // never blocks: borrow buffers one reply per request
	default:
		b.options.Allocator.Deposit(loan.tenant, tokensOf(lent), now)
	}
}

// tokensOf returns the number of tokens in a loan.
func tokensOf(lent quota.TenantGrant) float64 { return float64(lent.MilliTokens) / milliPerToken }
