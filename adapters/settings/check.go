package settings

import (
	"fmt"

	"greengagespoke/adapters/strictyaml"
)

// Minimum lengths of secrets, in bytes.
const (
	minSharedKeyBytes = 16
	minTokenKeyBytes  = 32
)

// maxActiveTokenKeys bounds the number of token keys that are active at the same
// time: the current one and, during a rotation, the next one.
const maxActiveTokenKeys = 2

// maxVerbosity is the highest klog verbosity level.
const maxVerbosity = 10

// checker keeps the first error found in a settings file.
type checker struct {
	doc   *strictyaml.Document
	fault *Error
}

// check validates decoded settings and returns the first error, or nil.
func check(doc *strictyaml.Document, s *Settings) *Error {
	c := &checker{doc: doc}
	c.host(s.Host)
	c.listener("listen.callers", s.Listen.Callers)
	c.listener("listen.peers", s.Listen.Peers)
	c.listenersDiffer(s.Listen)
	c.peers(s)
	c.auth(s.Auth)
	c.platform(s.Platform)
	c.timings(s.Timings)
	c.limits(s.Limits)
	c.log(s.Log)
	return c.fault
}

// require records an error at the key if ok is false and no error has been recorded.
func (c *checker) require(ok bool, key, problem, remedy string) {
	if !ok && c.fault == nil {
		c.fault = c.doc.ErrorAt(key, problem, remedy)
	}
}

// requireNonEmpty records an error if a required string is empty.
func (c *checker) requireNonEmpty(value, key, remedy string) {
	c.require(value != "", key, "the value is missing", remedy)
}

func (c *checker) host(h Host) {
	c.requireNonEmpty(string(h.ID), "host.id", "give the host a name that is unique in the deployment")
	c.requireNonEmpty(string(h.AvailabilityZone), "host.availability_zone", "name the availability zone, such as dakar-1")
}

func (c *checker) peers(s *Settings) {
	const key = "peers.shared_key"
	c.requireNonEmpty(string(s.Peers.SharedKey), key, "set the same key on all hosts")
	c.require(len(s.Peers.SharedKey) >= minSharedKeyBytes, key,
		fmt.Sprintf("the key has fewer than %d bytes", minSharedKeyBytes), "use a longer random text")
	tls := s.Listen.Peers.TLS != nil
	c.require(!tls || s.Peers.CA != "", "peers.ca", "listen.peers.tls is set without peers.ca",
		"name the PEM file of the certificates that sign peers' certificates")
	c.require(tls || s.Peers.CA == "", "peers.ca", "peers.ca is set without listen.peers.tls",
		"set listen.peers.tls or remove peers.ca")
}

func (c *checker) auth(a Auth) {
	c.requireNonEmpty(string(a.Mode), "auth.mode", "write none or token")
	switch a.Mode {
	case AuthNone:
		const remedy = "set auth.mode to token or remove the key"
		c.require(len(a.Keys) == 0, "auth.keys", "auth.mode none uses no keys", remedy)
		c.require(a.Issuer == "", "auth.issuer", "auth.mode none uses no issuer", remedy)
		c.require(a.Audience == "", "auth.audience", "auth.mode none uses no audience", remedy)
	case AuthToken:
		c.tokenKeys(a.Keys)
		c.requireNonEmpty(a.Issuer, "auth.issuer", `name the "iss" claim that tokens carry`)
	default:
		c.require(false, "auth.mode", fmt.Sprintf("%q is not a mode", string(a.Mode)), "write none or token")
	}
}

func (c *checker) tokenKeys(keys []AuthKey) {
	c.require(len(keys) > 0, "auth.keys", "auth.mode token has no key", "add a key with id and secret")
	c.require(len(keys) <= maxActiveTokenKeys, "auth.keys",
		fmt.Sprintf("%d keys are active", len(keys)), fmt.Sprintf("keep at most %d", maxActiveTokenKeys))
	seen := make(map[string]bool)
	for i, k := range keys {
		at := fmt.Sprintf("auth.keys[%d]", i)
		c.requireNonEmpty(k.ID, at+".id", `name the "kid" header of tokens signed with the key`)
		c.require(!seen[k.ID], at+".id", fmt.Sprintf("the id %q is used twice", k.ID), "give each key its own id")
		seen[k.ID] = true
		c.requireNonEmpty(string(k.Secret), at+".secret", "set a random text")
		c.require(len(k.Secret) >= minTokenKeyBytes, at+".secret",
			fmt.Sprintf("the secret has fewer than %d bytes", minTokenKeyBytes), "use a longer random text")
	}
}

func (c *checker) limits(l Limits) {
	c.require(l.MaxBodyBytes > 0, "limits.max_body_bytes", "the limit is not above 0", "write a number of bytes")
	const remedy = "write what the platform allows to all hosts together"
	c.require(l.StoreWritesPerSecond > 0, "limits.store_writes_per_second", "the limit is not above 0", remedy)
	c.require(l.StoreReadsPerSecond > 0, "limits.store_reads_per_second", "the limit is not above 0", remedy)
}

func (c *checker) log(l Log) {
	c.require(l.Verbosity >= 0 && l.Verbosity <= maxVerbosity, "log.verbosity",
		fmt.Sprintf("%d is not a level", l.Verbosity), fmt.Sprintf("write a number from 0 to %d", maxVerbosity))
}
