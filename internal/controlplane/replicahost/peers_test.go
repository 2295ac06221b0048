package replicahost

import (
	"fmt"
	"sort"
	"testing"
)

// TestPeerAddresses: a node that knows no voters greets, besides its seeds, whoever greets it
// and whoever is registered: the leader need not be a seed, and only it catches others up.
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
		t.Errorf("greets %v", got)
	}
}

// TestPeerComesBackUnderAnotherID: the replica that a peer had before is replaced, until it is
// heard again.
func TestPeerComesBackUnderAnotherID(t *testing.T) {
	peers := newPeerTable()
	if found := peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 0); !found.isNew || found.replaced != "" {
		t.Errorf("at first: %+v", found)
	}
	if found := peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 3); found.isNew || found.contactAge != 3 {
		t.Errorf("heard again: %+v", found)
	}
	if found := peers.record(PeerInfo{ID: "1~b", Addr: "1"}, 4); !found.isNew || found.replaced != "1~a" {
		t.Errorf("under another ID: %+v", found)
	}
	if !peers.isReplaced("1~a") || peers.isReplaced("1~b") {
		t.Error("the wrong replica is replaced")
	}
	if heard := peers.contactsSince(3); len(heard) != 1 || heard["1"].ID != "1~b" {
		t.Errorf("heard are %v", heard)
	}
	peers.record(PeerInfo{ID: "1~a", Addr: "1"}, 5)
	if peers.isReplaced("1~a") || !peers.isReplaced("1~b") {
		t.Error("the replica that is back is replaced still")
	}
}
