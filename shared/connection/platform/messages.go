package platform

// PathVMs is the path of the VM list. GET with the parameters after (the version
// that the client has) and wait-ms (how long to hold the request until there is
// a newer version) answers a VMsResponse.
const PathVMs = "/v1/vms"

// PathRecords returns the path of a stream's records.
//
// POST appends the body as a record and answers an AppendResponse. GET with the
// parameters from, max and wait-ms answers a ReadResponse, or status 410 with a
// TrimmedResponse if the record at from was trimmed.
func PathRecords(stream string) string {
	return "/v1/streams/" + stream + "/records"
}

// AppendResponse is the response to an append.
type AppendResponse struct {
	// Offset is the offset of the appended record.
	Offset int64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// AtMs is the time of the append by the log's clock, in Unix ms.
	AtMs int64  `json:"at-ms"`
	Data []byte `json:"data"`
}

// ReadResponse is the response to a read. Records is empty if wait-ms passed
// without an append.
type ReadResponse struct {
	// FirstOffset is the offset of the first retained record.
	FirstOffset int64 `json:"first-offset"`
	// NextOffset is the offset that the next append gets.
	NextOffset int64 `json:"next-offset"`
	// RetentionMs is the time for which records are retained.
	RetentionMs int64    `json:"retention-ms"`
	Records     []Record `json:"records"`
}

// TrimmedResponse carries the range of the retained records: from FirstOffset up
// to but excluding NextOffset.
type TrimmedResponse struct {
	FirstOffset int64 `json:"first-offset"`
	NextOffset  int64 `json:"next-offset"`
}

// Role is the function of a VM.
type Role string

// The roles.
const (
	// RoleEntry is the role of entry VMs.
	RoleEntry Role = "entry"
	// RoleWorker is the role of VMs that run tasks.
	RoleWorker Role = "worker"
)

// VMState is the state of a VM in the list.
type VMState string

// The VM states. A VM that was removed has no row.
const (
	// VMLive means that the VM is in service.
	VMLive VMState = "live"
	// VMLeaving means that the VM is going out of service.
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	// Address is the peer address of an entry VM or the HTTP address of a
	// worker.
	Address string `json:"address"`
	// Domain is the failure domain of the VM.
	Domain string `json:"failure-domain"`
	// Rack is the name of the VM's rack.
	Rack  string  `json:"rack,omitempty"`
	Role  Role    `json:"role"`
	State VMState `json:"state"`
	// Size is the declared relative size of an entry VM.
	Size float64 `json:"size,omitempty"`
	// Service is the name of the service whose tasks a worker runs.
	Service string `json:"service,omitempty"`
	// Slots is the number of slots of a worker.
	Slots        int `json:"slots,omitempty"`
	Cores        int `json:"cores,omitempty"`
	MemoryMb     int `json:"memory-mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Speed is the declared relative speed of a worker. 1 is the reference.
	Speed float64 `json:"speed,omitempty"`
}

// VMsResponse is the VM list. Version increases with every change.
type VMsResponse struct {
	Version int64 `json:"version"`
	VMs     []VM  `json:"vms"`
}
