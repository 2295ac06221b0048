package replicahost

import (
	"fmt"
	"sort"
	"testing"
)

// TestPeerAddresses guards against a node that knows no voters and never contacts the leader,
// which need not be a seed: without the leader the node cannot catch up. Its addresses include
// the seeds, the registered nodes and the live peers, but neither itself nor peers
// that are not live.
func TestPeerAddresses(t *testing.T) {
	h := New(Options{
		Self:    PeerInfo{ID: "1~a", Addr: "1"},
		Seeds:   []string{"1", "2"},
		Hooks:   Hooks{RegisteredAddresses: func() []string { return []string{"3", "1"} }},
		Network: unreachable,
	})
	h.peers.record(PeerInfo{ID: "4", Addr: "4"}, 0)
	h.peers.record(PeerInfo{ID: "5", Addr: "5"}, -2*LearnerTimeout)
	got := h.PeerAddresses()
	sort.Strings(got)
	if fmt.Sprint(got) != "[2 3 4]" {
		t.Errorf("PeerAddresses returned %v, want [2 3 4]", got)
	}
}

// TestPeerReturnsUnderAnotherID guards against a former replica of a peer that is not recorded as
// replaced, and against one that stays replaced although a message arrives under its ID again.
func TestPeerReturnsUnderAnotherID(t *testing.T) {
	peers := newPeerTable()
	if found := peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 0); !found.isNew || found.replaced != "" {
		t.Errorf("record of the first message returned %+v, want a new peer without a replaced ID", found)
	}
	if found := peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 3); found.isNew || found.contactAge != 3 {
		t.Errorf("record of a second message under the same ID returned %+v, want a known peer with contact age 3", found)
	}
	if found := peers.record(PeerInfo{ID: "1~b", Addr: "1"}, 4); !found.isNew || found.replaced != "1~a" {
		t.Errorf("record of a message under another ID returned %+v, want a new ID that replaces 1~a", found)
	}
	if !peers.isReplaced("1~a") || peers.isReplaced("1~b") {
		t.Error("1~b replaced 1~a: isReplaced is false for 1~a or true for 1~b, want true for 1~a and false for 1~b")
	}
	if contacted := peers.contactsSince(3); len(contacted) != 1 || contacted["1"].ID != "1~b" {
		t.Errorf("contactsSince(3) returned %v, want only 1~b at address 1", contacted)
	}
	peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 5)
	if peers.isReplaced("1~a") || !peers.isReplaced("1~b") {
		t.Error("1~a replaced 1~b: isReplaced is true for 1~a or false for 1~b, want false for 1~a and true for 1~b")
	}
}
