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

// reloadEvery is how often the files are checked for a change.
const reloadEvery = 5 * time.Second

// keyPair is a certificate with the authorities that it is checked against.
type keyPair struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modified    time.Time
}

// certificates holds the TLS material of a VM and reloads it when files change.
type certificates struct {
	peerFiles, adminFiles settings.TLS
	peer, admin           atomic.Pointer[keyPair]
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

// load reads the files if they are newer than what is loaded.
func load(files settings.TLS, into *atomic.Pointer[keyPair]) error {
	if !files.Enabled() {
		return nil
	}
	modified, err := newest(files)
	if err != nil {
		return err
	}
	if old := into.Load(); old != nil && !modified.After(old.modified) {
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
		return errors.Errorf("%s holds no certificate in PEM form: write the authority's certificate there", files.ClientCA)
	}
	into.Store(&keyPair{certificate, pool, modified})
	return nil
}

func newest(files settings.TLS) (time.Time, error) {
	var latest time.Time
	for _, name := range []string{files.Certificate, files.Key, files.ClientCA} {
		info, err := os.Stat(name)
		if err != nil {
			return latest, errors.Wrap(err, "look at TLS file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// watch reloads the files until ctx ends. A file that cannot be read leaves the
// loaded one in use.
func (c *certificates) watch(ctx context.Context, log zerolog.Logger) {
	ticker := time.NewTicker(reloadEvery)
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

func serverConfig(pair *atomic.Pointer[keyPair], auth tls.ClientAuthType) *tls.Config {
	if pair.Load() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			p := pair.Load()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{p.certificate},
				ClientAuth: auth, ClientCAs: p.authorities,
			}, nil
		},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &pair.Load().certificate, nil },
	}
}

func (c *certificates) peerServer() *tls.Config {
	return serverConfig(&c.peer, tls.RequireAndVerifyClientCert)
}

// adminServer accepts operators without a certificate: their token decides.
func (c *certificates) adminServer() *tls.Config {
	return serverConfig(&c.admin, tls.VerifyClientCertIfGiven)
}

// peerClient checks the chain of a peer's certificate against the present
// authorities. The name is checked by the peer's own greeting, not by address:
// VMs are reached by IP number.
func (c *certificates) peerClient() *tls.Config {
	if c.peer.Load() == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // the chain is verified below; names are not IP numbers
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &c.peer.Load().certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: c.peer.Load().authorities, Intermediates: x509.NewCertPool()}
			for _, cert := range state.PeerCertificates[1:] {
				opts.Intermediates.AddCert(cert)
			}
			_, err := state.PeerCertificates[0].Verify(opts)
			return errors.Wrap(err, "certificate of the peer")
		},
	}
}

// authorizePeer requires that a VM's certificate names it.
func (c *certificates) authorizePeer(r *http.Request, hello wire.Hello) error {
	if c.peer.Load() == nil {
		return nil
	}
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return errors.New("the VM showed no certificate: set peer_tls in its settings")
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
