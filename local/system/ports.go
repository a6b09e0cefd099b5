package system

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Entry VMs listen on ports from this range. It lies below the kernel's ephemeral
// port range, so that an outgoing connection can't take a port between its choice
// and the start of the VM.
const (
	firstPort = 20_000
	portCount = 10_000
)

// nextPort, modulo portCount, is the offset in the range of the port tried last. It
// starts at a random value.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(portCount)) }

// freeAddresses returns count loopback addresses on which nothing listens.
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
