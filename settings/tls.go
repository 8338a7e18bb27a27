// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
)

// This file defines TLS, the configurations made from the certificate files.

// TLS holds the three TLS configurations of a box.
type TLS struct {
	Clients *tls.Config // for the callers' and operators' listeners, which require no client certificate
	Fleet   *tls.Config // for the boxes' listener, which requires a client certificate
	Dial    *tls.Config // for links to other boxes
}

// NewTLS returns the configurations for a box's certificate and the authority that signs the
// certificates of all boxes.
func NewTLS(cert tls.Certificate, authority *x509.CertPool) *TLS {
	base := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	fleet := base.Clone()
	fleet.ClientAuth, fleet.ClientCAs = tls.RequireAndVerifyClientCert, authority
	dial := base.Clone()
	dial.RootCAs = authority
	return &TLS{Clients: base, Fleet: fleet, Dial: dial}
}

// tls reads the certificate files, of which either all three or none are set. It returns nil if
// none is set.
func (c *checks) tls(certFile, keyFile, caFile string) *TLS {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil
	}
	if certFile == "" || keyFile == "" || caFile == "" {
		c.require(false, "-tls-cert-file, -tls-key-file and -tls-ca-file: give all three or none")
		return nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	c.require(err == nil, "-tls-cert-file, -tls-key-file: %v", err)
	pem, err := os.ReadFile(caFile)
	c.require(err == nil, "-tls-ca-file: %v", err)
	authority := x509.NewCertPool()
	c.require(err != nil || authority.AppendCertsFromPEM(pem), "-tls-ca-file: contains no certificate")
	return NewTLS(cert, authority)
}
