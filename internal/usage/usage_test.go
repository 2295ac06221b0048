package usage

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestCountsSurviveLossAndRepetition: whatever is lost, doubled, late or told to several registrars, some of
// which forget all, the sum is what was counted.
func TestCountsSurviveLossAndRepetition(t *testing.T) {
	const length = 5 * time.Second
	start := time.Unix(1_700_000_000, 0)
	for seed := range int64(30) {
		rng := rand.New(rand.NewSource(seed))
		books := []*Store{NewStore(), NewStore(), NewStore()}
		lives := []uint64{1, 2, 3}
		truth := Windows{}
		var meters []*Counter
		for i := range 5 {
			meters = append(meters, NewCounter(uint64(100+i), length))
		}
		var late []*CountReport
		for step := range 400 {
			at := start.Add(time.Duration(step) * 50 * time.Millisecond)
			m := meters[rng.Intn(len(meters))]
			tenant := fmt.Sprint("t", rng.Intn(4))
			m.Add(tenant, at)
			w := WindowAt(at, length)
			if truth[w] == nil {
				truth[w] = Counts{}
			}
			truth[w][tenant]++
			tally := m.NextReport()
			k := rng.Intn(len(books))
			switch rng.Intn(5) {
			case 0: // lost
			case 1: // late, to another
				late = append(late, tally)
			case 2: // taken twice, the answer lost
				books[k].Add(tally)
				books[k].Add(tally)
			default:
				books[k].Add(tally)
				m.Acknowledge(&CountAck{Sequence: tally.Sequence, Incarnation: lives[k]})
			}
			if rng.Intn(60) == 0 { // a registrar comes back and knows nothing
				books[k], lives[k] = NewStore(), uint64(rng.Int63())
			}
		}
		for _, l := range late {
			books[0].Add(l)
		}
		for _, m := range meters { // each ends at the registrar that feeds it
			for range 2 {
				tally := m.NextReport()
				books[1].Add(tally)
				m.Acknowledge(&CountAck{Sequence: tally.Sequence, Incarnation: lives[1]})
			}
			if tally := m.NextReport(); len(tally.Windows) > 0 {
				t.Fatalf("seed %d: %v is told again", seed, tally.Windows)
			}
		}
		for w, want := range truth {
			if got := Total(books[0].Window(w), books[1].Window(w), books[2].Window(w)); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("seed %d: window %d has %v, counted were %v", seed, w, got, want)
			}
		}
	}
}

// TestAckOfFormerIncarnation: an answer to a tally of a node's former life settles nothing of the
// next, whose count would be missing for good.
func TestAckOfFormerIncarnation(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	former, next := NewCounter(100, time.Second), NewCounter(1<<40, time.Second)
	former.Add("a", at)
	late := &CountAck{Sequence: former.NextReport().Sequence, Incarnation: 1}
	next.Add("a", at)
	next.NextReport() // lost
	next.Acknowledge(late)
	if tally := next.NextReport(); len(tally.Windows) != 1 {
		t.Errorf("what was lost is not told again: %v", tally)
	}
}

// TestClock: a minority of wrong clocks moves nothing, neither at the first agreement
// nor later, and one that starts anew takes what the others agree on.
func TestClock(t *testing.T) {
	const n = 5
	true0 := time.Unix(1_700_000_000, 0)
	now := time.Now()
	clocks := make([]*Clock, n)
	wrong := make([]time.Duration, n)
	wrong[4] = 3 * time.Second
	for i := range clocks {
		clocks[i] = NewClock(now)
	}
	began := now
	turn := func(span time.Duration) {
		for end := now.Add(span); now.Before(end); now = now.Add(100 * time.Millisecond) {
			truth := true0.Add(now.Sub(began))
			for i, c := range clocks {
				for j, o := range clocks {
					if i != j {
						agreed := int64(0)
						if at, ok := o.Now(now); ok {
							agreed = at.UnixNano()
						}
						c.Observe(fmt.Sprint(j), truth.Add(wrong[j]).UnixNano(), agreed, now)
					}
				}
			}
			for i, c := range clocks {
				c.Update(truth.Add(wrong[i]).UnixNano(), n, 100*time.Millisecond, now)
			}
		}
	}
	check := func(what string) {
		t.Helper()
		truth := true0.Add(now.Sub(began))
		for i, c := range clocks {
			if at, ok := c.Now(now); !ok || at.Sub(truth).Abs() > 20*time.Millisecond {
				t.Errorf("%s: clock %d is off by %v", what, i, at.Sub(truth))
			}
		}
	}
	turn(3 * time.Second)
	check("at the start, one wrong")
	wrong[4], wrong[0], wrong[1] = 0, -5*time.Second, 4*time.Second
	turn(20 * time.Second)
	check("two jump")
	wrong[2] = 7 * time.Second // most are wrong: what was agreed on holds
	turn(20 * time.Second)
	check("three jump")
	clocks[3] = NewClock(now)
	turn(time.Second)
	check("one starts anew meanwhile")
}

// TestNewestWindowsReportedFirst: a node whose registrar is another one tells the newest windows first.
func TestNewestWindowsReportedFirst(t *testing.T) {
	m := NewCounter(1, time.Second)
	for w := range 20 {
		for k := range 100 {
			m.Add(fmt.Sprint("t", k), time.Unix(int64(1000+w), 0))
		}
	}
	if tally := m.NextReport(); len(tally.Windows[1019]) != 100 || len(tally.Windows[1018]) != 100 {
		t.Errorf("the first tally holds %d and %d of the newest windows", len(tally.Windows[1019]), len(tally.Windows[1018]))
	}
}
