package quota

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 40

// window sums up what was granted within the window of the quota. The oldest slot counts
// until all of it has left the window.
type window struct {
	slots [windowSlots + 1]float64
	// width is the length of a slot, and last the number of the slot of the latest
	// update, counted from the start of the process.
	width time.Duration
	last  int64
	sum   float64
}

// newWindow returns a window in which the given amount was used evenly before now.
func newWindow(now msg.Time, length time.Duration, used float64) window {
	w := window{width: length / windowSlots}
	if w.width <= 0 {
		return w
	}
	w.last = int64(now / w.width)
	for i := range w.slots {
		w.slots[i] = used / float64(len(w.slots))
	}
	w.sum = used
	return w
}

// used returns what was granted within the window that ends now.
func (w *window) used(now msg.Time) float64 {
	if w.width <= 0 {
		return 0
	}
	current := int64(now / w.width)
	for ; w.last < current; w.last++ {
		if current-w.last > int64(len(w.slots)) {
			w.slots, w.sum, w.last = [windowSlots + 1]float64{}, 0, current
			break
		}
		oldest := &w.slots[(w.last+1)%int64(len(w.slots))]
		w.sum -= *oldest
		*oldest = 0
	}
	return max(w.sum, 0)
}

// add counts what was granted, or returned if it is negative, at an instant. What has left
// the window since does not count.
func (w *window) add(now, at msg.Time, n float64) {
	w.used(now)
	if w.width <= 0 || int64(at/w.width) <= w.last-int64(len(w.slots)) {
		return
	}
	w.slots[int64(at/w.width)%int64(len(w.slots))] += n
	w.sum += n
}
