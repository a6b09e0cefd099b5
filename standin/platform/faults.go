package platform

import (
	"time"

	"github.com/rotisserie/eris"

	"tanagerfall/standin/fault"
)

// listenRetryDelay is the delay between two attempts to listen after a
// restart.
const listenRetryDelay = 20 * time.Millisecond

// stopDelay is the time for answering the command before the platform stops.
const stopDelay = 10 * time.Millisecond

// unlimitedLosses is the value of replyLossesLeft for an unlimited number.
const unlimitedLosses = -1

// LogDown makes the log respond with status 503, or leave requests unanswered
// if noAnswer is set, for duration. A duration of 0 lasts until Clear.
func (platform *Platform) LogDown(noAnswer bool, duration time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.logDown = outage{
		window:   fault.NewWindow(time.Now(), duration),
		noAnswer: noAnswer,
	}
}

// VMsDown makes the VM list respond with status 503, or leave requests
// unanswered if noAnswer is set, for duration. A duration of 0 lasts until
// Clear.
func (platform *Platform) VMsDown(noAnswer bool, duration time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vmsDown = outage{
		window:   fault.NewWindow(time.Now(), duration),
		noAnswer: noAnswer,
	}
}

// LogSlow delays the log's responses by delay for duration; a duration of 0
// lasts until Clear.
func (platform *Platform) LogSlow(delay, duration time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.logSlowWindow = fault.NewWindow(time.Now(), duration)
	platform.logDelay = delay
}

// LoseAppendReplies closes the connection instead of sending the response to
// the next count appends within duration. The appends take effect. A count of
// 0 is unlimited, and a duration of 0 lasts until Clear.
func (platform *Platform) LoseAppendReplies(count int, duration time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.replyLossWindow = fault.NewWindow(time.Now(), duration)
	platform.replyLossesLeft = count
	if count == 0 {
		platform.replyLossesLeft = unlimitedLosses
	}
}

// consumeReplyLoss reports whether the current response must be lost, and
// counts it if so.
func (platform *Platform) consumeReplyLoss() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if !platform.replyLossWindow.Active(time.Now()) || platform.replyLossesLeft == 0 {
		return false
	}
	if platform.replyLossesLeft > 0 {
		platform.replyLossesLeft--
	}
	return true
}

// FreezeVMs keeps the VM list unchanged for duration; a duration of 0 lasts
// until Clear. Changes made meanwhile show afterwards.
func (platform *Platform) FreezeVMs(duration time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.vmsFrozenWindow = fault.NewWindow(time.Now(), duration)
	if duration > 0 {
		time.AfterFunc(duration, platform.makeActualVisible)
	}
}

// Freeze suspends all processing for duration, as if the process were paused.
func (platform *Platform) Freeze(duration time.Duration) {
	platform.middleware.Gate.Shut(duration)
}

// Silence makes the open connections silent for the rest of their lives and
// returns their number. It only affects connections that Listen accepted.
func (platform *Platform) Silence() int {
	return platform.server.Silence()
}

// Refuse closes the listener for duration; a duration of 0 lasts until Clear.
// Open connections keep working. The error wraps fault.ErrNotListening if the
// platform does not serve on its own listener.
func (platform *Platform) Refuse(duration time.Duration) error {
	return platform.server.Refuse(duration)
}

// Stop closes the listener and all connections. Records and VMs are kept. If
// duration is positive the platform listens again after it.
func (platform *Platform) Stop(duration time.Duration) {
	platform.server.Close()
	if duration > 0 {
		time.AfterFunc(duration, platform.restart)
	}
}

// restart listens again on the same address and retries while that fails.
func (platform *Platform) restart() {
	address := platform.server.Address()
	if address == "" {
		return
	}
	if _, err := platform.server.Listen(address); err != nil {
		time.AfterFunc(listenRetryDelay, platform.restart)
	}
}

// Slow delays every response by delay for duration; a duration of 0 lasts
// until Clear.
func (platform *Platform) Slow(delay, duration time.Duration) {
	platform.middleware.Slow(delay, duration)
}

// CutDomains leaves requests from the failure domains unanswered for duration;
// a duration of 0 lasts until Clear.
func (platform *Platform) CutDomains(domains []string, duration time.Duration) {
	platform.middleware.CutDomains(domains, duration)
}

// Clear ends every fault except Stop, Freeze, Trim and Silence.
func (platform *Platform) Clear() {
	platform.middleware.Clear()
	platform.server.Resume()
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.logDown = outage{}
	platform.vmsDown = outage{}
	platform.logSlowWindow = fault.Window{}
	platform.replyLossWindow = fault.Window{}
	platform.vmsFrozenWindow = fault.Window{}
	platform.makeVisible(platform.vms.sequence, platform.vms.actual)
}

// Inject implements fault.Injector.
func (platform *Platform) Inject(command fault.Command) error {
	switch command.Fault {
	case fault.LogDown:
		platform.LogDown(command.NoAnswer, command.Duration())
	case fault.LogSlow:
		platform.LogSlow(command.Delay(), command.Duration())
	case fault.LoseAppendReplies:
		platform.LoseAppendReplies(command.Count, command.Duration())
	case fault.Trim:
		if command.Stream == "" {
			return eris.Wrap(fault.ErrParameter, "trim: stream is missing")
		}
		platform.Trim(command.Stream, command.Before)
	case fault.VMsFrozen:
		platform.FreezeVMs(command.Duration())
	case fault.VMsDown:
		platform.VMsDown(command.NoAnswer, command.Duration())
	case fault.Freeze:
		if command.ForMs <= 0 {
			return eris.Wrap(fault.ErrParameter, "freeze: for-ms must be positive")
		}
		platform.Freeze(command.Duration())
	case fault.Silence:
		platform.Silence()
	case fault.Refuse:
		return platform.Refuse(command.Duration())
	case fault.Stop:
		// Stop runs later, so that the command can be answered: its connection
		// may be one of those that Stop closes.
		time.AfterFunc(stopDelay, func() { platform.Stop(command.Duration()) })
	case fault.Slow:
		platform.Slow(command.Delay(), command.Duration())
	case fault.CutDomains:
		platform.CutDomains(command.Domains, command.Duration())
	case fault.Clear:
		platform.Clear()
	default:
		return eris.Wrapf(fault.ErrUnknown, "%.64q", string(command.Fault))
	}
	return nil
}
