package allocation

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/quota"
	"comethold/internal/rpc"
)

// fakeStorage stores one value. Writes fail while failWrites is set.
type fakeStorage struct {
	mu         sync.Mutex // guards the fields below
	value      []byte
	failWrites bool
	writes     int
}

func (s *fakeStorage) NodeValue(string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

func (s *fakeStorage) setFailWrites(failWrites bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failWrites = failWrites
}

// takeWrites returns the number of attempted writes since the last call.
func (s *fakeStorage) takeWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes := s.writes
	s.writes = 0
	return writes
}

func (s *fakeStorage) SetNodeValue(_ string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.failWrites {
		return errors.ErrUnsupported
	}
	s.value = value
	return nil
}

// TestLoadStoredWatermarks: Load returns the stored watermarks. It distinguishes a value that can't
// be decoded (nil) from a missing one (empty).
func TestLoadStoredWatermarks(t *testing.T) {
	disk := &fakeStorage{}
	store := NewWatermarkStore(quota.NewAllocator(), disk)
	if got := store.Load(); got == nil || len(got) != 0 {
		t.Errorf("Load without a stored value returned %v, want an empty map", got)
	}
	if !store.store(map[string]float64{tenant: 3}) || store.Load()[tenant] != 3 {
		t.Errorf("Load after storing 3 tokens returned %v, want 3 tokens", store.Load())
	}
	disk.value = []byte("garbled")
	if got := store.Load(); got != nil {
		t.Errorf("Load of a corrupt value returned %v, want nil", got)
	}
}

// TestWatermarksStoredOnlyWhenDue: watermarks are written only when one must change. A failed write
// is retried.
func TestWatermarksStoredOnlyWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := quota.NewAllocator()
		disk := &fakeStorage{failWrites: true}
		store := NewWatermarkStore(allocator, disk)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go store.Run(ctx)
		time.Sleep(time.Minute)
		if writes := disk.takeWrites(); writes != 0 {
			t.Errorf("Run made %d writes in a minute without a share, want 0", writes)
		}
		now := time.Now()
		limits := quota.BucketLimits{Rate: slowRefillRate, Depth: bucketDepth}
		allocator.SetTenants(map[string]quota.BucketLimits{tenant: limits}, now)
		allocator.Renew(1, now.Add(time.Hour), now)
		allocator.Deposit(tenant, bucketDepth, now)
		time.Sleep(time.Second)
		if writes := disk.takeWrites(); writes == 0 || disk.NodeValue("") != nil {
			t.Errorf("Run made %d writes to a failing storage, want at least 1 and no stored value", writes)
		}
		disk.setFailWrites(false)
		allocator.Withdraw(tenant, 0.9*bucketDepth, time.Now())
		store.Wake()
		time.Sleep(time.Second)
		var watermarks map[string]float64
		if rpc.Unmarshal(disk.NodeValue(""), &watermarks) != nil || watermarks[tenant] <= 0 {
			t.Errorf("stored watermarks are %v after a withdrawal, want a positive one", watermarks)
		}
		disk.takeWrites()
		time.Sleep(time.Minute)
		if writes := disk.takeWrites(); writes != 0 {
			t.Errorf("Run made %d writes in a minute without changes, want 0", writes)
		}
	})
}
