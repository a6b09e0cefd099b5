package process

import "net/http"

// headerDomain names the failure domain of a VM that asks the platform.
const headerDomain = "Tanager-Domain"

// domainTransport adds the failure domain to each request to the platform.
type domainTransport struct {
	domain string
	next   *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (transport *domainTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	named := request.Clone(request.Context())
	named.Header.Set(headerDomain, transport.domain)
	return transport.next.RoundTrip(named)
}

// CloseIdleConnections is what http.Client.CloseIdleConnections calls.
func (transport *domainTransport) CloseIdleConnections() { transport.next.CloseIdleConnections() }
