package boundedio

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadAll: sizes around those at which a buffer grows, or its limit.
func TestReadAll(t *testing.T) {
	const limit = 300 << 10
	budget := NewBudget(2 * limit)
	for _, size := range []int{
		0, 1, firstBufferBytes - 1, firstBufferBytes, firstBufferBytes + 1, smallBytes, smallBytes + 1, limit - 1, limit,
	} {
		for _, expected := range []int{-1, 0, size, limit} {
			text := bytes.Repeat([]byte("x"), size)
			got, err := budget.ReadAll(iotest.HalfReader(bytes.NewReader(text)), expected, limit)
			if err != nil || !bytes.Equal(got, text) {
				t.Errorf("%d bytes, %d expected: %d bytes, %v", size, expected, len(got), err)
			}
		}
	}
	if _, err := budget.ReadAll(
		strings.NewReader(strings.Repeat("x", limit+1)), 0, limit,
	); !errors.Is(err, ErrLimitExceeded) {
		t.Errorf("ReadAll of limit+1 bytes returned %v, want ErrLimitExceeded", err)
	}
	failing := iotest.TimeoutReader(strings.NewReader(strings.Repeat("x", limit)))
	if _, err := budget.ReadAll(failing, 0, limit); !errors.Is(err, iotest.ErrTimeout) {
		t.Errorf("a source that fails: %v", err)
	}
	if n := budget.used.Load(); n != 0 {
		t.Errorf("%d bytes are still counted", n)
	}
}

// TestBudget: readers that hold too much together fail, and free their part for others.
func TestBudget(t *testing.T) {
	const size = 1 << 20
	budget := NewBudget(3 * size)
	source, writer := io.Pipe()
	ended := make(chan error)
	go func() {
		_, err := budget.ReadAll(source, 0, 4*size)
		ended <- err
	}()
	_, _ = writer.Write(make([]byte, size+1)) // the reader holds a buffer of two
	_, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", size+1)), 0, 4*size)
	if !errors.Is(err, ErrBudgetExceeded) {
		t.Errorf("too much together: %v", err)
	}
	_ = writer.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err = budget.ReadAll(strings.NewReader(strings.Repeat("x", size+1)), 0, 4*size); err != nil {
		t.Errorf("alone: %v", err)
	}
	var unbounded *Budget
	if _, err = unbounded.ReadAll(strings.NewReader(strings.Repeat("x", size)), 0, size); err != nil {
		t.Errorf("without a budget: %v", err)
	}
}
