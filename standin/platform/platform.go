package platform

import (
	"net/http"
	"sync"
	"time"

	"tanagerfall/standin/fault"
	"tanagerfall/standin/network"
)

// DefaultRetention is how long records are kept.
const DefaultRetention = time.Hour

// Config describes the platform.
type Config struct {
	// Address is the IP:port that Listen serves on.
	Address string
	// Retention is how long records are kept; 0 takes DefaultRetention.
	Retention time.Duration
	// AppendTime is the time of one synced append. Appends to all streams are
	// made one after the other, so it bounds the appends per second.
	AppendTime time.Duration
	// Lag is the time from a change of the VMs to its appearance in the list.
	Lag time.Duration
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	config     Config
	handler    http.Handler
	server     *network.Server
	middleware fault.Middleware

	mutex   sync.Mutex
	streams map[string]*stream
	// nextAppendAt is the time from which the next append can be made.
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

// outage is a time without service.
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

// Handler returns the handler of the platform's protocol. The faults of the
// listener (silence, refuse, stop) need Listen in place of another server.
func (platform *Platform) Handler() http.Handler {
	return platform.handler
}

// Listen serves the protocol on Config.Address and returns the address in
// use, which differs if the port was 0.
func (platform *Platform) Listen() (string, error) {
	return platform.server.Listen(platform.config.Address)
}

// Close closes the listener and all connections. Records and VMs stay.
func (platform *Platform) Close() {
	platform.server.Close()
}
