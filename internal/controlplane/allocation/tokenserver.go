package allocation

import (
	"net"
	"sync"
	"time"

	"comethold/internal/controlplane/taskgroup"
	"comethold/internal/distribution"
	"comethold/internal/quota"
)

// milli is how many thousandths of a token a token has.
const milli = 1000

// Sender sends datagrams. What is lost is not sent again.
type Sender interface {
	SendDatagram(to net.Addr, datagram *distribution.Datagram)
}

// TokenServerOptions are what a TokenServer needs.
type TokenServerOptions struct {
	Allocator *quota.Allocator
	Borrower  *Borrower
	// OnTokensTaken is called when a request got less than it asked for.
	OnTokensTaken func()
}

// TokenServer grants tokens to data plane nodes out of this node's slices of the buckets, and
// borrows what is missing. To other control nodes it lends.
type TokenServer struct {
	options   TokenServerOptions
	borrowing taskgroup.Group // answers that wait for lenders
}

// NewTokenServer returns a TokenServer.
func NewTokenServer(options TokenServerOptions) *TokenServer {
	return &TokenServer{options: options}
}

// Close waits for answers that are under way. What needs to borrow is not answered after it.
func (s *TokenServer) Close() { s.borrowing.Close() }

// Answer answers a request: at once if this node has what is asked for or is asked to lend,
// else after it has tried to borrow, without blocking the caller.
func (s *TokenServer) Answer(request *quota.TokenRequest, from net.Addr, sender Sender) {
	if len(request.Demands) > quota.MaxDemands {
		return
	}
	now := time.Now()
	grant := &quota.TokenGrant{ID: request.ID, Results: make([]quota.TenantGrant, len(request.Demands))}
	_, leased := s.options.Allocator.Share(now)
	var short []int // indexes of demands of which something is missing
	for i, demand := range request.Demands {
		result := &grant.Results[i]
		switch {
		case !leased:
			result.NoShare = true
		case request.Loan:
			result.MilliTokens = s.lend(demand, now)
		default:
			if s.grant(demand, result, now) {
				short = append(short, i)
			}
		}
	}
	reply := &distribution.Datagram{TokenGrant: grant}
	if len(short) == 0 {
		sender.SendDatagram(from, reply)
		return
	}
	lenders := s.options.Borrower.Lenders()
	s.borrowing.Go(func() {
		var loans sync.WaitGroup
		for _, i := range short {
			loans.Go(func() { s.options.Borrower.Fill(request.Demands[i], &grant.Results[i], lenders, sender) })
		}
		loans.Wait()
		sender.SendDatagram(from, reply)
	})
}

// lend gives another control node what this one has, up to what it asks for.
func (s *TokenServer) lend(demand quota.TenantDemand, now time.Time) int64 {
	wanted := min(demand.MilliTokens, milli*quota.MaxTokensPerDemand)
	return int64(milli * s.options.Allocator.Withdraw(demand.Tenant, float64(wanted)/milli, now))
}

// grant gives a data plane node what this node has, and reports whether less than what is
// required was there.
func (s *TokenServer) grant(demand quota.TenantDemand, result *quota.TenantGrant, now time.Time) (short bool) {
	required := min(demand.Required, quota.MaxTokensPerDemand)
	prefetch := min(demand.Prefetch, quota.MaxTokensPerDemand)
	granted, retryAfter := s.options.Allocator.Take(demand.Tenant, max(0, required)+max(0, prefetch), now)
	result.Granted = granted
	if granted < required+prefetch {
		s.options.OnTokensTaken()
	}
	if granted >= required {
		return false
	}
	result.RetryAfterMs = max(1, retryAfter.Milliseconds())
	return true
}
