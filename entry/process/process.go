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
	// maxCallers bounds the callers' connections; further ones wait to be
	// accepted, so that idle callers take bounded memory.
	maxCallers = 8192
	// shutdownTimeout bounds the wait for open requests after the drain.
	shutdownTimeout = 5 * time.Second
)

// ErrListen is wrapped by the errors of New.
var ErrListen = eris.New("address can't be listened on")

// ErrDraining is why a VM that stops is not ready.
var ErrDraining = eris.New("draining")

// Process is one entry VM's process.
type Process struct {
	settings settings.Entry
	identity submission.Identity
	// store is nil without TLS.
	store       *certificate.Store
	keyring     atomic.Pointer[submission.Keyring]
	logger      *logevent.Logger
	set         *metrics.Set
	group       *rungroup.Group
	loop        *control.Loop
	plans       *control.Plans
	carrier     *traffic.Carrier
	courier     *traffic.Courier
	upstreams   *upstream.Client
	platform    *platform.Client
	pool        *peer.Pool
	router      *route.Router
	keys        *binding.Service
	caller      net.Listener
	peers       net.Listener
	operator    net.Listener
	draining    atomic.Bool
	drain       chan struct{}
	drainOnce   sync.Once
	callerHTTP  *http.Server
	platformWeb *http.Client
}

// New opens the listeners of an entry VM. The error wraps ErrListen.
func New(entry settings.Entry, logger *logevent.Logger) (*Process, error) {
	var store *certificate.Store
	if entry.TLS.Enabled() {
		loaded, err := certificate.New(certificate.Files(entry.TLS))
		if err != nil {
			return nil, eris.Wrap(err, "loading TLS files")
		}
		store = loaded
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
		logger:    logger,
		set:       metrics.NewSet(),
		upstreams: upstream.NewClient(),
		store:     store,
		caller:    listeners[0],
		peers:     listeners[1],
		operator:  listeners[2],
		pool:      peer.NewPool(poolOptions(store)),
		drain:     make(chan struct{}),
		platformWeb: &http.Client{
			Transport: &domainTransport{
				domain: entry.Domain,
				next: &http.Transport{
					MaxIdleConnsPerHost: 4,
				},
			},
		},
	}
	process.platform = platform.NewClient(entry.PlatformURL, process.platformWeb)
	process.keyring.Store(entry.Keyring())
	process.plans = control.NewPlans(entry.PeerAddress, logger)
	process.loop = process.newLoop()
	process.router = route.New(process.loop, process.pool, process.keyring.Load)
	process.keys = binding.New(process.platform, entry.KeyStream, keybinding.New(keybinding.Config{
		Keyring: process.keyring.Load,
	}), time.Now)
	process.carrier = traffic.New(entry.PeerAddress, process.upstreams, process.loop, logger, process.set, time.Now)
	process.courier = traffic.NewCourier(process.pool, process.loop, logger)
	return process, nil
}

func poolOptions(store *certificate.Store) peer.PoolOptions {
	if store == nil {
		return peer.PoolOptions{}
	}
	return peer.PoolOptions{
		TLS: store.ClientConfig(),
	}
}

// secured adds TLS to a listener where it is configured.
func (process *Process) secured(listener net.Listener) net.Listener {
	if process.store == nil {
		return listener
	}
	return tls.NewListener(listener, process.store.ServerConfig(false))
}

// Reload takes the MAC keys of the settings and the TLS files as they are now.
// All else of the settings needs a restart. After an error the earlier keys
// stay in use.
func (process *Process) Reload(entry settings.Entry) error {
	if process.store != nil {
		if err := process.store.Reload(); err != nil {
			process.logger.Log(logevent.KeysRejected, "cause", err.Error())
			return err
		}
	}
	process.keyring.Store(entry.Keyring())
	process.logger.Log(logevent.KeysReloaded)
	return nil
}

// ReloadFile is Reload with the settings in file.
func (process *Process) ReloadFile(file string) {
	entry, err := settings.Load(file, settings.DefaultEntry())
	if err != nil {
		process.logger.Log(logevent.KeysRejected, "cause", err.Error())
		return
	}
	_ = process.Reload(entry)
}

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

func newIncarnation() uint64 {
	var bytes [8]byte
	_, _ = cryptorand.Read(bytes[:])
	return binary.LittleEndian.Uint64(bytes[:])
}

func (process *Process) newLoop() *control.Loop {
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
		Metrics:        control.NewMetrics(process.set),
		Now:            time.Now,
		AppendSnapshot: process.appendSnapshot,
	})
}

// Run serves until ctx ends or a drain has finished.
func (process *Process) Run(ctx context.Context) error {
	process.logger.Log(logevent.ProcessStarted, "caller", process.settings.CallerAddress,
		"peer", process.settings.PeerAddress, "operator", process.settings.OperatorAddress)
	process.group = rungroup.New(ctx)
	process.group.Go(func(ctx context.Context) error { return process.loop.Run(ctx, process.carrier, process.courier) })
	process.group.Go(process.servePeers)
	process.group.Go(process.followVms)
	process.group.Go(process.followPlan)
	process.group.Go(process.keys.Run)
	process.callerHTTP = process.callerServer()
	callers := netutil.LimitListener(process.caller, maxCallers)
	process.group.ServeHTTP(process.secured(callers), process.callerHTTP, shutdownTimeout)
	process.group.ServeHTTP(process.secured(process.operator), process.operatorServer(), time.Second)
	process.group.Go(process.awaitDrain)
	err := process.group.Wait()
	process.carrier.Abort()
	process.carrier.Wait()
	process.courier.Wait()
	process.upstreams.Close()
	process.pool.Close()
	process.platformWeb.CloseIdleConnections()
	process.logger.Log(logevent.ProcessStopped)
	return err
}

func (process *Process) servePeers(ctx context.Context) error {
	handlers := peerapi.New(process.router, process.loop, process.keyring.Load)
	options := peer.ServerOptions{}
	if process.store != nil {
		options.TLS = process.store.ServerConfig(true)
	}
	return peer.Serve(ctx, process.peers, handlers, options)
}

func (process *Process) callerServer() *http.Server {
	return &http.Server{
		Handler:           process.closeWhileDraining(callerapi.New(process.router, process.keys, process.keyring.Load).Handler()),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// closeWhileDraining lets callers move to other VMs after their next answer.
func (process *Process) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if process.draining.Load() {
			writer.Header().Set("Connection", "close")
		}
		next.ServeHTTP(writer, request)
	})
}

func (process *Process) operatorServer() *http.Server {
	return &http.Server{
		Handler:           operatorapi.New(process, process.set, process.settings.OperatorToken).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Ready returns nil, ErrDraining or an error of control.Loop.Ready.
func (process *Process) Ready() error {
	if process.draining.Load() {
		return ErrDraining
	}
	return process.loop.Ready()
}

// Dump returns the state dump.
func (process *Process) Dump(ctx context.Context) (control.Dump, error) {
	return process.loop.Dump(ctx)
}

// Drain starts the graceful shutdown and returns at once.
func (process *Process) Drain() {
	process.drainOnce.Do(func() {
		process.draining.Store(true)
		close(process.drain)
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
