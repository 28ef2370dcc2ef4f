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

// certLife is how long a script's certificate is valid.
const certLife = time.Hour

// makeCert writes a self-signed certificate for the scripts' addresses, which is
// its own authority, and its key.
func makeCert(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: make-cert CERT KEY")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "script"},
		NotBefore:             time.Now().Add(-certLife),
		NotAfter:              time.Now().Add(certLife),
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
