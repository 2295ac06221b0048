package boundedio

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrBudgetExceeded means that a read needs more memory than the budget of concurrent reads has left.
var ErrBudgetExceeded = errors.New("boundedio: the memory budget of concurrent reads is exceeded")

const (
	// initialBufferBytes is the size of the first buffer if the size of the content is unknown.
	initialBufferBytes = 512
	// maxUncountedBytes is the size up to which a buffer doesn't count against a budget. The
	// memory of such buffers is bounded by the limit on the number of requests.
	maxUncountedBytes = 64 << 10
)

// Budget bounds the total memory that concurrent readers hold while they read. It is safe for
// concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget makes a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// reserve counts a buffer against the budget. It reports false if that would exceed the budget.
func (b *Budget) reserve(bytes int) bool {
	if b == nil || bytes <= maxUncountedBytes {
		return true
	}
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// release returns the memory of a reserved buffer to the budget.
func (b *Budget) release(bytes int) {
	if b != nil && bytes > maxUncountedBytes {
		b.used.Add(-int64(bytes))
	}
}

// ReadAll reads a source to its end. It returns ErrLimitExceeded if the source has more than limit
// bytes, and ErrBudgetExceeded if the budget doesn't allow the memory. initialSize is the size of
// the first buffer in bytes: one more than the expected content, or 0 if that is unknown. The first
// buffer has at most maxUncountedBytes, and grows only as bytes arrive.
func (b *Budget) ReadAll(source io.Reader, initialSize, limit int) ([]byte, error) {
	if initialSize <= 0 {
		initialSize = initialBufferBytes
	}
	buffer := make([]byte, 0, min(initialSize, maxUncountedBytes))
	defer func() { b.release(cap(buffer)) }()
	for {
		if len(buffer) > limit {
			return nil, ErrLimitExceeded
		}
		if len(buffer) == cap(buffer) {
			grown, err := b.grow(buffer, limit)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && len(buffer) <= limit {
			return buffer, nil
		}
		if err != nil && len(buffer) <= limit {
			return nil, err
		}
	}
}

// grow copies a buffer into one of twice its capacity, but at most limit+1 bytes.
func (b *Budget) grow(buffer []byte, limit int) ([]byte, error) {
	size := min(2*cap(buffer), limit+1)
	if !b.reserve(size) {
		return nil, ErrBudgetExceeded
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	b.release(cap(buffer))
	return grown, nil
}
