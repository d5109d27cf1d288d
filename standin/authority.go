package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Authority is a stand-in for the platform's certificate authority: it signs
// certificates for 127.0.0.1 that are valid for an hour, and writes them to
// files in Dir. It is not safe for concurrent use.
type Authority struct {
	Dir string

	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	lastSerial int64
}

// CertFiles has the paths of a certificate's PEM files.
type CertFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// Issue writes a certificate with the common name, for servers and clients. It
// fails if a file cannot be written.
func (a *Authority) Issue(name string) (CertFiles, error) {
	if a.cert == nil {
		cert, key, err := a.sign("ca", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
		if err != nil {
			return CertFiles{}, err
		}
		a.cert, a.key = cert, key
	}
	usage := []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	_, _, err := a.sign(name, &x509.Certificate{ExtKeyUsage: usage})
	return CertFiles{a.path(name + ".pem"), a.path(name + ".key"), a.path("ca.pem")}, err
}

func (a *Authority) path(name string) string { return filepath.Join(a.Dir, name) }

func (a *Authority) sign(name string, v *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	a.lastSerial++
	v.SerialNumber, v.Subject = big.NewInt(a.lastSerial), pkix.Name{CommonName: name}
	v.NotBefore, v.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	v.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = v, key
	}
	der, err := x509.CreateCertificate(rand.Reader, v, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, nil, err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	for _, f := range []struct {
		name, kind string
		data       []byte
	}{{name + ".pem", "CERTIFICATE", der}, {name + ".key", "EC PRIVATE KEY", private}} {
		if err := os.WriteFile(a.path(f.name), pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.data}), 0o600); err != nil {
			return nil, nil, err
		}
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}
