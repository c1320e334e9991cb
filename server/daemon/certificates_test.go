package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionhill.dev/api"
	"dandelionhill.dev/api/wire"
	"dandelionhill.dev/server/settings"
)

// testCA signs certificates for a test.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &testCA{cert, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes the certificate, key and CA files of a VM into dir.
func (a *testCA) issue(t *testing.T, dir string, vm api.VMID, serial int64) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: string(vm)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	files := settings.TLS{
		Certificate: filepath.Join(dir, string(vm)+".pem"), Key: filepath.Join(dir, string(vm)+"-key.pem"),
		ClientCA: filepath.Join(dir, "ca.pem"),
	}
	require.NoError(t, os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	require.NoError(t, os.WriteFile(files.ClientCA, a.pem, 0o600))
	return files
}

func loadTestCertificates(t *testing.T, files settings.TLS) *certificates {
	t.Helper()
	c, err := loadCertificates(&settings.Settings{PeerTLS: files, AdminTLS: files})
	require.NoError(t, err)
	return c
}

// peerServer runs authorizePeer for the VM that the query names.
func peerServer(t *testing.T, c *certificates) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := c.authorizePeer(r, wire.Hello{VM: api.VMID(r.URL.Query().Get("vm"))}); err != nil {
			http.Error(w, err.Error(), http.StatusForbidden)
		}
	}))
	server.TLS = c.peerServerConfig()
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

func get(t *testing.T, config *tls.Config, url string) (*http.Response, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err == nil {
		t.Cleanup(func() { resp.Body.Close() })
	}
	return resp, err
}

// TestPeerCertificates guards against a VM that connects without a certificate,
// with one of another CA, or under the ID of another VM.
func TestPeerCertificates(t *testing.T) {
	ca, dir := newTestCA(t), t.TempDir()
	server := peerServer(t, loadTestCertificates(t, ca.issue(t, dir, "vm-01", 2)))
	second := loadTestCertificates(t, ca.issue(t, dir, "vm-02", 3))

	resp, err := get(t, second.peerClientConfig(), server.URL+"?vm=vm-02")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	resp, err = get(t, second.peerClientConfig(), server.URL+"?vm=vm-03")
	require.NoError(t, err)
	require.Equal(t, http.StatusForbidden, resp.StatusCode)
	_, err = get(t, &tls.Config{InsecureSkipVerify: true}, server.URL)
	require.Error(t, err, "no certificate")
	foreign := loadTestCertificates(t, newTestCA(t).issue(t, t.TempDir(), "vm-02", 4))
	_, err = get(t, foreign.peerClientConfig(), server.URL+"?vm=vm-02")
	require.Error(t, err, "certificate of another CA")
}

// TestCertificateReload guards against a VM that needs a restart for a new
// certificate, and against one that replaces a good certificate by an unreadable file.
func TestCertificateReload(t *testing.T) {
	ca, dir := newTestCA(t), t.TempDir()
	files := ca.issue(t, dir, "vm-01", 2)
	c := loadTestCertificates(t, files)
	server := peerServer(t, c)
	second := loadTestCertificates(t, ca.issue(t, dir, "vm-02", 3))
	serial := func() int64 {
		resp, err := get(t, second.peerClientConfig(), server.URL+"?vm=vm-02")
		require.NoError(t, err)
		return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
	}
	require.Equal(t, int64(2), serial())
	ca.issue(t, dir, "vm-01", 5)
	touch(t, files.Certificate, time.Minute)
	require.NoError(t, load(c.peerFiles, &c.peer))
	require.Equal(t, int64(5), serial())
	require.NoError(t, os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	touch(t, files.Certificate, 2*time.Minute)
	require.Error(t, load(c.peerFiles, &c.peer))
	require.Equal(t, int64(5), serial())
}

func touch(t *testing.T, name string, ahead time.Duration) {
	t.Helper()
	at := time.Now().Add(ahead)
	require.NoError(t, os.Chtimes(name, at, at))
}
