package rungroup

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"
)

// ErrStopped is the cause with which Stop ends a Group. Wait does not return it.
var ErrStopped = eris.New("stopped on request")

// Group is a set of goroutines with a common context, which ends when one of them
// returns an error or Stop is called.
type Group struct {
	tomb *tomb.Tomb
	ctx  context.Context
}

// New returns a Group without goroutines whose context is derived from ctx.
func New(ctx context.Context) *Group {
	group, ctx := tomb.WithContext(ctx)
	return &Group{
		tomb: group,
		ctx:  ctx,
	}
}

// Context returns the context of the group, which ends when the group stops.
func (group *Group) Context() context.Context { return group.ctx }

// Go calls a function in a goroutine of the group, with the context of the group.
// A non-nil error stops the group.
func (group *Group) Go(function func(ctx context.Context) error) {
	group.tomb.Go(func() error { return function(group.ctx) })
}

// Stop ends the context of the group. It does not wait for the goroutines.
func (group *Group) Stop() { group.tomb.Kill(ErrStopped) }

// Wait waits until all goroutines have returned. It returns the error that stopped
// the group, or nil if that was Stop or the cancellation of the parent context.
func (group *Group) Wait() error {
	err := group.tomb.Wait()
	if errors.Is(err, ErrStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ServeHTTP serves HTTP on listener until the group stops. Requests in progress
// then have shutdownTimeout to finish before their connections are closed. An
// error of the server stops the group.
func (group *Group) ServeHTTP(listener net.Listener, server *http.Server, shutdownTimeout time.Duration) {
	group.Go(func(context.Context) error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serving HTTP")
	})
	group.Go(func(ctx context.Context) error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			return server.Close()
		}
		return nil
	})
}
