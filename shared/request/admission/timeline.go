package admission

import (
	"math"
	"time"
)

// freed is capacity that becomes free, in seconds from now.
type freed struct {
	at         float64
	milliCores int
}

// timeline predicts when capacity becomes free, as a heap by time. It is list scheduling
// without the limits of single upstreams.
type timeline struct {
	heap []freed
	// taken holds what the last take removed, and takenAt when it becomes free.
	taken   []freed
	takenAt float64
}

// reset fills the timeline with the capacity.
func (timeline *timeline) reset(now time.Time, capacity Capacity) {
	// Releases in order of time form a heap.
	heap := append(timeline.heap[:0], freed{
		milliCores: max(capacity.FreeMilliCores, 0),
	})
	for _, release := range capacity.Releases {
		heap = append(heap, freed{
			at:         max(release.At.Sub(now).Seconds(), 0),
			milliCores: release.MilliCores,
		})
	}
	timeline.heap = heap
}

// earliest returns when the next capacity becomes free, in seconds from now.
func (timeline *timeline) earliest() float64 {
	if len(timeline.heap) == 0 {
		return math.Inf(1)
	}
	return timeline.heap[0].at
}

// take removes the earliest capacity and returns when the last part of it becomes free.
// occupy or restore has to follow.
func (timeline *timeline) take(milliCores int) float64 {
	timeline.taken = timeline.taken[:0]
	timeline.takenAt = 0
	for milliCores > 0 && len(timeline.heap) > 0 {
		first := timeline.heap[0]
		timeline.takenAt = first.at
		if first.milliCores > milliCores {
			timeline.heap[0].milliCores -= milliCores
			first.milliCores = milliCores
		} else {
			timeline.removeFirst()
		}
		milliCores -= first.milliCores
		timeline.taken = append(timeline.taken, first)
	}
	return timeline.takenAt
}

// occupy lets a run of the given length in seconds occupy the capacity that was taken.
func (timeline *timeline) occupy(run float64) {
	milliCores := 0
	for _, part := range timeline.taken {
		milliCores += part.milliCores
	}
	timeline.push(freed{
		at:         timeline.takenAt + run,
		milliCores: milliCores,
	})
}

// restore returns the capacity that was taken.
func (timeline *timeline) restore() {
	for _, part := range timeline.taken {
		timeline.push(part)
	}
}

func (timeline *timeline) push(part freed) {
	heap := append(timeline.heap, part)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if heap[parent].at <= part.at {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = part
	timeline.heap = heap
}

func (timeline *timeline) removeFirst() {
	last := len(timeline.heap) - 1
	part := timeline.heap[last]
	heap := timeline.heap[:last]
	timeline.heap = heap
	if last == 0 {
		return
	}
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			break
		}
		if child+1 < last && heap[child+1].at < heap[child].at {
			child++
		}
		if part.at <= heap[child].at {
			break
		}
		heap[i] = heap[child]
		i = child
	}
	heap[i] = part
}
