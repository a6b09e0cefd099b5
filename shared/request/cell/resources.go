package cell

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
