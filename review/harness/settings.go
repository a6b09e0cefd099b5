package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// newRoute is the prefix of the queue that the later manifest adds.
const newRoute = "/volo102/"

// settingsMoved plays CONFIG: the platform's store moves to another address, and the
// settings files say so. No signal is sent. Then a manifest adds a queue. With the
// variable SIGNAL=1 SIGHUP is sent as well, which shows what makes the difference.
func settingsMoved(system *system, trouble bool) (result, error) {
	if trouble {
		if err := system.moveStore(); err != nil {
			return cannotRun, err
		}
	}
	// The machines have this long to notice; it is twice contact-ms and more.
	time.Sleep(2*contactBound + 2*time.Second)
	system.putManifest(2, newRoute)
	acknowledgedAt := time.Now()
	time.Sleep(4 * time.Second)
	outcome := held
	for _, node := range system.nodes {
		id := newID()
		status, _ := system.call(context.Background(), node, http.MethodPost, newRoute+id,
			`{"spec":"60","best-effort":true,"steps":[{"count":2,"cpu":6800,"mem-mb":64,"estimate-ms":60}]}`, 1500*time.Millisecond)
		if status == http.StatusNotFound {
			outcome = broken
			system.recorder.add("CONFIG: %s answers 404 for a queue of manifest 2, which was acknowledged %d ms before", node.name,
				time.Since(acknowledgedAt).Milliseconds())
		}
	}
	return outcome, nil
}

// moveStore lets the store answer at a new address, writes that to the settings
// files, and ends the old address a second later.
func (system *system) moveStore() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, system.store) }()
	address := listener.Addr().String()
	for _, node := range system.nodes {
		if err := system.writeSettings(node, address); err != nil {
			return err
		}
	}
	system.recorder.add("the settings files name the store's address %s; no signal is sent", address)
	if os.Getenv("SIGNAL") == "1" {
		for _, node := range system.nodes {
			system.signal(node, syscall.SIGHUP)
		}
	}
	time.Sleep(time.Second)
	system.recorder.add("the store's old address %s is closed", system.storeAddress)
	return system.storeServer.Close()
}
