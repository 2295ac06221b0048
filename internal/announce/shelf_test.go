package announce

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"comethold/internal/event"
	"comethold/internal/feed"
	"comethold/internal/recorder"
	"comethold/internal/scenario"
	"comethold/internal/vault"
)

func reopen(t *testing.T, dir string) (*shelf, uint64, map[string]*recorder.Recording) {
	t.Helper()
	s, pos := openShelf(dir, 1<<20, vault.Files{}, event.Nop())
	got := map[string]*recorder.Recording{}
	s.start(func(r *recorder.Recording) { got[r.Target] = r })
	return s, pos, got
}

func (s *shelf) settle() {
	for {
		s.mu.Lock()
		n := len(s.queue)
		s.mu.Unlock()
		if n == 0 {
			time.Sleep(2 * shelfPause) // the batch under way
			return
		}
		time.Sleep(shelfPause / 10)
	}
}

// TestShelf: copies and the purges that name them come back together; damage
// costs copies, never the start.
func TestShelf(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := reopen(t, dir)
	read := time.Now().Add(-3 * time.Second)
	for _, target := range []string{"/a", "/b", "/c"} {
		s.put(&recorder.Recording{Host: "h", Target: target, ETag: "t", Labels: []string{"l" + target}, Body: []byte("x" + target), Read: read, Pos: 5})
	}
	s.recalled(&feed.Recalls{Pos: 7, All: []feed.Recall{{Pos: 6, Host: "h", Path: "/a"}, {Pos: 7, Label: "l/b"}}})
	s.settle()
	s.close()

	s, pos, got := reopen(t, dir)
	if pos != 7 || len(got) != 1 || got["/c"] == nil || string(got["/c"].Body) != "x/c" {
		t.Fatalf("position %d, copies %v", pos, got)
	}
	if age := got["/c"].Age(time.Now()); age < 3*time.Second || age > time.Minute {
		t.Fatalf("its age is %v", age)
	}
	s.recalled(&feed.Recalls{Pos: 9, Reset: true})
	s.settle()
	s.close()
	s, pos, got = reopen(t, dir)
	s.close()
	if pos != 9 || len(got) != 0 {
		t.Fatalf("after a reset: position %d, copies %v", pos, got)
	}

	path := filepath.Join(dir, "copies.db")
	if err := os.WriteFile(path, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, pos, got = reopen(t, dir)
	s.close()
	if pos != 0 || len(got) != 0 {
		t.Fatalf("of a damaged file: position %d, copies %v", pos, got)
	}
}

// TestShelfInTrouble: a disk that refuses a purge and takes the next one has no copy that
// the first one named; one that is full or hangs at the start keeps nobody from it, and
// its copies of before are not used later.
func TestShelfInTrouble(t *testing.T) { synctest.Test(t, shelfInTrouble) }

func shelfInTrouble(t *testing.T) {
	dir := t.TempDir()
	d := &scenario.Disk{Under: vault.Files{}, Luck: func() float64 { return 0 }}
	open := func() (*shelf, uint64, int) {
		t.Helper()
		from, n := time.Now(), 0
		s, pos := openShelf(dir, 1<<20, d, event.Nop())
		s.start(func(*recorder.Recording) { n++ })
		if took := time.Since(from); took > 2*shelfWait {
			t.Fatalf("the start took %v", took)
		}
		return s, pos, n
	}
	s, _, _ := open()
	s.put(&recorder.Recording{Host: "h", Target: "/a", ETag: "t", Pos: 5})
	s.settle()
	d.Set(true, false)
	s.recalled(&feed.Recalls{Pos: 6, All: []feed.Recall{{Pos: 6, Host: "h", Path: "/a"}}})
	s.settle()
	d.Set(false, false)
	s.recalled(&feed.Recalls{Pos: 7, All: []feed.Recall{{Pos: 7, Host: "h", Path: "/b"}}})
	s.settle()
	s.close()
	s, pos, n := open()
	if pos != 7 || n != 0 {
		t.Fatalf("after a purge that was refused: position %d, %d copies", pos, n)
	}
	s.put(&recorder.Recording{Host: "h", Target: "/c", ETag: "t", Pos: 7})
	s.settle()
	s.close()
	db, err := d.Open(filepath.Join(dir, "copies.db")) // another process has it still
	if err != nil {
		t.Fatal(err)
	}
	s, pos, n = open()
	if pos != 0 || n != 0 {
		t.Fatalf("of a disk that does not answer: position %d, %d copies", pos, n)
	}
	s.recalled(&feed.Recalls{Pos: 9, All: []feed.Recall{{Pos: 9, Host: "h", Path: "/c"}}})
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * shelfRetry)
	s.settle()
	d.Set(false, true)
	s.recalled(&feed.Recalls{Pos: 10})
	time.Sleep(2 * shelfPause)
	s.close() // is not held up by what hangs
	d.End()
	d.Set(false, false)
	<-s.gone
	_ = s.db.Close()
	s, pos, n = open()
	s.close()
	if pos != 9 || n != 0 {
		t.Fatalf("opened late: position %d, %d copies", pos, n)
	}
}

// TestDamagedCopy: a copy with a single byte changed is no copy.
func TestDamagedCopy(t *testing.T) {
	now := present("boot")
	v := encodeCopy(&recorder.Recording{Host: "h", Target: "/a", ETag: "t", Body: []byte("body")}, now, time.Now())
	for i := range v {
		w := append([]byte(nil), v...)
		w[i] ^= 4
		if decodeCopy(w, now, time.Now()) != nil {
			t.Fatalf("byte %d changed and the copy was taken", i)
		}
	}
}

// TestMoment: an age is told only within one boot, by a steady clock that moved
// on and a time of day that agrees.
func TestMoment(t *testing.T) {
	s := int64(time.Second)
	old := moment{"b", 100 * s, 1000 * s}
	for _, c := range []struct {
		now  moment
		want bool
	}{
		{moment{"b", 110 * s, 1010 * s}, true},
		{moment{"b", 110 * s, 1011 * s}, true},
		{moment{"c", 110 * s, 1010 * s}, false}, // another boot
		{moment{"b", 90 * s, 1010 * s}, false},  // the steady clock began anew
		{moment{"b", 110 * s, 1005 * s}, false}, // the time of day jumped
		{moment{"b", 110 * s, 1020 * s}, false},
		{moment{}, false},
	} {
		if age, ok := c.now.since(old); ok != c.want || ok && age < 10*time.Second {
			t.Errorf("%v: %v %v", c.now, age, ok)
		}
	}
}
