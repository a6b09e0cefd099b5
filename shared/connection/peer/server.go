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

// handlerErrorCode is the drpc error code of errors that a handler returned. It
// distinguishes them from errors of the connection.
const handlerErrorCode = 1

// Handlers answers the calls of peers. The context of a call ends when the peer
// cancels the call or its connection breaks. The methods are called
// concurrently. A returned error reaches the peer as ErrRemote.
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
	// Log, if set, is called with the errors of individual connections.
	Log func(error)
}

// Serve answers calls on listener until ctx ends, then closes the listener and
// all connections and returns nil. The contexts of calls in progress are
// cancelled. For a graceful stop, cancel ctx after the calls have ended. The
// error of a failed listener is returned.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers, options ServerOptions) error {
	mux := drpcmux.New()
	if err := mux.Register(handlers, describeHandlers(handlers)); err != nil {
		return eris.Wrap(err, "registering the peer methods")
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

// keepAlive detects connections whose peer went silent without closing them.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: time.Second,
	Count:    3,
}

// keepAliveListener enables keepAlive on the connections that it accepts, so
// that the calls of a peer that went silent end.
type keepAliveListener struct {
	net.Listener
}

// Accept returns the next connection. If keepAlive cannot be enabled on it, the
// connection is used without.
func (listener keepAliveListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if tcpConn, ok := conn.(*net.TCPConn); ok {
		_ = tcpConn.SetKeepAliveConfig(keepAlive)
	}
	return conn, err
}

// description is the drpc.Description of a Handlers value.
type description []methodHandler

// methodHandler is one method in the form that drpc.Description returns.
type methodHandler struct {
	name     string
	receiver drpc.Receiver
	method   any
}

func (description description) NumMethods() int { return len(description) }

func (description description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n < 0 || n >= len(description) {
		return "", nil, nil, nil, false
	}
	return description[n].name, Encoding{}, description[n].receiver, description[n].method, true
}

func describeHandlers(handlers Handlers) description {
	return description{
		newMethodHandler(Forward, handlers.Forward),
		newMethodHandler(Lookup, handlers.Lookup),
		newMethodHandler(Cancel, handlers.Cancel),
		newMethodHandler(Heartbeat, handlers.Heartbeat),
		newMethodHandler(PullPlan, handlers.PullPlan),
		newMethodHandler(BorrowSlots, handlers.BorrowSlots),
		newMethodHandler(ReturnSlots, handlers.ReturnSlots),
		newMethodHandler(RecallSlots, handlers.RecallSlots),
		newMethodHandler(HandOverBegin, handlers.HandOverBegin),
		newMethodHandler(HandOverPiece, handlers.HandOverPiece),
		newMethodHandler(HandOverCommit, handlers.HandOverCommit),
		newMethodHandler(AnnounceRedirect, handlers.Redirect),
	}
}

// newMethodHandler returns the methodHandler that passes the calls of method to
// handler. The drpc mux reads the request type from the signature of the
// method field, whose first parameter stands for the server.
func newMethodHandler[Request, Response any](
	method Method[Request, Response],
	handler func(ctx context.Context, request *Request) (*Response, error),
) methodHandler {
	return methodHandler{
		name: method.name,
		receiver: func(_ any, ctx context.Context, request, _ any) (drpc.Message, error) {
			response, err := handler(ctx, request.(*Request))
			if err != nil {
				return nil, drpcerr.WithCode(err, handlerErrorCode)
			}
			return response, nil
		},
		method: func(Handlers, context.Context, *Request) (*Response, error) { return nil, nil },
	}
}
