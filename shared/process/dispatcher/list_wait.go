package dispatcher

import (
	"time"

	"tanagerfall/shared/process/logevent"
)

const (
	// maxFirstListAge is the age of the list of upstreams up to which a process that begins to
	// schedule starts tasks by it. An upstream that drains serves for 2 s at least after the
	// platform has acknowledged that; the rest of it is for the order and the task.
	maxFirstListAge = time.Second
	// maxListWait bounds the wait for a list that is not older. After it, a process that is cut
	// off from the platform serves by the list that it has.
	maxListWait = time.Second
	// unreadListAttempts is the number of reads in a row without an answer that end the wait
	// early. One may fail because its connection has broken since the read before.
	unreadListAttempts = 2
)

// listWait is the wait of a process that begins to schedule for a recent list of upstreams. Most
// processes read the list rarely, and an upstream may have begun to drain since.
type listWait struct {
	active bool
	since  time.Time
	// unread counts the reads without an answer since the last list.
	unread int
}

// beginListWait begins to wait for a list of upstreams if the present one is old and the
// platform is not known to be out of reach. Until the wait ends, upstreams are claimed and
// polled, and no task starts.
func (loop *loop) beginListWait() {
	loop.listWait.active = loop.listAge() > maxFirstListAge && loop.listWait.unread < unreadListAttempts
	loop.listWait.since = loop.now
}

// endListWait ends the wait if the list that was just adopted is recent.
func (loop *loop) endListWait() {
	if loop.listAge() <= maxFirstListAge {
		loop.stopListWait("read")
	}
}

// recordUnreadList records that the platform did not answer a read of the list, and ends the
// wait if the platform is out of reach.
func (loop *loop) recordUnreadList() {
	loop.listWait.unread++
	if loop.listWait.unread >= unreadListAttempts {
		loop.abandonListWait("platform out of reach")
	}
}

// updateListWait ends the wait once it takes too long.
func (loop *loop) updateListWait() {
	if loop.now.Sub(loop.listWait.since) >= maxListWait {
		loop.abandonListWait("too long")
	}
}

// abandonListWait ends the wait, if there is one, and lets tasks start by the present list.
func (loop *loop) abandonListWait(reason string) {
	if loop.listWait.active {
		loop.stopListWait(reason)
		loop.passUpstreams()
	}
}

func (loop *loop) stopListWait(reason string) {
	if !loop.listWait.active {
		return
	}
	loop.listWait.active = false
	if loop.cell != nil {
		loop.log(logevent.ListAwaited, "reason", reason, "waited", loop.now.Sub(loop.listWait.since), "list-age", loop.listAge())
	}
}
