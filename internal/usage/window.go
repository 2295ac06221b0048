package usage

import (
	"encoding/json"
	"time"
)

// retainedWindows is the number of past windows that nodes keep.
const retainedWindows = 40

// Counts are numbers of requests by tenant.
type Counts map[string]uint64

// Windows are counts by window number.
type Windows map[uint64]Counts

// IncarnationCounts are the counts of one window, by the incarnation of the node that made them.
type IncarnationCounts map[uint64]Counts

// WindowAt returns the number of the window that contains the agreed time at.
func WindowAt(at time.Time, length time.Duration) uint64 {
	return uint64(at.UnixNano() / int64(length))
}

// WindowEnd returns the agreed time at which a window ends.
func WindowEnd(window uint64, length time.Duration) time.Time {
	return time.Unix(0, int64(window+1)*int64(length))
}

// Total returns the total counts of a window from the counts that several control nodes hold. Of
// each incarnation and tenant it uses the greatest count that any control node received.
func Total(held ...IncarnationCounts) Counts {
	all := IncarnationCounts{}
	for _, counts := range held {
		all.merge(counts)
	}
	total := Counts{}
	for _, counts := range all {
		for tenant, n := range counts {
			total[tenant] += n
		}
	}
	return total
}

// EncodeReport returns the report of a window in the platform's format.
func EncodeReport(window uint64, counts Counts) []byte {
	encoded, err := json.Marshal(struct {
		WindowNumber   uint64 `json:"windowNumber"`
		InstanceCounts Counts `json:"instanceCounts"`
	}{window, counts})
	if err != nil {
		panic(err) // unreachable: numbers and strings always encode
	}
	return encoded
}

// merge merges other into c. Of each count it keeps the greater value.
func (c IncarnationCounts) merge(other IncarnationCounts) {
	for incarnation, counts := range other {
		if c[incarnation] == nil {
			c[incarnation] = Counts{}
		}
		for tenant, n := range counts {
			c[incarnation][tenant] = max(c[incarnation][tenant], n)
		}
	}
}
