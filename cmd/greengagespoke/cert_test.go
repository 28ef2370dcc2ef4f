package main

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
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"greengagespoke/internal/freeport"
)

// certValidity is how long before and after now a certificate for scripts is valid.
const certValidity = time.Hour

// makeCert writes a self-signed certificate for the addresses of the scripts and its
// private key. The certificate is also its own certificate authority.
func makeCert(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: make-cert CERT KEY")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "script"},
		NotBefore:             time.Now().Add(-certValidity),
		NotAfter:              time.Now().Add(certValidity),
		IPAddresses:           []net.IP{freeport.Loopback()},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	ts.Check(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	writePEM(ts, args[0], "CERTIFICATE", cert)
	writePEM(ts, args[1], "PRIVATE KEY", keyBytes)
}

func writePEM(ts *testscript.TestScript, name, kind string, data []byte) {
	ts.Check(os.WriteFile(ts.MkAbs(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}
