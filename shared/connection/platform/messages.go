package platform

// PathVms is the path of the VM list. GET with the parameters after (the
// version already known) and wait-ms (how long to hold the request until a
// newer version exists).
const PathVms = "/v1/vms"

// PathRecords returns the path of a stream's records.
//
// POST appends the body and answers an AppendResponse. GET with the
// parameters from, max and wait-ms answers a ReadResponse, or status 410 with
// a TrimmedResponse if the record at from was trimmed.
func PathRecords(stream string) string {
	return "/v1/streams/" + stream + "/records"
}

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset int64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// AtMs is the time of the append by the log's clock, in Unix ms.
	AtMs int64  `json:"at-ms"`
	Data []byte `json:"data"`
}

// ReadResponse is the answer to a read. Records may be empty when wait-ms
// passed without an append.
type ReadResponse struct {
	FirstOffset int64    `json:"first-offset"`
	NextOffset  int64    `json:"next-offset"`
	RetentionMs int64    `json:"retention-ms"`
	Records     []Record `json:"records"`
}

// TrimmedResponse says where the retained records begin.
type TrimmedResponse struct {
	FirstOffset int64 `json:"first-offset"`
	NextOffset  int64 `json:"next-offset"`
}

// Role is what a VM does.
type Role string

// The roles.
const (
	RoleEntry  Role = "entry"
	RoleWorker Role = "worker"
)

// VmState is the state of a VM in the list.
type VmState string

// The VM states. A VM that is gone has no row.
const (
	VmLive    VmState = "live"
	VmLeaving VmState = "leaving"
)

// Vm is one row of the VM list.
type Vm struct {
	// Address is where the VM serves: the peer address of an entry VM, the
	// HTTP address of a worker.
	Address string  `json:"address"`
	Domain  string  `json:"failure-domain"`
	Rack    string  `json:"rack,omitempty"`
	Role    Role    `json:"role"`
	State   VmState `json:"state"`
	// Size is the declared relative size of an entry VM.
	Size         float64 `json:"size,omitempty"`
	Service      string  `json:"service,omitempty"`
	Slots        int     `json:"slots,omitempty"`
	Cores        int     `json:"cores,omitempty"`
	MemoryMb     int     `json:"memory-mb,omitempty"`
	Accelerators int     `json:"accelerators,omitempty"`
	// Speed is the declared relative speed of a worker; 1 is the reference.
	Speed float64 `json:"speed,omitempty"`
}

// VmsResponse is the VM list. Version grows with every change.
type VmsResponse struct {
	Version int64 `json:"version"`
	Vms     []Vm  `json:"vms"`
}
