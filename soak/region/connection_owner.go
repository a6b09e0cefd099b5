package region

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ownerScanInterval is the time between two scans of the sockets of all processes. A
// scan takes some ms, and answers all lookups that wait for it.
const ownerScanInterval = 25 * time.Millisecond

// connectionOwners finds out which process of the region opened a connection. The
// processes dial from the same address, so that only the owner of the connection's
// other end distinguishes them. It is safe for concurrent use.
type connectionOwners struct {
	region *region
	mutex  sync.Mutex
	// next is the scan that lookups wait for; nil if none is scheduled.
	next *ownerScan
}

// ownerScan is the result of one scan.
type ownerScan struct {
	done chan struct{}
	// processes holds the names of the processes by the inodes of their sockets.
	processes map[uint32]string
}

// nameOf returns the name of the process that opened a connection, or an empty string
// if none did.
func (owners *connectionOwners) nameOf(conn net.Conn) string {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if inode == 0 {
		return ""
	}
	owners.mutex.Lock()
	scan := owners.next
	if scan == nil {
		scan = &ownerScan{
			done: make(chan struct{}),
		}
		owners.next = scan
		time.AfterFunc(ownerScanInterval, func() { owners.run(scan) })
	}
	owners.mutex.Unlock()
	<-scan.done
	return scan.processes[inode]
}

// run performs a scan. Lookups that begin from now on wait for the next one.
func (owners *connectionOwners) run(scan *ownerScan) {
	owners.mutex.Lock()
	owners.next = nil
	owners.mutex.Unlock()
	scan.processes = make(map[uint32]string)
	for _, process := range owners.region.processes {
		for _, inode := range socketInodes(process.pid()) {
			scan.processes[inode] = process.name
		}
	}
	close(scan.done)
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) []uint32 {
	if pid == 0 {
		return nil
	}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil
	}
	var inodes []uint32
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(directory, entry.Name()))
		text, isSocket := strings.CutPrefix(target, "socket:[")
		if err != nil || !isSocket {
			continue
		}
		if inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); err == nil {
			inodes = append(inodes, uint32(inode))
		}
	}
	return inodes
}

// The parts of a request to the kernel for one socket (struct inet_diag_req_v2) and of
// its answer (struct inet_diag_msg), with their offsets in bytes.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagRequestBytes = syscall.NLMSG_HDRLEN + 56
	diagStates       = syscall.NLMSG_HDRLEN + 4
	diagSourcePort   = syscall.NLMSG_HDRLEN + 8
	diagTargetPort   = syscall.NLMSG_HDRLEN + 10
	diagSource       = syscall.NLMSG_HDRLEN + 12
	diagTarget       = syscall.NLMSG_HDRLEN + 28
	diagCookie       = syscall.NLMSG_HDRLEN + 48
	diagAnswerInode  = syscall.NLMSG_HDRLEN + 68
	diagAnswerBytes  = syscall.NLMSG_HDRLEN + 72
)

// socketInode returns the inode of the socket with a local and a remote address, or 0
// if there is none.
func socketInode(local, remote *net.TCPAddr) uint32 {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0
	}
	defer func() { _ = syscall.Close(socket) }()
	request := make([]byte, diagRequestBytes)
	binary.NativeEndian.PutUint32(request[0:], diagRequestBytes)
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	request[syscall.NLMSG_HDRLEN] = syscall.AF_INET
	request[syscall.NLMSG_HDRLEN+1] = syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(request[diagStates:], ^uint32(0))
	binary.BigEndian.PutUint16(request[diagSourcePort:], uint16(local.Port))
	binary.BigEndian.PutUint16(request[diagTargetPort:], uint16(remote.Port))
	copy(request[diagSource:], local.IP.To4())
	copy(request[diagTarget:], remote.IP.To4())
	for i := range 8 {
		// All bits set stand for any cookie.
		request[diagCookie+i] = 0xff
	}
	if err := syscall.Sendto(socket, request, 0, &syscall.SockaddrNetlink{
		Family: syscall.AF_NETLINK,
	}); err != nil {
		return 0
	}
	answer := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(socket, answer, 0)
	if err != nil || n < diagAnswerBytes || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0
	}
	return binary.NativeEndian.Uint32(answer[diagAnswerInode:])
}
