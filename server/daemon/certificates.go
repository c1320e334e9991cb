package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/settings"
)

// reloadInterval is how often the files are checked for a change.
const reloadInterval = 5 * time.Second

// credentials holds a certificate with its key, and the CAs that verify the
// certificates of clients and peers.
type credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
	modTime     time.Time
}

// certificates holds the TLS material of a VM and reloads it when files change.
type certificates struct {
	peerFiles, adminFiles settings.TLS
	peer, admin           atomic.Pointer[credentials]
}

func loadCertificates(s *settings.Settings) (*certificates, error) {
	c := &certificates{peerFiles: s.PeerTLS, adminFiles: s.AdminTLS}
	if err := load(c.peerFiles, &c.peer); err != nil {
		return nil, errors.WithMessage(err, "peer_tls")
	}
	if err := load(c.adminFiles, &c.admin); err != nil {
		return nil, errors.WithMessage(err, "admin_tls")
	}
	return c, nil
}

// load reads the files if one has changed since the last load.
func load(files settings.TLS, into *atomic.Pointer[credentials]) error {
	if !files.Enabled() {
		return nil
	}
	modified, err := newestModTime(files)
	if err != nil {
		return err
	}
	if old := into.Load(); old != nil && !modified.After(old.modTime) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return errors.Wrap(err, "load the certificate and key: check that they belong together")
	}
	data, err := os.ReadFile(files.ClientCA)
	if err != nil {
		return errors.Wrap(err, "read client_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return errors.Errorf("%s holds no certificate in PEM form: write the CA certificate there", files.ClientCA)
	}
	into.Store(&credentials{certificate, pool, modified})
	return nil
}

func newestModTime(files settings.TLS) (time.Time, error) {
	var latest time.Time
	for _, name := range []string{files.Certificate, files.Key, files.ClientCA} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, errors.Wrap(err, "stat TLS file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// watch reloads the files until ctx ends. If a file cannot be loaded, the
// credentials loaded before stay in use.
func (c *certificates) watch(ctx context.Context, log zerolog.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, err := range []error{load(c.peerFiles, &c.peer), load(c.adminFiles, &c.admin)} {
			if err != nil {
				log.Error().Err(err).Str("event", "certificates_not_reloaded").Msg("")
			}
		}
	}
}

func serverConfig(creds *atomic.Pointer[credentials], auth tls.ClientAuthType) *tls.Config {
	if creds.Load() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := creds.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.certificate},
				ClientAuth: auth, ClientCAs: p.caPool,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &creds.Load().certificate, nil },
	}
}

func (c *certificates) peerServerConfig() *tls.Config {
	return serverConfig(&c.peer, tls.RequireAndVerifyClientCert)
}

// adminServerConfig does not require client certificates: operators authenticate by token.
func (c *certificates) adminServerConfig() *tls.Config {
	return serverConfig(&c.admin, tls.VerifyClientCertIfGiven)
}

// peerClientConfig verifies the chain of a peer's certificate against the CAs
// loaded last. It does not verify the host name, because VMs are reached by IP
// address; the accepting VM checks the ID in the hello frame (authorizePeer).
func (c *certificates) peerClientConfig() *tls.Config {
	if c.peer.Load() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain; certificates do not name IP addresses
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.peer.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: c.peer.Load().caPool, Intermediates: x509.NewCertPool()}
			for _, cert := range state.PeerCertificates[1:] {
				opts.Intermediates.AddCert(cert)
			}
			_, err := state.PeerCertificates[0].Verify(opts)
			return errors.Wrap(err, "verify the peer's certificate")
		},
	}
}

// authorizePeer requires that the client certificate names the VM of the hello frame.
func (c *certificates) authorizePeer(r *http.Request, hello wire.Hello) error {
	if c.peer.Load() == nil {
		return nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return errors.New("the VM presented no certificate: set peer_tls in its settings")
	}
	cert := r.TLS.PeerCertificates[0]
	if cert.Subject.CommonName == string(hello.VM) {
		return nil
	}
	for _, name := range cert.DNSNames {
		if name == string(hello.VM) {
			return nil
		}
	}
	return errors.Errorf("the certificate does not name VM %s: issue one whose common name is the VM's ID", hello.VM)
}
