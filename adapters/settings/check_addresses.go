package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"greengagespoke/adapters/strictyaml"
)

const addressRemedy = "write an IP number and a port, such as 10.0.0.5:7000 or [fd00::5]:7000"

func (c *checker) listener(key string, l Listener) {
	c.requireNonEmpty(l.Address, key+".address", addressRemedy)
	listen, err := netip.ParseAddrPort(l.Address)
	c.require(err == nil && listen.Port() != 0, key+".address",
		fmt.Sprintf("%q is not an address", l.Address), addressRemedy)
	if l.Advertise == "" {
		c.require(!listen.Addr().IsUnspecified(), key+".advertise",
			fmt.Sprintf("%s cannot be reached by others", l.Address),
			"set advertise to the IP number and port that others use")
	} else {
		c.advertise(key+".advertise", l.Advertise)
	}
	if l.TLS != nil {
		c.requireNonEmpty(l.TLS.Cert, key+".tls.cert", "name the PEM file of the certificate that belongs to tls.key")
		c.requireNonEmpty(l.TLS.Key, key+".tls.key", "name the PEM file of the private key that belongs to tls.cert")
	}
}

func (c *checker) advertise(key, address string) {
	addr, err := netip.ParseAddrPort(address)
	c.require(err == nil, key, fmt.Sprintf("%q is not an address", address), addressRemedy)
	c.require(!addr.Addr().IsUnspecified() && addr.Port() != 0, key,
		fmt.Sprintf("%q cannot be reached by others", address), addressRemedy)
}

func (c *checker) listenersDiffer(l Listen) {
	c.require(l.Callers.Address != l.Peers.Address, "listen.peers.address",
		fmt.Sprintf("%s is also listen.callers.address", l.Peers.Address), "use another port")
}

func (c *checker) platform(p Platform) {
	c.url("platform.tables", p.Tables)
	c.url("platform.objects", p.Objects)
	c.url("platform.host_list", p.HostList)
	c.require(p.Bucket != "" && !strings.Contains(p.Bucket, "/"), "platform.bucket",
		fmt.Sprintf("%q is not a bucket name", p.Bucket), "write a name without slashes")
	c.requirePositive(p.Timeout, "platform.timeout")
}

const urlRemedy = "write a URL with an IP number and a port, such as http://10.0.0.9:7300"

// url records an error if the value is not a service URL.
func (c *checker) url(key, text string) {
	c.requireNonEmpty(text, key, urlRemedy)
	c.require(IsServiceURL(text), key, fmt.Sprintf("%q is not the URL of a service", text), urlRemedy)
}

// IsServiceURL reports whether text is an http or https URL with an IP address and a
// port, and without credentials, query or fragment.
func IsServiceURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return false
	}
	addr, err := netip.ParseAddrPort(u.Host)
	return err == nil && addr.Port() != 0
}

// checkFiles loads the certificate files that the settings name.
func checkFiles(doc *strictyaml.Document, s *Settings) error {
	if err := checkPair(doc, "listen.callers.tls", s.Listen.Callers.TLS); err != nil {
		return err
	}
	if err := checkPair(doc, "listen.peers.tls", s.Listen.Peers.TLS); err != nil {
		return err
	}
	if s.Peers.CA == "" {
		return nil
	}
	pem, err := os.ReadFile(s.Peers.CA)
	if err != nil {
		return doc.ErrorAt("peers.ca", err.Error(), "check the path and the permissions")
	}
	if !x509.NewCertPool().AppendCertsFromPEM(pem) {
		return doc.ErrorAt("peers.ca", s.Peers.CA+" holds no certificate", "name a PEM file of certificates")
	}
	return nil
}

func checkPair(doc *strictyaml.Document, key string, pair *TLS) error {
	if pair == nil {
		return nil
	}
	if _, err := tls.LoadX509KeyPair(pair.Cert, pair.Key); err != nil {
		return doc.ErrorAt(key, err.Error(), "name the PEM files of a certificate and its private key")
	}
	return nil
}
