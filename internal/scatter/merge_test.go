package scatter

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// randomBody returns the records of a shard. They have few different values, so that
// some records are equal.
func randomBody(random *rand.Rand, records int) []byte {
	var all [][]byte
	for range records {
		record := make([]byte, recordSize)
		record[0] = byte(random.IntN(7))
		record[recordSize-1] = byte(random.IntN(7))
		all = append(all, record)
	}
	return bytes.Join(all, nil)
}

// mergeBySorting is the reference implementation of Merge.
func mergeBySorting(bodies [][]byte, n int) []byte {
	var all [][]byte
	for _, body := range bodies {
		for ; len(body) >= recordSize; body = body[recordSize:] {
			all = append(all, body[:recordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(n, len(all))], nil)
}

// TestMerge: Merge returns the n greatest records of all bodies in descending order,
// keeps equal records and ignores bytes after the last complete record of a body.
func TestMerge(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, shards := range []int{0, 1, 3, 20} {
		for _, n := range []int{0, 1, 5, 64, 10000} {
			var bodies [][]byte
			for range shards {
				body := randomBody(random, random.IntN(30))
				bodies = append(bodies, append(body, make([]byte, random.IntN(recordSize))...))
			}
			if got, want := Merge(bodies, n), mergeBySorting(bodies, n); !bytes.Equal(got, want) {
				t.Errorf("Merge of %d shards to %d records returned %x, want %x", shards, n, got, want)
			}
		}
	}
}

// BenchmarkMerge measures the merge of 64 shards with 100 records each to 10, 100 and 1000 records.
func BenchmarkMerge(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var bodies [][]byte
	for range 64 {
		body := make([]byte, 100*recordSize)
		for i := range body {
			body[i] = byte(random.IntN(256))
		}
		bodies = append(bodies, body)
	}
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Merge(bodies, n)
			}
		})
	}
}
