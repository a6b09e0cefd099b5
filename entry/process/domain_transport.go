package process

import "net/http"

// headerDomain names the failure domain of a VM that asks the platform.
const headerDomain = "Tanager-Domain"

// domainTransport adds the failure domain to each request to the platform.
type domainTransport struct {
	domain string
	base   *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (transport *domainTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	clone := request.Clone(request.Context())
	clone.Header.Set(headerDomain, transport.domain)
	return transport.base.RoundTrip(clone)
}

// CloseIdleConnections is what http.Client.CloseIdleConnections calls.
func (transport *domainTransport) CloseIdleConnections() { transport.base.CloseIdleConnections() }
