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

// fakeStorage keeps one value and may refuse it.
type fakeStorage struct {
	mu      sync.Mutex // guards the fields below
	value   []byte
	refuses bool
	writes  int
}

func (s *fakeStorage) NodeValue(string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

func (s *fakeStorage) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// takeWrites returns how many writes there were since the last call.
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
	if s.refuses {
		return errors.ErrUnsupported
	}
	s.value = value
	return nil
}

// TestWatermarksOutliveRestart: watermarks that are stored are loaded; what can't be read is
// told from what is empty.
func TestWatermarksOutliveRestart(t *testing.T) {
	disk := &fakeStorage{}
	store := NewWatermarkStore(quota.NewAllocator(), disk)
	if got := store.Load(); got == nil || len(got) != 0 {
		t.Errorf("without stored ones: %v", got)
	}
	if !store.store(map[string]float64{tenant: 3}) || store.Load()[tenant] != 3 {
		t.Errorf("loaded are %v", store.Load())
	}
	disk.value = []byte("garbled")
	if got := store.Load(); got != nil {
		t.Errorf("of garbled ones: %v", got)
	}
}

// TestWatermarksAreStoredWhenDue: watermarks are written when they have to move and not
// otherwise, also after a disk has refused one.
func TestWatermarksAreStoredWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := quota.NewAllocator()
		disk := &fakeStorage{refuses: true}
		store := NewWatermarkStore(allocator, disk)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go store.Run(ctx)
		time.Sleep(time.Minute)
		if writes := disk.takeWrites(); writes != 0 {
			t.Errorf("%d writes without a share", writes)
		}
		now := time.Now()
		limits := quota.BucketLimits{Rate: slowRefillRate, Depth: bucketDepth}
		allocator.SetTenants(map[string]quota.BucketLimits{tenant: limits}, now)
		allocator.Renew(1, now.Add(time.Hour), now)
		allocator.Deposit(tenant, bucketDepth, now)
		time.Sleep(time.Second)
		if writes := disk.takeWrites(); writes == 0 || disk.NodeValue("") != nil {
			t.Errorf("%d writes to a disk that refuses", writes)
		}
		disk.setRefuses(false)
		allocator.Withdraw(tenant, 0.9*bucketDepth, time.Now())
		store.Wake()
		time.Sleep(time.Second)
		var watermarks map[string]float64
		if rpc.Unmarshal(disk.NodeValue(""), &watermarks) != nil || watermarks[tenant] <= 0 {
			t.Errorf("stored are %v", watermarks)
		}
		disk.takeWrites()
		time.Sleep(time.Minute)
		if writes := disk.takeWrites(); writes != 0 {
			t.Errorf("%d writes while nothing moves", writes)
		}
	})
}
