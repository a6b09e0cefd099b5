package system

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Entry VMs get their ports from this range. It lies below the range from
// which the kernel takes the local ports of connections, so that a connection
// can't take a port between its choice and the start of the VM.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort counts the ports that were tried, from a random start.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range portCount {
		if len(addresses) == count {
			return addresses, nil
		}
		address := fmt.Sprintf("%s:%d", loopback, firstPort+nextPort.Add(1)%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return nil, eris.New("no free port for an entry VM")
}
