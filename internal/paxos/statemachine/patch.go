package statemachine

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// A patch rebuilds a byte array from an older one. Both arrays are split into chunks after each
// '}', so that a patch of a list of JSON records contains only the records that changed. The patch
// is a sequence of steps. Each step begins with a uvarint: a number of bytes, shifted left by one,
// with the literal bit as its lowest bit. If the bit is clear, a second uvarint is the offset in
// the old array from which to copy that many bytes. If it is set, that many literal bytes follow.

// literalBit marks a step whose bytes are part of the patch.
const literalBit = 1

var errPatchMismatch = errors.New("statemachine: patch is malformed or refers to bytes beyond the end of the old array")

// chunks splits a byte array after each '}'.
func chunks(b []byte) [][]byte {
	var out [][]byte
	for len(b) > 0 {
		end := bytes.IndexByte(b, '}') + 1
		if end == 0 {
			end = len(b)
		}
		out = append(out, b[:end])
		b = b[end:]
	}
	return out
}

// patchWriter builds a patch. The step that is being built is either a literal or a copy, so at
// most one of literal and copyLength is not empty.
type patchWriter struct {
	patch      []byte
	literal    []byte
	copyOffset int
	copyLength int
}

// flush appends the step that is being built to the patch.
func (w *patchWriter) flush() {
	if len(w.literal) > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(len(w.literal))<<1|literalBit)
		w.patch = append(w.patch, w.literal...)
		w.literal = nil
	}
	if w.copyLength > 0 {
		w.patch = binary.AppendUvarint(w.patch, uint64(w.copyLength)<<1)
		w.patch = binary.AppendUvarint(w.patch, uint64(w.copyOffset))
		w.copyLength = 0
	}
}

// extendCopy extends the copy step that is being built if the chunk follows its bytes in old. It
// reports whether it did.
func (w *patchWriter) extendCopy(old, chunk []byte) bool {
	end := w.copyOffset + w.copyLength
	if w.copyLength == 0 || !bytes.HasPrefix(old[end:], chunk) {
		return false
	}
	w.copyLength += len(chunk)
	return true
}

// MakePatch returns a patch that turns old into new.
func MakePatch(old, new []byte) []byte {
	offsets := map[string]int{} // the first offset of each chunk in old
	offset := 0
	for _, chunk := range chunks(old) {
		if _, ok := offsets[string(chunk)]; !ok {
			offsets[string(chunk)] = offset
		}
		offset += len(chunk)
	}
	var writer patchWriter
	for _, chunk := range chunks(new) {
		if writer.extendCopy(old, chunk) {
			continue
		}
		if start, ok := offsets[string(chunk)]; ok {
			writer.flush()
			writer.copyOffset = start
			writer.copyLength = len(chunk)
			continue
		}
		if writer.copyLength > 0 {
			writer.flush()
		}
		writer.literal = append(writer.literal, chunk...)
	}
	writer.flush()
	return writer.patch
}

// ApplyPatch returns the new array that a patch builds from old. It returns an error if the patch
// is malformed or copies bytes from beyond the end of old.
func ApplyPatch(old, patch []byte) ([]byte, error) {
	out := make([]byte, 0, len(old)+len(patch))
	for len(patch) > 0 {
		step, size := binary.Uvarint(patch)
		if size <= 0 {
			return nil, errPatchMismatch
		}
		patch = patch[size:]
		length := step >> 1
		if step&literalBit != 0 {
			if length > uint64(len(patch)) {
				return nil, errPatchMismatch
			}
			out = append(out, patch[:length]...)
			patch = patch[length:]
			continue
		}
		offset, size := binary.Uvarint(patch)
		if size <= 0 || offset > uint64(len(old)) || length > uint64(len(old))-offset {
			return nil, errPatchMismatch
		}
		patch = patch[size:]
		out = append(out, old[offset:offset+length]...)
	}
	return out, nil
}
