package process

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	cryptorand "crypto/rand"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/net/netutil"

	"tanagerfall/entry/binding"
	"tanagerfall/entry/callerapi"
	"tanagerfall/entry/control"
	"tanagerfall/entry/operatorapi"
	"tanagerfall/entry/peerapi"
	"tanagerfall/entry/route"
	"tanagerfall/entry/traffic"
	"tanagerfall/shared/connection/certificate"
	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/connection/platform"
	"tanagerfall/shared/connection/upstream"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/process/rungroup"
	"tanagerfall/shared/process/settings"
	keybinding "tanagerfall/shared/request/binding"
	"tanagerfall/shared/request/dispatch"
	"tanagerfall/shared/request/estimate"
	"tanagerfall/shared/request/placement"
	"tanagerfall/shared/request/submission"
	"tanagerfall/shared/version/fleet"
)

const (
	bytesPerMb        = 1 << 20
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// maxCallerConnections bounds the connections of callers, and with them the
	// memory that idle callers use. Further connections wait to be accepted.
	maxCallerConnections = 8192
	// shutdownTimeout bounds the wait for open requests of callers when the process
	// ends.
	shutdownTimeout = 5 * time.Second
)

// ErrListen means that the process cannot listen on one of its addresses. Errors of
// New wrap it.
var ErrListen = eris.New("cannot listen on the address")

// ErrDraining is returned by Process.Ready after a call of Process.Drain.
var ErrDraining = eris.New("draining")

// Process is the process of an entry VM.
type Process struct {
	settings settings.Entry
	identity submission.Identity
	// certificates is nil without TLS.
	certificates       *certificate.Store
	keyring            atomic.Pointer[submission.Keyring]
	logger             *logevent.Logger
	metricsSet         *metrics.Set
	group              *rungroup.Group
	loop               *control.Loop
	plans              *control.Plans
	executor           *traffic.Executor
	peerSender         *traffic.PeerSender
	upstreams          *upstream.Client
	platform           *platform.Client
	pool               *peer.Pool
	router             *route.Router
	keyBinding         *binding.Service
	callerListener     net.Listener
	peerListener       net.Listener
	operatorListener   net.Listener
	shuttingDown       atomic.Bool
	shutdownRequested  chan struct{}
	shutdownOnce       sync.Once
	callerHTTPServer   *http.Server
	platformHTTPClient *http.Client
}

// New loads the TLS files, if TLS is enabled, and opens the listeners of an entry
// VM. Run must follow. The error is that of loading the TLS files or wraps ErrListen.
func New(entry settings.Entry, logger *logevent.Logger) (*Process, error) {
	var certificates *certificate.Store
	if entry.TLS.Enabled() {
		loadedStore, err := certificate.New(certificate.Files(entry.TLS))
		if err != nil {
			return nil, eris.Wrap(err, "loading TLS files")
		}
		certificates = loadedStore
	}
	listeners, err := listen(entry.CallerAddress, entry.PeerAddress, entry.OperatorAddress)
	if err != nil {
		return nil, err
	}
	process := &Process{
		settings: entry,
		identity: submission.Identity{
			Domain:      entry.Domain,
			Address:     entry.PeerAddress,
			Incarnation: newIncarnation(),
		},
		logger:            logger,
		metricsSet:        metrics.NewSet(),
		upstreams:         upstream.NewClient(),
		certificates:      certificates,
		callerListener:    listeners[0],
		peerListener:      listeners[1],
		operatorListener:  listeners[2],
		pool:              peer.NewPool(poolOptions(certificates)),
		shutdownRequested: make(chan struct{}),
		platformHTTPClient: &http.Client{
			Transport: &domainTransport{
				domain: entry.Domain,
				base: &http.Transport{
					MaxIdleConnsPerHost: 4,
				},
			},
		},
	}
	process.platform = platform.NewClient(entry.PlatformURL, process.platformHTTPClient)
	process.keyring.Store(entry.Keyring())
	process.plans = control.NewPlans(entry.PeerAddress, logger)
	process.loop = process.newControlLoop()
	process.router = route.New(process.loop, process.pool, process.keyring.Load)
	process.keyBinding = binding.New(process.platform, entry.KeyStream, keybinding.New(keybinding.Config{
		Keyring: process.keyring.Load,
	}), time.Now)
	process.executor = traffic.NewExecutor(entry.PeerAddress, process.upstreams, process.loop, logger, process.metricsSet, time.Now)
	process.peerSender = traffic.NewPeerSender(process.pool, process.loop, logger)
	return process, nil
}

// poolOptions returns the options of the connections to peers. certificates is nil
// without TLS.
func poolOptions(certificates *certificate.Store) peer.PoolOptions {
	if certificates == nil {
		return peer.PoolOptions{}
	}
	return peer.PoolOptions{
		TLS: certificates.ClientConfig(),
	}
}

// withTLS adds TLS to a listener if TLS is enabled. Clients need no certificate.
func (process *Process) withTLS(listener net.Listener) net.Listener {
	if process.certificates == nil {
		return listener
	}
	return tls.NewListener(listener, process.certificates.ServerConfig(false))
}

// Reload loads the TLS files again and replaces the MAC keys by those of entry. Any
// other change of the settings needs a restart. After an error the previous keys and
// certificates stay in use.
func (process *Process) Reload(entry settings.Entry) error {
	if process.certificates != nil {
		if err := process.certificates.Reload(); err != nil {
			process.logger.Log(logevent.KeysRejected, "cause", err.Error())
			return err
		}
	}
	process.keyring.Store(entry.Keyring())
	process.logger.Log(logevent.KeysReloaded)
	return nil
}

