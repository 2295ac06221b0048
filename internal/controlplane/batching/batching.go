// Package batching collects waiting requests so that one transaction can decide them all.
package batching

// Drain appends the elements that wait in a channel to a batch of at most maxSize. It does not
// block.
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
