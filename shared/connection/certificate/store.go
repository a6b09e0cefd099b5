package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrUnusable is wrapped by the errors of New and Reload.
var ErrUnusable = eris.New("TLS files can't be used")

// Files are the paths of the PEM files of a process.
type Files struct {
	// Certificate holds the certificate of the process.
	Certificate string
	// Key holds the private key of Certificate.
	Key string
	// CA holds the certificates of the authorities that sign those of entry VMs
	// and operators.
	CA string
}

// Store holds the certificate of the process and the trusted authorities. It is
// safe for concurrent use.
type Store struct {
	files Files
	// current is the content of the files at the last successful load.
	current atomic.Pointer[credentials]
}

// credentials are the parsed content of Files.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New loads the files and returns a Store of their content. The error wraps
// ErrUnusable.
func New(files Files) (*Store, error) {
	store := &Store{
		files: files,
	}
	return store, store.Reload()
}

// Reload loads the files again. After an error the earlier content stays in use.
// The error wraps ErrUnusable.
func (store *Store) Reload() error {
	certificate, err := tls.LoadX509KeyPair(store.files.Certificate, store.files.Key)
	if err != nil {
		return eris.Wrap(ErrUnusable, err.Error())
	}
	data, err := os.ReadFile(store.files.CA)
	if err != nil {
		return eris.Wrap(ErrUnusable, err.Error())
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return eris.Wrapf(ErrUnusable, "file %s has no certificate", store.files.CA)
	}
	store.current.Store(&credentials{
		certificate: certificate,
		authorities: authorities,
	})
	return nil
}

// ServerConfig returns the TLS configuration of a listener. Each new connection
// uses the current content. With mutualTLS, clients must present a certificate
// that a trusted authority signed.
func (store *Store) ServerConfig(mutualTLS bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := store.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
			}
			if mutualTLS {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = current.authorities
			}
			return config, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to peers. The
// authorities are those at the time of the call. The certificate is the current
// one of each connection, so that it follows Reload.
func (store *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    store.current.Load().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &store.current.Load().certificate, nil
		},
	}
}
