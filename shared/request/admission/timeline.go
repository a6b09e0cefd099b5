package admission

import "time"

// freed is capacity that becomes free, in seconds from now.
type freed struct {
	at         float64
	milliCores int
}

// timeline predicts when capacity becomes free, as a heap of the ends of tasks. It is
// list scheduling without the limits of single upstreams.
type timeline struct {
	heap []freed
	// horizon is when the capacity that was taken last became free.
	taken []freed
}

// reset fills the timeline with the capacity.
func (timeline *timeline) reset(now time.Time, capacity Capacity) {
	heap := append(timeline.heap[:0], freed{
		milliCores: max(capacity.FreeMilliCores, 0),
	})
	// Releases in order of time form a heap.
	for _, release := range capacity.Releases {
		heap = append(heap, freed{
			at:         max(release.At.Sub(now).Seconds(), 0),
			milliCores: release.MilliCores,
		})
	}
	timeline.heap = heap
}

// peek returns when so much capacity will be free, in seconds from now.
func (timeline *timeline) peek(milliCores int) float64 {
	timeline.taken = timeline.taken[:0]
	at := timeline.pop(milliCores)
	for _, part := range timeline.taken {
		timeline.push(part)
	}
	return at
}

// take takes the earliest capacity for a run of the given length in seconds.
func (timeline *timeline) take(milliCores int, run float64) {
	at := timeline.pop(milliCores)
	timeline.push(freed{
		at:         at + run,
		milliCores: milliCores,
	})
}

// pop removes the earliest capacity and returns when the last part of it becomes free.
func (timeline *timeline) pop(milliCores int) float64 {
	at := 0.0
	for milliCores > 0 && len(timeline.heap) > 0 {
		first := &timeline.heap[0]
		at = first.at
		if first.milliCores > milliCores {
			first.milliCores -= milliCores
			timeline.taken = append(timeline.taken, freed{
				at:         at,
				milliCores: milliCores,
			})
			return at
		}
		milliCores -= first.milliCores
		timeline.taken = append(timeline.taken, *first)
		timeline.removeFirst()
	}
	return at
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
