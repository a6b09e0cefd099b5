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

	mutex      sync.Mutex
	slowWindow Window
	slowDelay  time.Duration
	cutWindow  Window
	cutDomains []string
}

// Slow delays every answer by delay for duration; 0 means until Clear.
func (middleware *Middleware) Slow(delay, duration time.Duration) {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.slowWindow = NewWindow(time.Now(), duration)
	middleware.slowDelay = delay
}

// CutDomains leaves requests from domains without an answer for duration; 0
// means until Clear.
func (middleware *Middleware) CutDomains(domains []string, duration time.Duration) {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.cutWindow = NewWindow(time.Now(), duration)
	middleware.cutDomains = slices.Clone(domains)
}

// Clear ends the delay and the partition. A freeze ends by itself.
func (middleware *Middleware) Clear() {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.slowWindow = Window{}
	middleware.cutWindow = Window{}
}

// isCutOff tells whether domain is cut off now.
func (middleware *Middleware) isCutOff(domain string) bool {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	return domain != "" && middleware.cutWindow.Active(time.Now()) && slices.Contains(middleware.cutDomains, domain)
}

func (middleware *Middleware) currentDelay() time.Duration {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	if !middleware.slowWindow.Active(time.Now()) {
		return 0
	}
	return middleware.slowDelay
}

// Wrap returns next behind the faults of path. A request from a domain that
// is cut off is held until the client gives up or the server closes.
func (middleware *Middleware) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		middleware.Gate.Wait()
		domain := request.Header.Get(HeaderDomain)
		if middleware.isCutOff(domain) {
			HoldUnanswered(request.Context())
		}
		Sleep(request.Context(), middleware.currentDelay())
		next.ServeHTTP(&gatedWriter{
			ResponseWriter: writer,
			middleware:     middleware,
			request:        request,
			domain:         domain,
		}, request)
	})
}

// gatedWriter holds an answer back while the stand-in is frozen, and for good
// if the partition began while the request was being processed.
type gatedWriter struct {
	http.ResponseWriter
	middleware *Middleware
	request    *http.Request
	domain     string
}

// WriteHeader implements http.ResponseWriter.
func (writer *gatedWriter) WriteHeader(status int) {
	writer.middleware.Gate.Wait()
	if writer.middleware.isCutOff(writer.domain) {
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
