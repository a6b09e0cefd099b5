package fault

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// HeaderDomain names the failure domain of the VM that sends a request.
const HeaderDomain = "Tanager-Domain"

// Middleware is the state of the network and process faults that every stand-in
// has. Its zero value has no fault. It is safe for concurrent use.
type Middleware struct {
	Gate Gate

	mutex   sync.Mutex
	slow    Window
	delay   time.Duration
	cut     Window
	domains []string
}

// Slow delays every answer by delay for duration; 0 means until Clear.
func (path *Middleware) Slow(delay, duration time.Duration) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.slow = NewWindow(time.Now(), duration)
	path.delay = delay
}

// CutDomains leaves requests from domains without an answer for duration; 0
// means until Clear.
func (path *Middleware) CutDomains(domains []string, duration time.Duration) {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.cut = NewWindow(time.Now(), duration)
	path.domains = slices.Clone(domains)
}

// Clear ends the delay and the partition. A freeze ends by itself.
func (path *Middleware) Clear() {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	path.slow = Window{}
	path.cut = Window{}
}

// isCut tells whether domain is cut off now.
func (path *Middleware) isCut(domain string) bool {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	return domain != "" && path.cut.Active(time.Now()) && slices.Contains(path.domains, domain)
}

func (path *Middleware) currentDelay() time.Duration {
	path.mutex.Lock()
	defer path.mutex.Unlock()
	if !path.slow.Active(time.Now()) {
		return 0
	}
	return path.delay
}

// Wrap returns next behind the faults of path. A request from a domain that
// is cut off is held until the client gives up or the server closes.
func (path *Middleware) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		path.Gate.Wait()
		domain := request.Header.Get(HeaderDomain)
		if path.isCut(domain) {
			HoldUnanswered(request.Context())
		}
		Sleep(request.Context(), path.currentDelay())
		next.ServeHTTP(&gatedWriter{
			ResponseWriter: writer,
			path:           path,
			request:        request,
			domain:         domain,
		}, request)
	})
}

// gatedWriter holds an answer back while the stand-in is frozen, and for good
// if the partition began while the request was being processed.
type gatedWriter struct {
	http.ResponseWriter
	path    *Middleware
	request *http.Request
	domain  string
}

// WriteHeader implements http.ResponseWriter.
func (writer *gatedWriter) WriteHeader(status int) {
	writer.path.Gate.Wait()
	if writer.path.isCut(writer.domain) {
		HoldUnanswered(writer.request.Context())
	}
	writer.ResponseWriter.WriteHeader(status)
}

// HoldUnanswered holds a request until its context ends and then cuts its
// connection. It does not return; it panics with http.ErrAbortHandler.
func HoldUnanswered(ctx context.Context) {
	<-ctx.Done()
	panic(http.ErrAbortHandler)
}

// Sleep waits for duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
