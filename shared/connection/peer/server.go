package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// codeHandler marks errors that a peer's handler returned, as opposed to
// errors of the connection.
const codeHandler = 1

// Handlers answers the messages of peers. The context of a call ends when the
// peer gives the call up or its connection breaks. Handlers are called from
// many goroutines.
type Handlers interface {
	Forward(ctx context.Context, request *ForwardRequest) (*ForwardResponse, error)
	Lookup(ctx context.Context, request *LookupRequest) (*LookupResponse, error)
	Cancel(ctx context.Context, request *CancelRequest) (*CancelResponse, error)
	Heartbeat(ctx context.Context, request *HeartbeatMessage) (*HeartbeatMessage, error)
	PullPlan(ctx context.Context, request *PullPlanRequest) (*PullPlanResponse, error)
	BorrowSlots(ctx context.Context, request *BorrowSlotsRequest) (*BorrowSlotsResponse, error)
	ReturnSlots(ctx context.Context, request *ReturnSlotsRequest) (*ReturnSlotsResponse, error)
	RecallSlots(ctx context.Context, request *RecallSlotsRequest) (*RecallSlotsResponse, error)
	HandOverBegin(ctx context.Context, request *HandOverBeginRequest) (*HandOverResponse, error)
	HandOverPiece(ctx context.Context, request *HandOverPieceRequest) (*HandOverResponse, error)
	HandOverCommit(ctx context.Context, request *HandOverCommitRequest) (*HandOverResponse, error)
	Redirect(ctx context.Context, request *RedirectRequest) (*RedirectResponse, error)
}

// ServerOptions are the options of Serve. The zero value serves plain TCP.
type ServerOptions struct {
	// TLS, if set, is the server's TLS configuration.
	TLS *tls.Config
	// Log, if set, is called with errors of single connections.
	Log func(error)
}

// Serve answers calls on listener until ctx ends, then closes the listener
// and all connections and returns nil. Calls in progress have their context
// cancelled; a graceful stop lets them end before it cancels ctx.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers, options ServerOptions) error {
	mux := drpcmux.New()
	if err := mux.Register(handlers, describe(handlers)); err != nil {
		return eris.Wrap(err, "registering the peer messages")
	}
	listener = keepAliveListener{
		Listener: listener,
	}
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     options.Log,
	})
	return eris.Wrap(server.Serve(ctx, listener), "serving peers")
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: MaxMessageBytes,
		},
	}
}

// keepAlive finds connections whose peer went silent without closing them.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: time.Second,
	Count:    3,
}

// keepAliveListener applies keepAlive to the connections that it accepts, so
// that the calls of a peer that went silent end.
type keepAliveListener struct {
	net.Listener
}

// Accept returns the next connection. A connection that can't have the option
// is served without it.
func (listener keepAliveListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if accepted, ok := conn.(*net.TCPConn); ok {
		_ = accepted.SetKeepAliveConfig(keepAlive)
	}
	return conn, err
}

type description []handled

type handled struct {
	name     string
	receiver drpc.Receiver
	method   any
}

func (methods description) NumMethods() int { return len(methods) }

func (methods description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(methods) {
		return "", nil, nil, nil, false
	}
	return methods[n].name, Encoding{}, methods[n].receiver, methods[n].method, true
}

func describe(handlers Handlers) description {
	return description{
		handle(Forward, handlers.Forward),
		handle(Lookup, handlers.Lookup),
		handle(Cancel, handlers.Cancel),
		handle(Heartbeat, handlers.Heartbeat),
		handle(PullPlan, handlers.PullPlan),
		handle(BorrowSlots, handlers.BorrowSlots),
		handle(ReturnSlots, handlers.ReturnSlots),
		handle(RecallSlots, handlers.RecallSlots),
		handle(HandOverBegin, handlers.HandOverBegin),
		handle(HandOverPiece, handlers.HandOverPiece),
		handle(HandOverCommit, handlers.HandOverCommit),
		handle(AnnounceRedirect, handlers.Redirect),
	}
}

// handle returns the description of one method. The mux takes the request
// type from the signature of method, whose first parameter is the server.
func handle[Request, Response any](
	method Method[Request, Response],
	handler func(ctx context.Context, request *Request) (*Response, error),
) handled {
	return handled{
		name: method.name,
		receiver: func(_ any, ctx context.Context, request, _ any) (drpc.Message, error) {
			response, err := handler(ctx, request.(*Request))
			if err != nil {
				return nil, drpcerr.WithCode(err, codeHandler)
			}
			return response, nil
		},
		method: func(Handlers, context.Context, *Request) (*Response, error) { return nil, nil },
	}
}
