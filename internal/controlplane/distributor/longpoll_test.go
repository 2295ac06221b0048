package distributor

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/distribution"
)

// TestLongPoll: a request is answered at once if there are changes for the node, if the state may
// be stale, or if the request is immediate. Otherwise it is answered at the next change, when
// the node stops, or after longPollTimeout.
func TestLongPoll(t *testing.T) {
	for _, c := range []struct {
		name    string
		request distribution.UpdateRequest
		isStale bool
		change  time.Duration // when the endpoint list changes
		stop    time.Duration // when the node stops
		want    time.Duration // when the request is answered
		isEmpty bool
		err     error
	}{
		{name: "changes at once", change: 0, want: 0},
		{name: "change later", change: 300 * time.Millisecond, want: 300 * time.Millisecond},
		{name: "timeout", change: time.Hour, want: longPollTimeout, isEmpty: true},
		{name: "stale", isStale: true, change: time.Hour, want: 0, isEmpty: true},
		{
			name:    "immediate",
			request: distribution.UpdateRequest{Immediate: true},
			change:  time.Hour,
			want:    0,
			isEmpty: true,
		},
		{name: "stop", change: time.Hour, stop: 200 * time.Millisecond, want: 200 * time.Millisecond, err: errStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stopping := make(chan struct{})
				d := New(Options{})
				poll := &LongPoll{Distributor: d, IsStale: func() bool { return c.isStale }, Stopping: stopping}
				list := &distribution.EndpointList{Revision: distribution.Revision{Term: 1, Sequence: 1}}
				if c.change == 0 {
					d.SetEndpoints(list)
				} else {
					timer := time.AfterFunc(c.change, func() { d.SetEndpoints(list) })
					defer timer.Stop()
				}
				if c.stop > 0 {
					time.AfterFunc(c.stop, func() { close(stopping) })
				}
				begin := time.Now()
				update, err := poll.wait(t.Context(), &c.request)
				if took := time.Since(begin); took != c.want {
					t.Errorf("wait returned after %v, want %v", took, c.want)
				}
				if !errors.Is(err, c.err) {
					t.Errorf("wait returned error %v, want %v", err, c.err)
				}
				if err == nil && update.IsEmpty != c.isEmpty {
					t.Errorf("wait returned an update with IsEmpty = %v, want %v", update.IsEmpty, c.isEmpty)
				}
			})
		})
	}
}
