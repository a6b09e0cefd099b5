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

// ErrStopped is the reason of a group that was stopped on request.
var ErrStopped = eris.New("stopped on request")

// Group is a set of goroutines: when one fails or Stop is called, the context
// of all ends.
type Group struct {
	tomb *tomb.Tomb
	ctx  context.Context
}

// New returns a Group whose context ends with ctx.
func New(ctx context.Context) *Group {
	group, ctx := tomb.WithContext(ctx)
	return &Group{
		tomb: group,
		ctx:  ctx,
	}
}

// Context ends when the group stops.
func (group *Group) Context() context.Context { return group.ctx }

// Go runs a function in the group. A non-nil error stops the group.
func (group *Group) Go(function func(ctx context.Context) error) {
	group.tomb.Go(func() error { return function(group.ctx) })
}

// Stop ends the group's context. It does not wait.
func (group *Group) Stop() { group.tomb.Kill(ErrStopped) }

// Wait waits for all goroutines and returns the error that stopped the group,
// or nil where that was Stop or the end of the parent context.
func (group *Group) Wait() error {
	err := group.tomb.Wait()
	if errors.Is(err, ErrStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// ServeHTTP serves on listener until the group stops, then lets requests in
// progress finish for at most shutdownTimeout.
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
