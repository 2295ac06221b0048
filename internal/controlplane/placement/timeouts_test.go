package placement

import (
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
)

// TestTimeouts guards against a voter that is replaced only when the next machine may be lost
// already, and against a candidate that was lost together with the voter.
func TestTimeouts(t *testing.T) {
	for _, c := range []struct {
		catchUp, voter time.Duration
	}{
		{4 * time.Second, 2 * time.Second},
		{6 * time.Second, 3 * time.Second},
		{time.Minute, replicahost.DownTimeout},
		{time.Second, minVoterTimeout},
		{0, replicahost.DownTimeout},
	} {
		timeouts := TimeoutsFor(c.catchUp)
		if timeouts.Voter != c.voter {
			t.Errorf("catchUp %v: a voter is replaced after %v, not %v", c.catchUp, timeouts.Voter, c.voter)
		}
		if timeouts.Candidate >= timeouts.Voter {
			t.Errorf("catchUp %v: candidates %v, voters %v", c.catchUp, timeouts.Candidate, timeouts.Voter)
		}
	}
}
