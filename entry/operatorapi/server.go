package operatorapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"goji.io"
	"goji.io/pat"

	"tanagerfall/entry/control"
)

// Process holds the methods of process.Process that a Server uses.
type Process interface {
	// Ready returns nil if the VM can serve callers, otherwise the reason why
	// it cannot.
	Ready() error
	// Dump returns the state dump of the VM.
	Dump(ctx context.Context) (control.Dump, error)
	// Drain starts the graceful shutdown, whose first phase is the drain, without
	// waiting for its end.
	Drain()
}

// Server is the HTTP interface for operators.
type Server struct {
	process    Process
	metricsSet *metrics.Set
	token      string
}

// New returns a Server that serves the metrics in metricsSet and those of the
// process. Unless token is empty, all requests except those for health and
// readiness must carry it as a bearer token.
func New(process Process, metricsSet *metrics.Set, token string) *Server {
	return &Server{
		process:    process,
		metricsSet: metricsSet,
		token:      token,
	}
}

// Handler returns the handler for all paths of the interface.
func (server *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/healthz"), server.health)
	mux.HandleFunc(pat.Get("/readyz"), server.ready)
	mux.HandleFunc(pat.Get("/metrics"), server.requireToken(server.metrics))
	mux.HandleFunc(pat.Get("/state"), server.requireToken(server.state))
	mux.HandleFunc(pat.Post("/drain"), server.requireToken(server.drain))
	return mux
}

// requireToken returns a handler that calls next only for requests with the
// operator token.
func (server *Server) requireToken(next http.HandlerFunc) http.HandlerFunc {
	expected := []byte("Bearer " + server.token)
	return func(writer http.ResponseWriter, request *http.Request) {
		authorization := []byte(request.Header.Get("Authorization"))
		if server.token != "" && subtle.ConstantTimeCompare(authorization, expected) != 1 {
			http.Error(writer, "the operator token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next(writer, request)
	}
}

func (server *Server) health(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	if err := server.process.Ready(); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}

func (server *Server) metrics(writer http.ResponseWriter, _ *http.Request) {
	server.metricsSet.WritePrometheus(writer)
	metrics.WriteProcessMetrics(writer)
}

func (server *Server) state(writer http.ResponseWriter, request *http.Request) {
	dump, err := server.process.Dump(request.Context())
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump)
}

func (server *Server) drain(writer http.ResponseWriter, _ *http.Request) {
	server.process.Drain()
	writer.WriteHeader(http.StatusAccepted)
}
