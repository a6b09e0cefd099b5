package fault

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

// HeaderDomain is the request header with the failure domain of the sending
// VM.
const HeaderDomain = "Tanager-Domain"

// Middleware injects the faults that concern all requests of a stand-in:
// freeze, delay and partition. Its zero value injects none. It is safe for
// concurrent use.
type Middleware struct {
	// Gate is shut while the stand-in is frozen.
	Gate Gate

	mutex      sync.Mutex
	slowWindow Window
	slowDelay  time.Duration
	cutWindow  Window
	cutDomains []string
}

// Slow delays every response by delay for duration; a duration of 0 lasts
// until Clear.
func (middleware *Middleware) Slow(delay, duration time.Duration) {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.slowWindow = NewWindow(time.Now(), duration)
	middleware.slowDelay = delay
}

// CutDomains leaves requests from the failure domains unanswered for duration;
// a duration of 0 lasts until Clear.
func (middleware *Middleware) CutDomains(domains []string, duration time.Duration) {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.cutWindow = NewWindow(time.Now(), duration)
	middleware.cutDomains = slices.Clone(domains)
}

// Clear ends the delay and the partition, but not a freeze.
func (middleware *Middleware) Clear() {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	middleware.slowWindow = Window{}
	middleware.cutWindow = Window{}
}

// isCutOff reports whether the failure domain is cut off now.
func (middleware *Middleware) isCutOff(domain string) bool {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	return domain != "" && middleware.cutWindow.Active(time.Now()) && slices.Contains(middleware.cutDomains, domain)
}

// currentDelay returns the delay of Slow, or 0 if it is not active.
func (middleware *Middleware) currentDelay() time.Duration {
	middleware.mutex.Lock()
	defer middleware.mutex.Unlock()
	if !middleware.slowWindow.Active(time.Now()) {
		return 0
	}
	return middleware.slowDelay
}

// Wrap returns a handler that applies the faults before and after next. A
// request from a failure domain that is cut off is held until the client
// abandons it or the server closes.
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

// gatedWriter delays a response while the stand-in is frozen. It withholds the
// response if the partition began while the request was processed.
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

// HoldUnanswered holds a request until its context ends and then closes the
// connection by a panic with http.ErrAbortHandler. It does not return.
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
