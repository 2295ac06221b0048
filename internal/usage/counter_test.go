package usage

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// lossyLink delivers reports from counters to stores and loses, duplicates and delays some.
type lossyLink struct {
	rng          *rand.Rand
	stores       []*Store
	incarnations []uint64 // of the stores' nodes
	delayed      []*CountReport
}

// deliver sends the counter's next report to a random store and returns the store's index.
func (l *lossyLink) deliver(counter *Counter) (store int) {
	report := counter.NextReport()
	i := l.rng.Intn(len(l.stores))
	switch l.rng.Intn(5) {
	case 0: // lost
	case 1: // delayed, and delivered to the first store at the end
		l.delayed = append(l.delayed, report)
	case 2: // duplicated, and the answer is lost
		l.stores[i].Add(report)
		l.stores[i].Add(report)
	default:
		l.stores[i].Add(report)
		counter.Acknowledge(&CountAck{Sequence: report.Sequence, Incarnation: l.incarnations[i]})
	}
	return i
}

// maybeRestart restarts a store's node with a probability of 1/60. The store loses its counts.
func (l *lossyLink) maybeRestart(i int) {
	if l.rng.Intn(60) == 0 {
		l.stores[i] = NewStore()
		l.incarnations[i] = uint64(l.rng.Int63())
	}
}

// TestTotalSurvivesLossDuplicationAndRestarts guards against requests that are counted twice or
// not at all: reports are lost, duplicated, delayed or sent to several stores, and stores restart
// without their counts.
func TestTotalSurvivesLossDuplicationAndRestarts(t *testing.T) {
	const windowLength = 5 * time.Second
	start := time.Unix(1_700_000_000, 0)
	for seed := range int64(30) {
		link := &lossyLink{
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
			store := link.deliver(counter)
			link.maybeRestart(store) // may lose a report that is already acknowledged
		}
		for _, report := range link.delayed {
			link.stores[0].Add(report)
		}
		requireAllReported(t, seed, counters, link.stores[1], link.incarnations[1])
		for window, want := range counted {
			got := Total(link.stores[0].Window(window), link.stores[1].Window(window), link.stores[2].Window(window))
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("seed %d: Total of window %d returned %v, want %v", seed, window, got, want)
			}
		}
	}
}

// requireAllReported delivers two reports of each counter to one store, as a node does that stays
// with one control node. It fails the test if a counter has unacknowledged counts after that.
func requireAllReported(t *testing.T, seed int64, counters []*Counter, store *Store, incarnation uint64) {
	t.Helper()
	for _, counter := range counters {
		for range 2 {
			report := counter.NextReport()
			store.Add(report)
			counter.Acknowledge(&CountAck{Sequence: report.Sequence, Incarnation: incarnation})
		}
		if report := counter.NextReport(); len(report.Windows) > 0 {
			t.Fatalf("seed %d: NextReport returned %v after all counts were acknowledged, want none", seed, report.Windows)
		}
	}
}

// TestAckOfFormerIncarnationIgnored guards against permanently lost counts: a late answer to a
// node's former incarnation must not acknowledge a lost report of the next incarnation.
func TestAckOfFormerIncarnationIgnored(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	former, next := NewCounter(100, time.Second), NewCounter(1<<40, time.Second)
	former.Add("a", at)
	lateAck := &CountAck{Sequence: former.NextReport().Sequence, Incarnation: 1}
	next.Add("a", at)
	next.NextReport() // lost
	next.Acknowledge(lateAck)
	if report := next.NextReport(); len(report.Windows) != 1 {
		t.Errorf("NextReport after a lost report and an unrelated acknowledgement returned %v, want 1 window", report)
	}
}

// TestNewestWindowsReportedFirst guards against a report that is full of old windows: after a
// change of the control node all counts are unacknowledged and don't fit into one report.
func TestNewestWindowsReportedFirst(t *testing.T) {
	counter := NewCounter(1, time.Second)
	for window := range 20 {
		for tenant := range 100 {
			counter.Add(fmt.Sprint("t", tenant), time.Unix(int64(1000+window), 0))
		}
	}
	report := counter.NextReport()
	if len(report.Windows[1019]) != 100 || len(report.Windows[1018]) != 100 {
		t.Errorf("the first report has %d and %d counts of the two newest windows, want 100 of each",
			len(report.Windows[1019]), len(report.Windows[1018]))
	}
}
