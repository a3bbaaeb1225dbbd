package server

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"laburnumwind/loader"
)

// authority is a certificate authority that signs the certificates of a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	folder      string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{folder: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	a.certificate = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, &a.key.PublicKey, a.key)
	must.NoError(t, err)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

// write writes a PEM file to the folder of the authority and returns its path.
func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.folder, name)
	must.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// tlsSettings creates a certificate for 127.0.0.1 and returns the TLS settings with its files.
func (a *authority) tlsSettings(t *testing.T) loader.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "entry"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey, a.key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	return loader.TLS{
		Certificate: a.write(t, "cert.pem", "CERTIFICATE", der),
		Key:         a.write(t, "key.pem", "EC PRIVATE KEY", keyDER),
		PeerCA:      filepath.Join(a.folder, "ca.pem"),
	}
}

// TestTLS checks that callers need a trusted server certificate and that peers also need a
// client certificate and a token.
func TestTLS(t *testing.T) {
	settings, cleanup, err := DevSettings()
	must.NoError(t, err)
	defer cleanup()
	for _, address := range []*string{&settings.Listen.Callers, &settings.Listen.Endpoints, &settings.Listen.Operators, &settings.Listen.Peers} {
		*address = freeAddress(t)
	}
	settings.Timing.Leave = 0
	settings.TLS = newAuthority(t).tlsSettings(t)
	s, err := NewServer(Config{Settings: settings, Log: zerolog.Nop(), OnFailure: func(err error) { t.Error(err) }})
	must.NoError(t, err)
	defer s.Stop()
	_, peerTLS, err := tlsConfigs(settings.TLS)
	must.NoError(t, err)
	clientTLS := &tls.Config{RootCAs: peerTLS.RootCAs}
	tests := map[string]struct {
		url    string
		config *tls.Config
		status int // 0: the TLS handshake fails
	}{
		"callers":                                      {url: "https://" + settings.Listen.Callers + "/healthz", config: clientTLS, status: http.StatusOK},
		"callers without TLS":                          {url: "http://" + settings.Listen.Callers + "/healthz", config: clientTLS, status: http.StatusBadRequest},
		"callers with an unknown authority":            {url: "https://" + settings.Listen.Callers + "/healthz", config: &tls.Config{}},
		"peers without a certificate":                  {url: "https://" + settings.Listen.Peers + "/", config: clientTLS},
		"peers with a certificate and without a token": {url: "https://" + settings.Listen.Peers + "/", config: peerTLS, status: http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: tc.config}, Timeout: 5 * time.Second}
			response, err := client.Get(tc.url)
			if tc.status == 0 {
				must.Error(t, err)
				return
			}
			must.NoError(t, err)
			must.NoError(t, response.Body.Close())
			must.Eq(t, tc.status, response.StatusCode)
		})
	}
}
