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

// Files are the paths of PEM files.
type Files struct {
	Certificate string
	Key         string
	// CA holds the certificates that sign those of entry VMs and operators.
	CA string
}

// Store holds a certificate and the authorities that are trusted. It is safe
// for concurrent use.
type Store struct {
	files Files
	held  atomic.Pointer[loaded]
}

type loaded struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// New loads the files.
func New(files Files) (*Store, error) {
	store := &Store{
		files: files,
	}
	return store, store.Reload()
}

// Reload reads the files again. After an error the earlier content stays in
// use.
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
		return eris.Wrapf(ErrUnusable, "%s holds no certificate", store.files.CA)
	}
	store.held.Store(&loaded{
		certificate: certificate,
		authorities: authorities,
	})
	return nil
}

// ServerConfig returns the configuration of a listener. With mutual set, clients
// must show a certificate that a trusted authority signed.
func (store *Store) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := store.held.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{held.certificate},
			}
			if mutual {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = held.authorities
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration for connections to peers. The authorities
// are those of the time of the call; the certificate follows Reload.
func (store *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    store.held.Load().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &store.held.Load().certificate, nil
		},
	}
}
