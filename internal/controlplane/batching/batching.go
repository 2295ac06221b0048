// Package batching collects waiting requests so that one transaction can decide them all.
package batching

// Drain receives elements from a channel and appends them to batch until the batch has maxSize
// elements or the channel is empty. It does not block.
func Drain[T any](waiting <-chan T, batch []T, maxSize int) []T {
	for len(batch) < maxSize {
		select {
		case element := <-waiting:
			batch = append(batch, element)
		default:
			return batch
		}
	}
	return batch
}
