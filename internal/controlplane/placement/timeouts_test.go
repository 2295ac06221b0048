package placement

import (
	"testing"
	"time"

	"comethold/internal/controlplane/replicahost"
)

// TestTimeouts guards against a lost voter that is replaced only after the next machine may be
// lost, and against a candidate that was lost together with the voter.
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
			t.Errorf("catchUp %v: voter timeout %v, want %v", c.catchUp, timeouts.Voter, c.voter)
		}
		if timeouts.Candidate >= timeouts.Voter {
			t.Errorf("catchUp %v: candidate timeout %v, want below %v", c.catchUp, timeouts.Candidate, timeouts.Voter)
		}
	}
}
