package usage

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// testLink carries reports from counters to stores and loses, repeats and delays some.
type testLink struct {
	rng          *rand.Rand
	stores       []*Store
	incarnations []uint64 // of the stores' nodes
	late         []*CountReport
}

func (l *testLink) deliver(counter *Counter) {
	report := counter.NextReport()
	i := l.rng.Intn(len(l.stores))
	switch l.rng.Intn(5) {
	case 0: // lost
	case 1: // late, to another store
		l.late = append(l.late, report)
	case 2: // repeated, and the answer lost
		l.stores[i].Add(report)
		l.stores[i].Add(report)
	default:
		l.stores[i].Add(report)
		counter.Acknowledge(&CountAck{Sequence: report.Sequence, Incarnation: l.incarnations[i]})
	}
}

// restart has a store's node restart now and then, which loses its counts.
func (l *testLink) restart() {
	if l.rng.Intn(60) == 0 {
		i := l.rng.Intn(len(l.stores))
		l.stores[i] = NewStore()
		l.incarnations[i] = uint64(l.rng.Int63())
	}
}

// TestCountsSurviveLossAndRepetition: whatever is lost, repeated, late or sent to several
// stores, some of which lose everything, the total is what was counted.
func TestCountsSurviveLossAndRepetition(t *testing.T) {
	const windowLength = 5 * time.Second
	start := time.Unix(1_700_000_000, 0)
	for seed := range int64(30) {
		link := &testLink{
			rng:          rand.New(rand.NewSource(seed)),
			stores:       []*Store{NewStore(), NewStore(), NewStore()},
			incarnations: []uint64{1, 2, 3},
		}
		counted := Windows{}
		var counters []*Counter
		for i := range 5 {
			counters = append(counters, NewCounter(uint64(100+i), windowLength))
		}
		for step := range 400 {
			at := start.Add(time.Duration(step) * 50 * time.Millisecond)
			counter := counters[link.rng.Intn(len(counters))]
			tenant := fmt.Sprint("t", link.rng.Intn(4))
			counter.Add(tenant, at)
			window := WindowAt(at, windowLength)
			if counted[window] == nil {
				counted[window] = Counts{}
			}
			counted[window][tenant]++
			link.deliver(counter)
			link.restart()
		}
		for _, report := range link.late {
			link.stores[0].Add(report)
		}
		requireAllReported(t, seed, counters, link.stores[1], link.incarnations[1])
		for window, want := range counted {
			got := Total(link.stores[0].Window(window), link.stores[1].Window(window), link.stores[2].Window(window))
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("seed %d: window %d: got %v, want %v", seed, window, got, want)
			}
		}
	}
}

// requireAllReported has each counter send all it has to one store, as it does to the node
// that it gets its updates from, and fails if one reports anything again after that.
func requireAllReported(t *testing.T, seed int64, counters []*Counter, store *Store, incarnation uint64) {
	t.Helper()
	for _, counter := range counters {
		for range 2 {
			report := counter.NextReport()
			store.Add(report)
			counter.Acknowledge(&CountAck{Sequence: report.Sequence, Incarnation: incarnation})
		}
		if report := counter.NextReport(); len(report.Windows) > 0 {
			t.Fatalf("seed %d: %v is reported again", seed, report.Windows)
		}
	}
}

// TestAckOfFormerIncarnation: an answer to a report of a node's former incarnation
// acknowledges nothing of the next, whose count would be missing for good.
func TestAckOfFormerIncarnation(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	former, next := NewCounter(100, time.Second), NewCounter(1<<40, time.Second)
	former.Add("a", at)
	late := &CountAck{Sequence: former.NextReport().Sequence, Incarnation: 1}
	next.Add("a", at)
	next.NextReport() // lost
	next.Acknowledge(late)
	if report := next.NextReport(); len(report.Windows) != 1 {
		t.Errorf("what was lost is not reported again: %v", report)
	}
}

// TestNewestWindowsReportedFirst: a counter whose control node is another one reports
// the newest windows first.
func TestNewestWindowsReportedFirst(t *testing.T) {
	counter := NewCounter(1, time.Second)
	for window := range 20 {
		for tenant := range 100 {
			counter.Add(fmt.Sprint("t", tenant), time.Unix(int64(1000+window), 0))
		}
	}
	report := counter.NextReport()
	if len(report.Windows[1019]) != 100 || len(report.Windows[1018]) != 100 {
		t.Errorf("the first report holds %d and %d counts of the newest windows, want 100 of each",
			len(report.Windows[1019]), len(report.Windows[1018]))
	}
}
