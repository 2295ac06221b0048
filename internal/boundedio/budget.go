package boundedio

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrBudgetExceeded says that what is read at the same time holds as much memory as it may.
var ErrBudgetExceeded = errors.New("boundedio: too much is read at the same time")

const (
	// firstBufferBytes is the size of the first buffer if it is not known how much will come.
	firstBufferBytes = 512
	// smallBytes is the size up to which a buffer doesn't count against a budget. The number
	// of requests bounds such buffers.
	smallBytes = 64 << 10
)

// Budget bounds the memory that several readers hold together while they read. It is safe for
// concurrent use; a nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget makes a budget of a number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// reserve counts a buffer, and reports false if the budget doesn't allow it.
func (b *Budget) reserve(bytes int) bool {
	if b == nil || bytes <= smallBytes {
		return true
	}
	if b.used.Add(int64(bytes)) <= b.limit {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// release ends the count of a buffer that was reserved.
func (b *Budget) release(bytes int) {
	if b != nil && bytes > smallBytes {
		b.used.Add(-int64(bytes))
	}
}

// ReadAll reads a source to its end. It fails with ErrLimitExceeded if that has more than limit bytes, and
// with ErrBudgetExceeded if the budget doesn't allow the memory. expected is the size of the first
// buffer, one byte more than are expected; 0 if that is not known. A large buffer grows only as
// bytes arrive.
func (b *Budget) ReadAll(source io.Reader, expected, limit int) ([]byte, error) {
	if expected <= 0 {
		expected = firstBufferBytes
	}
	buffer := make([]byte, 0, min(expected, smallBytes))
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

// grow returns a copy of a buffer of twice its size, and one byte more than limit at most.
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