// ReloadFile loads the settings from file and calls Reload with them. Errors are
// logged.
func (process *Process) ReloadFile(file string) {
	entry, err := settings.Load(file, settings.DefaultEntry())
	if err != nil {
		process.logger.Log(logevent.KeysRejected, "cause", err.Error())
		return
	}
	_ = process.Reload(entry)
}

// listen opens a TCP listener on each address. The error wraps ErrListen.
func listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			closeAll(listeners)
			return nil, eris.Wrap(ErrListen, err.Error())
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func closeAll(listeners []net.Listener) {
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// newIncarnation returns a random number that identifies this start of the process.
func newIncarnation() uint64 {
	var bytes [8]byte
	_, _ = cryptorand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

// newControlLoop returns the control loop of the process with all state that it
// owns.
func (process *Process) newControlLoop() *control.Loop {
	now := time.Now()
	self := fleet.Self{
		Address:     process.identity.Address,
		Domain:      process.identity.Domain,
		Size:        process.settings.Size,
		Incarnation: process.identity.Incarnation,
		Started:     now,
	}
	random := rand.New(rand.NewPCG(process.identity.Incarnation, 0))
	estimator := estimate.New()
	scheduler := placement.New(process.settings.PlacementPolicy(), estimator, random)
	return control.New(control.Config{
		Ledger: submission.NewLedger(process.identity, process.settings.AnswerMemoryMb*bytesPerMb),
		Core: dispatch.New(dispatch.Config{
			Domain:    process.settings.Domain,
			Scheduler: scheduler,
			Estimator: estimator,
			Capabilities: func(string) upstream.Capabilities {
				return process.upstreams.Capabilities()
			},
			Random: random,
		}),
		Scheduler:      scheduler,
		Identity:       process.identity,
		Self:           self,
		View:           fleet.New(now, self),
		Stop:           process.Drain,
		Plans:          process.plans,
		Logger:         process.logger,
		Metrics:        control.NewMetrics(process.metricsSet),
		Now:            time.Now,
		AppendSnapshot: process.appendSnapshot,
	})
}

// Run serves callers, peers and operators until ctx ends or a graceful shutdown has
// finished, and then closes all connections. It returns nil, or the error that
// stopped one of the servers.
func (process *Process) Run(ctx context.Context) error {
	process.logger.Log(logevent.ProcessStarted, "caller", process.settings.CallerAddress,
		"peer", process.settings.PeerAddress, "operator", process.settings.OperatorAddress)
	process.group = rungroup.New(ctx)
	process.group.Go(func(ctx context.Context) error { return process.loop.Run(ctx, process.executor, process.peerSender) })
	process.group.Go(process.servePeers)
	process.group.Go(process.followVMs)
	process.group.Go(process.followPlan)
	process.group.Go(process.keyBinding.Run)
	process.callerHTTPServer = process.newCallerServer()
	callers := netutil.LimitListener(process.callerListener, maxCallerConnections)
	process.group.ServeHTTP(process.withTLS(callers), process.callerHTTPServer, shutdownTimeout)
	process.group.ServeHTTP(process.withTLS(process.operatorListener), process.newOperatorServer(), time.Second)
	process.group.Go(process.awaitShutdown)
	err := process.group.Wait()
	process.executor.Abort()
	process.executor.Wait()
	process.peerSender.Wait()
	process.upstreams.Close()
	process.pool.Close()
	process.platformHTTPClient.CloseIdleConnections()
	process.logger.Log(logevent.ProcessStopped)
	return err
}

func (process *Process) servePeers(ctx context.Context) error {
	handlers := peerapi.New(process.router, process.loop, process.keyring.Load)
	options := peer.ServerOptions{}
	if process.certificates != nil {
		options.TLS = process.certificates.ServerConfig(true)
	}
	return peer.Serve(ctx, process.peerListener, handlers, options)
}

func (process *Process) newCallerServer() *http.Server {
	return &http.Server{
		Handler:           process.closeDuringShutdown(callerapi.New(process.router, process.keyBinding, process.keyring.Load).Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// closeDuringShutdown closes the connection of a caller after each answer during the
// graceful shutdown, so that the caller connects to another VM.
func (process *Process) closeDuringShutdown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if process.shuttingDown.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

func (process *Process) newOperatorServer() *http.Server {
	return &http.Server{
		Handler:           operatorapi.New(process, process.metricsSet, process.settings.OperatorToken).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Ready returns nil if the VM can serve callers, otherwise ErrDraining or an error of
// control.Loop.Ready.
func (process *Process) Ready() error {
	if process.shuttingDown.Load() {
		return ErrDraining
	}
	return process.loop.Ready()
}

// Dump returns the state dump. The error is control.ErrStopped or the context's.
func (process *Process) Dump(ctx context.Context) (control.Dump, error) {
	return process.loop.Dump(ctx)
}

// Drain starts the graceful shutdown, whose first phase is the drain, without waiting
// for its end.
func (process *Process) Drain() {
	process.shutdownOnce.Do(func() {
		process.shuttingDown.Store(true)
		close(process.shutdownRequested)
	})
}

// LogDump writes the state dump to the log.
func (process *Process) LogDump() {
	dump, err := process.loop.Dump(context.Background())
	if err != nil {
		return
	}
	data, err := json.Marshal(dump)
	if err != nil {
		return
	}
	process.logger.Log(logevent.StateDumped, "state", string(data))
}
