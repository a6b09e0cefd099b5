package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// peerProxy stands before the address at which a process receives its peers, so that channels
// between two processes can be reset.
type peerProxy struct {
	deployment *deployment
	vm         *vm
	target     string
	mutex      sync.Mutex
	// conns holds the open channels: the accepted side and that of the target.
	conns map[*net.TCPConn]*net.TCPConn
}

func (deployment *deployment) startProxy(vm *vm, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	vm.proxy = &peerProxy{deployment: deployment, vm: vm, target: target, conns: make(map[*net.TCPConn]*net.TCPConn)}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go vm.proxy.forward(accepted.(*net.TCPConn))
		}
	}()
	return nil
}

func (proxy *peerProxy) forward(accepted *net.TCPConn) {
	connected, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = accepted.SetLinger(0)
		_ = accepted.Close()
		return
	}
	target := connected.(*net.TCPConn)
	proxy.mutex.Lock()
	proxy.conns[accepted] = target
	proxy.mutex.Unlock()
	var both sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{accepted, target}, {target, accepted}} {
		both.Go(func() {
			_, _ = io.Copy(pair[1], pair[0])
			_ = pair[1].CloseWrite()
		})
	}
	both.Wait()
	proxy.mutex.Lock()
	delete(proxy.conns, accepted)
	proxy.mutex.Unlock()
	_ = accepted.Close()
	_ = target.Close()
}

// channelsOf returns the channels that a process has opened.
func (proxy *peerProxy) channelsOf(vm *vm) []*net.TCPConn {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	var channels []*net.TCPConn
	for accepted, target := range proxy.conns {
		if vm.owns(accepted.RemoteAddr().(*net.TCPAddr).Port, accepted.LocalAddr().(*net.TCPAddr).Port) {
			channels = append(channels, accepted, target)
		}
	}
	return channels
}

// resetChannel resets a channel.
func resetChannel(channel *net.TCPConn) {
	_ = channel.SetLinger(0)
	_ = channel.Close()
}

// owns reports whether the process of the VM has a socket with the given ports.
func (vm *vm) owns(local, remote int) bool {
	vm.mutex.Lock()
	pid := vm.command.Process.Pid
	vm.mutex.Unlock()
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return false
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", local)) || !strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", remote)) {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		for _, file := range files {
			if link, err := os.Readlink(file); err == nil && link == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}

// sockets returns the number of sockets of the process of the VM.
func (vm *vm) sockets() int {
	vm.mutex.Lock()
	pid := vm.command.Process.Pid
	vm.mutex.Unlock()
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	count := 0
	for _, file := range files {
		if link, err := os.Readlink(file); err == nil && strings.HasPrefix(link, "socket:") {
			count++
		}
	}
	return count
}
