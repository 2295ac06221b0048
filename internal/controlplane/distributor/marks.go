package distributor

import (
	"comethold/internal/controlplane/schema"
	"comethold/internal/distribution"
)

// maxMarkDigests is the maximum number of digests in a markDigests.
const maxMarkDigests = 64

// markTable holds the ejection marks of all indexes.
type markTable struct {
	byIndex map[string]distribution.EjectionMarks
	digests markDigests
}

func newMarkTable() markTable {
	return markTable{
		byIndex: map[string]distribution.EjectionMarks{},
		digests: markDigests{logIndexes: map[uint64]map[string]uint64{}},
	}
}

// set replaces the marks of an index, unless they are equal or differ only in their log index.
// It reports whether they were replaced.
func (t *markTable) set(marks distribution.EjectionMarks) bool {
	if held, exists := t.byIndex[marks.IndexName]; exists {
		held.LogIndex = marks.LogIndex
		if schema.EqualEncoding(held, marks) {
			return false
		}
	}
	t.byIndex[marks.IndexName] = marks
	t.updateDigest()
	return true
}

// drop removes the marks of an index and reports whether there were any.
func (t *markTable) drop(indexName string) bool {
	if _, exists := t.byIndex[indexName]; !exists {
		return false
	}
	delete(t.byIndex, indexName)
	t.updateDigest()
	return true
}

// updateDigest computes the digest of the current marks.
func (t *markTable) updateDigest() {
	logIndexes := make(map[string]uint64, len(t.byIndex))
	for indexName, marks := range t.byIndex {
		logIndexes[indexName] = marks.LogIndex
	}
	t.digests.current = distribution.MarksDigest(logIndexes)
	t.digests.add(t.digests.current, logIndexes)
}

// addTo adds to an update the marks that a node lacks. If the node's digest is unknown, it sets
// NeedMarkLogIndexes instead, so that the node sends the log indexes of its marks.
func (t *markTable) addTo(update *distribution.Update, held distribution.HeldVersions) {
	heldIndexes := held.MarkLogIndexes
	if heldIndexes != nil {
		t.digests.add(held.MarksDigest, heldIndexes)
	} else if held.MarksDigest == t.digests.current {
		return
	} else if held.MarksDigest != 0 {
		var isKnown bool
		if heldIndexes, isKnown = t.digests.logIndexes[held.MarksDigest]; !isKnown {
			update.NeedMarkLogIndexes = true
			return
		}
	}
	for indexName, marks := range t.byIndex {
		if logIndex, exists := heldIndexes[indexName]; !exists || logIndex < marks.LogIndex {
			update.EjectionMarks = append(update.EjectionMarks, marks)
		}
	}
	for indexName := range heldIndexes {
		if _, exists := t.byIndex[indexName]; !exists && len(t.byIndex) > 0 {
			update.RemovedSearchIndexes = append(update.RemovedSearchIndexes, indexName)
		}
	}
}

// markDigests maps digests of marks to the log indexes from which they were computed. A node
// sends only the digest of the marks that it holds. The map contains the digests of the recent
// states of this node, and digests that nodes sent together with their log indexes.
type markDigests struct {
	current    uint64                       // of the marks in the markTable
	logIndexes map[uint64]map[string]uint64 // by digest
	order      []uint64                     // digests, oldest first
}

// add adds a digest, and removes the oldest one if there are more than maxMarkDigests.
func (d *markDigests) add(digest uint64, logIndexes map[string]uint64) {
	if _, isKnown := d.logIndexes[digest]; isKnown {
		return
	}
	d.logIndexes[digest] = logIndexes
	d.order = append(d.order, digest)
	if len(d.order) > maxMarkDigests {
		delete(d.logIndexes, d.order[0])
		d.order = d.order[1:]
	}
}
