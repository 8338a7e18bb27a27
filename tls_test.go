// SPDX-License-Identifier: Apache-2.0

package badgerspoke_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/settings"
	"github.com/badgerspoke/badgerspoke/transport/link"
)

// This file tests a fleet that uses TLS.

// authority is a certificate authority for IP addresses.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, _ := x509.ParseCertificate(der)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &authority{cert: cert, key: key, pool: pool}
}

func (a *authority) sign(t *testing.T, ip string) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: ip}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

func TestTLSFleetRefusesUncertifiedPeers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		ca := newAuthority(t)
		f := newFleetWith(t, 3, 2, func(ip string) *settings.TLS { return settings.NewTLS(ca.sign(t, ip), ca.pool) })
		f.createAccount("hotel", 1)
		f.addEngine("e1", 1, 2)
		f.settle()
		a := f.do(completion("r2", "hotel", 3, true))
		is.NoErr(a.err)
		is.True(strings.HasSuffix(a.body, "data: [DONE]\n\n"))
		// An unencrypted request is refused.
		plain := &http.Client{Transport: &http.Transport{DialContext: f.net.DialerFrom(clientIP).DialContext, DisableKeepAlives: true}}
		resp, err := plain.Get("http://10.0.2.1:8080/readyz")
		is.NoErr(err) // net/http responds in plain text
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusBadRequest)
		// A box with the fleet key but without a certificate is refused.
		stranger := link.Identity{Name: "r9", Key: []byte("a key that all boxes share"), Dial: f.net.DialerFrom("10.0.2.9").DialContext,
			TLS: &tls.Config{RootCAs: ca.pool, MinVersion: tls.VersionTLS13}}
		_, err = link.Dial(t.Context(), "10.0.1.1:8082", stranger, nil)
		is.True(err != nil)
		// A box with a certificate of another authority is refused.
		stranger.TLS = settings.NewTLS(newAuthority(t).sign(t, "10.0.2.9"), ca.pool).Dial
		_, err = link.Dial(t.Context(), "10.0.1.1:8082", stranger, nil)
		is.True(err != nil)
	})
}
