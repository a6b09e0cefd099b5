package process

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/connection/peer"
	"tanagerfall/shared/process/logevent"
	"tanagerfall/shared/process/settings"
)

// authority is a certificate authority that issues certificates for 127.0.0.1.
type authority struct {
	t           *testing.T
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	der         []byte
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{t: t, key: key, certificate: certificate, der: der, serial: 1}
}

// issue writes a new certificate and its key into directory and returns the serial
// number.
func (authority *authority) issue(directory string) int64 {
	authority.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(authority.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	assert.NilError(authority.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(authority.t, err)
	authority.write(directory, "certificate.pem", "CERTIFICATE", der)
	authority.write(directory, "key.pem", "EC PRIVATE KEY", private)
	authority.write(directory, "ca.pem", "CERTIFICATE", authority.der)
	return authority.serial
}

func (authority *authority) write(directory, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(authority.t, os.WriteFile(filepath.Join(directory, name), data, 0o600))
}

// Guards against a listener that serves plain connections, a peer that is accepted
// without a certificate, an operator that is accepted without the token, and a
// renewed certificate that is not used after a reload.
func TestTLSAndOperatorToken(t *testing.T) {
	directory := t.TempDir()
	authority := newAuthority(t)
	firstSerial := authority.issue(directory)
	entry := tlsSettings(t, directory)
	process, err := New(entry, logevent.New(io.Discard, log.ErrorLevel, "test"))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	defer func() {
		cancel()
		assert.NilError(t, <-done)
	}()

	withCertificate := process.certificates.ClientConfig()
	withoutCertificate := withCertificate.Clone()
	withoutCertificate.GetClientCertificate = nil
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: withoutCertificate, DisableKeepAlives: true}}

	response, err := client.Get("https://" + entry.OperatorAddress + "/healthz")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.TLS.PeerCertificates[0].SerialNumber.Int64(), firstSerial)
	assert.Equal(t, getStateStatus(t, client, entry, ""), http.StatusUnauthorized)
	assert.Equal(t, getStateStatus(t, client, entry, "wrong-token-0123456789"), http.StatusUnauthorized)
	assert.Equal(t, getStateStatus(t, client, entry, entry.OperatorToken), http.StatusOK)

	plain, err := http.Get("http://" + entry.CallerAddress + "/v1/jobs/x")
	if err == nil {
		plain.Body.Close()
		assert.Equal(t, plain.StatusCode, http.StatusBadRequest)
	}

	assert.ErrorContains(t, pullPlan(t, entry, withoutCertificate), "")
	assert.NilError(t, pullPlan(t, entry, withCertificate))

	secondSerial := authority.issue(directory)
	assert.NilError(t, process.Reload(entry))
	response, err = client.Get("https://" + entry.OperatorAddress + "/healthz")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.TLS.PeerCertificates[0].SerialNumber.Int64(), secondSerial)

	assert.NilError(t, os.WriteFile(filepath.Join(directory, "key.pem"), []byte("broken"), 0o600))
	assert.ErrorContains(t, process.Reload(entry), "TLS files can't be used")
	response, err = client.Get("https://" + entry.OperatorAddress + "/healthz")
	assert.NilError(t, err)
	response.Body.Close()
}

// pullPlan sends a plan pull to the peer address of entry.
func pullPlan(t *testing.T, entry settings.Entry, config *tls.Config) error {
	pool := peer.NewPool(peer.PoolOptions{TLS: config})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := peer.PullPlan.Call(ctx, pool, entry.PeerAddress, &peer.PullPlanRequest{})
	return err
}

// getStateStatus requests the state dump with a token, or without one if token is
// empty, and returns the status of the response.
func getStateStatus(t *testing.T, client *http.Client, entry settings.Entry, token string) int {
	request, err := http.NewRequest(http.MethodGet, "https://"+entry.OperatorAddress+"/state", nil)
	assert.NilError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := client.Do(request)
	assert.NilError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// tlsSettings returns settings with free ports on 127.0.0.1 and the TLS files in
// directory.
func tlsSettings(t *testing.T, directory string) settings.Entry {
	entry := settings.DefaultEntry()
	entry.Format = settings.EntryFormat
	entry.Domain = "brest"
	entry.PlatformURL = "http://127.0.0.1:9"
	entry.MacKeys = []settings.MacKey{{ID: 1, Secret: "MDEyMzQ1Njc4OWFiY2RlZg=="}}
	entry.OperatorToken = "0123456789abcdef"
	entry.TLS = settings.TLS{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		CA:          filepath.Join(directory, "ca.pem"),
	}
	for _, address := range []*string{&entry.CallerAddress, &entry.PeerAddress, &entry.OperatorAddress} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		*address = listener.Addr().String()
		defer listener.Close()
	}
	return entry
}
