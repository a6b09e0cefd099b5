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

// Process is what the server needs of the process.
type Process interface {
	// Ready returns nil, or why the VM should get no callers.
	Ready() error
	Dump(ctx context.Context) (control.Dump, error)
	// Drain starts the graceful shutdown and returns at once.
	Drain()
}

// Server is the operators' HTTP interface.
type Server struct {
	process Process
	set     *metrics.Set
	token   string
}

// New returns a Server. Unless token is empty, all requests but those for
// health and readiness must carry it as a bearer token.
func New(process Process, set *metrics.Set, token string) *Server {
	return &Server{
		process: process,
		set:     set,
		token:   token,
	}
}

// Handler returns the routes.
func (server *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/healthz"), server.health)
	mux.HandleFunc(pat.Get("/readyz"), server.ready)
	mux.HandleFunc(pat.Get("/metrics"), server.authorized(server.metrics))
	mux.HandleFunc(pat.Get("/state"), server.authorized(server.state))
	mux.HandleFunc(pat.Post("/drain"), server.authorized(server.drain))
	return mux
}

func (server *Server) authorized(next http.HandlerFunc) http.HandlerFunc {
	wanted := []byte("Bearer " + server.token)
	return func(writer http.ResponseWriter, request *http.Request) {
		given := []byte(request.Header.Get("Authorization"))
		if server.token != "" && subtle.ConstantTimeCompare(given, wanted) != 1 {
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
	server.set.WritePrometheus(writer)
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
