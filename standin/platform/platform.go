package platform

import (
	"net/http"
	"sync"
	"time"

	"tanagerfall/standin/fault"
	"tanagerfall/standin/network"
)

// DefaultRetention is how long records are kept by default.
const DefaultRetention = time.Hour

// Config configures the stand-in for the platform.
type Config struct {
	// Address is the IP:port on which Listen serves.
	Address string
	// Retention is how long records are kept; 0 means DefaultRetention.
	Retention time.Duration
	// AppendTime is the duration of one synced append. Appends to all streams
	// are serialized, so it bounds the number of appends per second.
	AppendTime time.Duration
	// Lag is the delay until a change of the VMs shows in the VM list.
	Lag time.Duration
}

// Platform is the stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	config     Config
	handler    http.Handler
	server     *network.Server
	middleware fault.Middleware

	mutex   sync.Mutex
	streams map[string]*stream
	// nextAppendAt is the earliest time at which the next append can begin.
	nextAppendAt time.Time
	vms          vmList

	logDown         outage
	vmsDown         outage
	logSlowWindow   fault.Window
	logDelay        time.Duration
	replyLossWindow fault.Window
	replyLossesLeft int
	vmsFrozenWindow fault.Window
}

// outage is a period in which a part of the platform is unavailable.
type outage struct {
	window   fault.Window
	noAnswer bool
}

// New returns a platform without records and VMs that does not listen yet.
func New(config Config) *Platform {
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	platform := &Platform{
		config:  config,
		streams: map[string]*stream{},
	}
	platform.vms.changed = make(chan struct{})
	platform.handler = platform.middleware.Wrap(platform.routes())
	platform.server = network.New(platform.handler, &platform.middleware.Gate)
	return platform
}

// Handler returns the handler of the platform's protocol. Silence, Refuse and
// Stop act on the platform's own listener and have no effect on another server
// that uses this handler.
func (platform *Platform) Handler() http.Handler {
	return platform.handler
}

// Listen serves the protocol on Config.Address and returns the address in use,
// which differs from it if its port is 0.
func (platform *Platform) Listen() (string, error) {
	return platform.server.Listen(platform.config.Address)
}

// Close closes the listener and all connections. Records and VMs are kept.
func (platform *Platform) Close() {
	platform.server.Close()
}
