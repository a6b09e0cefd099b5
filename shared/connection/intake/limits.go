package intake

import "time"

const (
	// SmallBody is the largest body that is read from the reserve for ordinary callers.
	// It is twice the largest payload of a job.
	SmallBody = 8 << 10
	// blockSize is the unit in which memory for larger bodies is reserved.
	blockSize = 32 << 10
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection. It
	// bounds the bytes that a client can send to a process that does not read them.
	ReceiveBuffer = 16 << 10
	// connectionMemory is what a connection costs beside its body: two buffers and two
	// goroutines of the HTTP server and a full receive buffer, which may hold twice its size.
	connectionMemory = 64 << 10
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// operatorConnections limits the connections to a listener that only the platform
	// and operators use.
	operatorConnections = 32
	// minLargeBodies is the smallest budget for large bodies: a few of the largest that
	// configurations allow.
	minLargeBodies = 2 << 20
)

// Limits bounds what a process holds for clients; 0 means no limit.
type Limits struct {
	// Connections is the number of connections of callers.
	Connections int `json:"connections"`
	// ConnectionStall is how long a connection has to have waited for its client before
	// it is closed for a new one. Closing younger ones would let clients that return at
	// once keep everyone from being served.
	ConnectionStall time.Duration `json:"connection-stall-ns"`
	// SmallBodyBytes and LargeBodyBytes are the memory for bodies in reading of up to
	// SmallBody bytes and for larger ones. Ordinary callers use the first, which larger
	// bodies can't take.
	SmallBodyBytes int64 `json:"small-body-bytes"`
	LargeBodyBytes int64 `json:"large-body-bytes"`
	// JobBytes is the memory for jobs whose callers wait.
	JobBytes int64 `json:"job-bytes"`
	// OperatorConnections is the number of connections to each other listener.
	OperatorConnections int `json:"operator-connections"`
}

// Derive returns the limits of a process with the given memory in bytes and number of
// descriptors; 0 means that they are not limited. A quarter of the memory is for
// connections, an eighth for bodies and a sixteenth for jobs. The other half of the
// sockets is for peers, upstreams and the platform.
func Derive(memory int64, descriptors int) Limits {
	var limits Limits
	if memory > 0 || descriptors > 0 {
		limits.ConnectionStall = minStall
	}
	if memory > 0 {
		limits.Connections = max(int(memory/4/connectionMemory), 1)
		limits.SmallBodyBytes = memory / 32
		limits.LargeBodyBytes = max(memory*3/32, minLargeBodies)
		limits.JobBytes = memory / 16
	}
	if descriptors > 0 {
		sockets := max(descriptors-reservedFiles, descriptors/4)
		bySockets := max(sockets/2, 1)
		if limits.Connections == 0 || bySockets < limits.Connections {
			limits.Connections = bySockets
		}
		limits.OperatorConnections = min(operatorConnections, max(sockets/16, 1))
	}
	return limits
}

// Timeouts limits the time for reading a body.
type Timeouts struct {
	// Idle is the longest time in which no byte arrives.
	Idle time.Duration
	// Whole is the longest time for the whole body.
	Whole time.Duration
}
