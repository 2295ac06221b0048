// Package batching collects requests that wait, so that one transaction can decide them all.
package batching

// Drain appends to a batch what else waits in a channel, without blocking, until the batch
// has maxSize elements.
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
