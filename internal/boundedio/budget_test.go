package boundedio

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestReadAll: contents whose sizes are around the limit and the sizes at which a buffer grows are
// read whole, errors are returned, and no memory stays reserved.
func TestReadAll(t *testing.T) {
	const limit = 300 << 10
	budget := NewBudget(2 * limit)
	for _, size := range []int{
		0, 1, initialBufferBytes - 1, initialBufferBytes, initialBufferBytes + 1,
		maxUncountedBytes, maxUncountedBytes + 1, limit - 1, limit,
	} {
		for _, initialSize := range []int{-1, 0, size, limit} {
			text := bytes.Repeat([]byte("x"), size)
			got, err := budget.ReadAll(iotest.HalfReader(bytes.NewReader(text)), initialSize, limit)
			if err != nil || !bytes.Equal(got, text) {
				t.Errorf("ReadAll of %d bytes with initialSize %d returned %d bytes, %v; want the whole content",
					size, initialSize, len(got), err)
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
		t.Errorf("ReadAll of a source that times out returned %v, want ErrTimeout", err)
	}
	if n := budget.used.Load(); n != 0 {
		t.Errorf("%d bytes are still reserved after all reads, want 0", n)
	}
}

// TestBudgetSharedByReaders: a reader fails if concurrent readers together exceed the budget, and
// succeeds after the others have released their memory.
func TestBudgetSharedByReaders(t *testing.T) {
	const size = 1 << 20
	budget := NewBudget(3 * size)
	source, writer := io.Pipe()
	ended := make(chan error)
	go func() {
		_, err := budget.ReadAll(source, 0, 4*size)
		ended <- err
	}()
	_, _ = writer.Write(make([]byte, size+1)) // the reader holds a buffer of 2*size bytes
	_, err := budget.ReadAll(strings.NewReader(strings.Repeat("x", size+1)), 0, 4*size)
	if !errors.Is(err, ErrBudgetExceeded) {
		t.Errorf("ReadAll while another reader holds most of the budget returned %v, want ErrBudgetExceeded", err)
	}
	_ = writer.Close()
	if err := <-ended; err != nil {
		t.Error("ReadAll of the first reader returned an error, want none:", err)
	}
	if _, err = budget.ReadAll(strings.NewReader(strings.Repeat("x", size+1)), 0, 4*size); err != nil {
		t.Errorf("ReadAll after the other reader ended returned %v, want no error", err)
	}
	var unbounded *Budget
	if _, err = unbounded.ReadAll(strings.NewReader(strings.Repeat("x", size)), 0, size); err != nil {
		t.Errorf("ReadAll with a nil Budget returned %v, want no error", err)
	}
}
