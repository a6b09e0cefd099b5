package cell

import "math"

// Resources is what a task occupies or what an upstream has. Cores are counted
// in thousandths, memory in MB.
type Resources struct {
	MilliCores   int `cbor:"1,keyasint,omitempty"`
	MemoryMb     int `cbor:"2,keyasint,omitempty"`
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// fits reports whether free covers need.
func (free Resources) fits(need Resources) bool {
	return need.MilliCores <= free.MilliCores &&
		need.MemoryMb <= free.MemoryMb &&
		need.Accelerators <= free.Accelerators
}

// divide returns how many tasks of the given need fit.
func (free Resources) divide(need Resources) int {
	tasks := math.MaxInt
	if need.MilliCores > 0 {
		tasks = free.MilliCores / need.MilliCores
	}
	if need.MemoryMb > 0 {
		tasks = min(tasks, free.MemoryMb/need.MemoryMb)
	}
	if need.Accelerators > 0 {
		tasks = min(tasks, free.Accelerators/need.Accelerators)
	}
	return tasks
}

func (free Resources) minus(need Resources) Resources {
	return Resources{
		MilliCores:   free.MilliCores - need.MilliCores,
		MemoryMb:     free.MemoryMb - need.MemoryMb,
		Accelerators: free.Accelerators - need.Accelerators,
	}
}

func (free Resources) plus(need Resources) Resources {
	return Resources{
		MilliCores:   free.MilliCores + need.MilliCores,
		MemoryMb:     free.MemoryMb + need.MemoryMb,
		Accelerators: free.Accelerators + need.Accelerators,
	}
}
