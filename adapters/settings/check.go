package settings

import (
	"fmt"

	"greengagespoke/adapters/strictyaml"
)

// Smallest lengths of secrets, in bytes.
const (
	minSharedKeyBytes = 16
	minTokenKeyBytes  = 32
)

// maxTokenKeys is the number of keys that may be active at a time.
const maxTokenKeys = 2

// maxVerbosity is the largest klog level.
const maxVerbosity = 10

// checker collects the first fault of a settings file.
type checker struct {
	doc   *strictyaml.Document
	fault *Error
}

// check returns the first fault of decoded settings, or nil.
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

// require records a fault at the key where ok is false and there is none yet.
func (c *checker) require(ok bool, key, problem, remedy string) {
	if !ok && c.fault == nil {
		c.fault = c.doc.ErrorAt(key, problem, remedy)
	}
}

// present records a fault where a required text is empty.
func (c *checker) present(value, key, remedy string) {
	c.require(value != "", key, "the value is missing", remedy)
}

func (c *checker) host(h Host) {
	c.present(string(h.ID), "host.id", "give the host a name that is unique in the deployment")
	c.present(string(h.AvailabilityZone), "host.availability_zone", "name the availability zone, such as dakar-1")
}

func (c *checker) peers(s *Settings) {
	const key = "peers.shared_key"
	c.present(string(s.Peers.SharedKey), key, "set the same key on all hosts")
	c.require(len(s.Peers.SharedKey) >= minSharedKeyBytes, key,
		fmt.Sprintf("the key has fewer than %d bytes", minSharedKeyBytes), "use a longer random text")
	tls := s.Listen.Peers.TLS != nil
	c.require(!tls || s.Peers.CA != "", "peers.ca", "listen.peers.tls is set without peers.ca",
		"name the PEM file of the certificates that sign peers' certificates")
	c.require(tls || s.Peers.CA == "", "peers.ca", "peers.ca is set without listen.peers.tls",
		"set listen.peers.tls or remove peers.ca")
}

func (c *checker) auth(a Auth) {
	c.present(string(a.Mode), "auth.mode", "write none or token")
	switch a.Mode {
	case AuthNone:
		const remedy = "set auth.mode to token or remove the key"
		c.require(len(a.Keys) == 0, "auth.keys", "auth.mode none uses no keys", remedy)
		c.require(a.Issuer == "", "auth.issuer", "auth.mode none uses no issuer", remedy)
		c.require(a.Audience == "", "auth.audience", "auth.mode none uses no audience", remedy)
	case AuthToken:
		c.tokenKeys(a.Keys)
		c.present(a.Issuer, "auth.issuer", `name the "iss" claim that tokens carry`)
	default:
		c.require(false, "auth.mode", fmt.Sprintf("%q is not a mode", string(a.Mode)), "write none or token")
	}
}

func (c *checker) tokenKeys(keys []AuthKey) {
	c.require(len(keys) > 0, "auth.keys", "auth.mode token has no key", "add a key with id and secret")
	c.require(len(keys) <= maxTokenKeys, "auth.keys",
		fmt.Sprintf("%d keys are active", len(keys)), fmt.Sprintf("keep at most %d", maxTokenKeys))
	seen := make(map[string]bool)
	for i, k := range keys {
		at := fmt.Sprintf("auth.keys[%d]", i)
		c.present(k.ID, at+".id", `name the "kid" header of tokens signed with the key`)
		c.require(!seen[k.ID], at+".id", fmt.Sprintf("the id %q is used twice", k.ID), "give each key its own id")
		seen[k.ID] = true
		c.present(string(k.Secret), at+".secret", "set a random text")
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
