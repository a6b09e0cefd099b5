package process

import "net/http"

// headerDomain is the header with the failure domain of the requesting VM.
const headerDomain = "Tanager-Domain"

// domainTransport adds the failure domain of the VM to each request to the platform.
type domainTransport struct {
	domain string
	base   *http.Transport
}

// RoundTrip implements http.RoundTripper. It does not modify request.
func (transport *domainTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	clone := request.Clone(request.Context())
	clone.Header.Set(headerDomain, transport.domain)
	return transport.base.RoundTrip(clone)
}

// CloseIdleConnections closes the idle connections of base. It is called by
// http.Client.CloseIdleConnections.
func (transport *domainTransport) CloseIdleConnections() { transport.base.CloseIdleConnections() }
