package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// owners finds which started process holds the other end of a loopback connection.
type owners struct {
	world *World
	mutex sync.Mutex
	// inodes holds the sockets by their two ends, procs the processes by socket, as of readAt.
	inodes map[string]string
	procs  map[string]int
	readAt time.Time
}

// maxTableAge is the age from which on the tables are read again for a socket that they lack.
const maxTableAge = 5 * time.Millisecond

// of returns the index of the process that opened a connection from remote, or -1.
func (owners *owners) of(remote net.Addr, local net.Addr) int {
	key := hexAddress(remote.(*net.TCPAddr)) + " " + hexAddress(local.(*net.TCPAddr))
	for range 3 {
		owners.mutex.Lock()
		inode, known := owners.inodes[key]
		proc, held := owners.procs[inode]
		if (!known || !held) && time.Since(owners.readAt) > maxTableAge {
			owners.read()
			inode = owners.inodes[key]
			proc, held = owners.procs[inode]
		}
		owners.mutex.Unlock()
		if inode != "" && held {
			return proc
		}
		time.Sleep(maxTableAge + time.Millisecond)
	}
	return -1
}

// read reads the tables of sockets and of the descriptors of the started processes.
func (owners *owners) read() {
	owners.inodes = make(map[string]string)
	owners.procs = make(map[string]int)
	data, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 9 && fields[9] != "0" {
			owners.inodes[fields[1]+" "+fields[2]] = fields[9]
		}
	}
	for i, proc := range owners.world.procs {
		pid := proc.pid()
		if pid == 0 {
			continue
		}
		directory := "/proc/" + strconv.Itoa(pid) + "/fd"
		entries, _ := os.ReadDir(directory)
		for _, entry := range entries {
			target, err := os.Readlink(filepath.Join(directory, entry.Name()))
			if inode, isSocket := strings.CutPrefix(target, "socket:["); err == nil && isSocket {
				owners.procs[strings.TrimSuffix(inode, "]")] = i
			}
		}
	}
	owners.readAt = time.Now()
}

func hexAddress(address *net.TCPAddr) string {
	ip := address.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)
}

// peerProxy stands between the peer address of a process and its peers.
type peerProxy struct {
	world  *World
	index  int
	target string
	mutex  sync.Mutex
	pairs  map[*pair]bool
}

type pair struct {
	from, to net.Conn
	owner    int
}

// silentTime is how long a connection through a cut stays open: the processes' own limit for
// data that is not acknowledged.
const silentTime = 2 * time.Second

func newPeerProxy(world *World, index int, listen, target string) (*peerProxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	proxy := &peerProxy{
		world:  world,
		index:  index,
		target: target,
		pairs:  make(map[*pair]bool),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	return proxy, nil
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (proxy *peerProxy) serve(from net.Conn) {
	owner := proxy.world.owners.of(from.RemoteAddr(), from.LocalAddr())
	if proxy.world.isCut(owner, proxy.index) {
		// The opening packet is lost.
		time.Sleep(300 * time.Millisecond)
		reset(from)
		return
	}
	to, err := net.DialTimeout("tcp", proxy.target, time.Second)
	if err != nil {
		reset(from)
		return
	}
	current := &pair{from: from, to: to, owner: owner}
	proxy.mutex.Lock()
	proxy.pairs[current] = true
	proxy.mutex.Unlock()
	done := make(chan bool, 2)
	go proxy.forward(current, from, to, owner, proxy.index, done)
	go proxy.forward(current, to, from, proxy.index, owner, done)
	<-done
	reset(from)
	reset(to)
	proxy.mutex.Lock()
	delete(proxy.pairs, current)
	proxy.mutex.Unlock()
}

// forward copies bytes, and holds them during a cut; after silentTime the connection ends.
func (proxy *peerProxy) forward(current *pair, source, target net.Conn, sender, receiver int, done chan<- bool) {
	defer func() { done <- true }()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if count > 0 {
			heldSince := time.Now()
			for proxy.world.isCut(sender, receiver) {
				if time.Since(heldSince) > silentTime {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			if latency := proxy.world.peerLatency; latency > 0 {
				time.Sleep(latency)
			}
			if _, err := target.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// resetAll resets all connections of the proxy.
func (proxy *peerProxy) resetAll() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for current := range proxy.pairs {
		reset(current.from)
		reset(current.to)
	}
}
