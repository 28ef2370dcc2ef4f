package cli

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/gateclient"
	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
)

// tokenVariable is the environment variable that holds a caller's token.
const tokenVariable = "GREENGAGESPOKE_TOKEN"

// hostFlags are the flags that select the entry hosts to call and the caller's
// identity.
type hostFlags struct {
	hosts     []string
	tokenFile string
	caller    string
	zone      string
	ca        string
}

const hostFlagsHelp = `The token is read from --token-file or from the environment variable
` + tokenVariable + `. Hosts without authentication take the name in --caller.`

func (f *hostFlags) define(sc *flaggy.Subcommand) {
	sc.StringSlice(&f.hosts, "", "host", "entry host as IP:PORT or https://IP:PORT; repeatable")
	sc.String(&f.tokenFile, "", "token-file", "file with the caller's token")
	sc.String(&f.caller, "", "caller", "name of the caller on hosts without authentication")
	sc.String(&f.zone, "", "zone", "availability zone to be served from")
	sc.String(&f.ca, "", "ca", "PEM file of the certificates that sign the hosts' certificates")
}

// client returns a client configured by the flags.
func (f *hostFlags) client() (*gateclient.Client, error) {
	if len(f.hosts) == 0 {
		return nil, usageError("--host is missing; name an entry host as IP:PORT")
	}
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	httpClient, err := f.httpClient()
	if err != nil {
		return nil, err
	}
	return gateclient.New(gateclient.Config{
		Hosts:  f.hosts,
		Token:  token,
		Caller: domain.CallerID(f.caller),
		Zone:   domain.Zone(f.zone),
		HTTP:   httpClient,
	}), nil
}

func (f *hostFlags) token() (string, error) {
	if f.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	data, err := strictyaml.ReadFile(f.tokenFile)
	if err != nil {
		return "", err
	}
	return oneLine(string(data)), nil
}

// httpClient returns a client that trusts the certificates that the flag names, or
// nil if the flag is not set.
func (f *hostFlags) httpClient() (*http.Client, error) {
	if f.ca == "" {
		return nil, nil
	}
	pem, err := strictyaml.ReadFile(f.ca)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, usageError("--ca: %s holds no certificate; name a PEM file of certificates", f.ca)
	}
	transport := httplimit.Transport(http.DefaultTransport.(*http.Transport).Clone())
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return &http.Client{Transport: transport}, nil
}

// callerFault adds the exit code to the error of a call to an entry host.
func callerFault(err error) error {
	if err == nil {
		return nil
	}
	var unreachable *gateclient.UnreachableError
	if refusal, ok := domain.AsRefusal(err); ok && refusal.RetryAfter > 0 {
		err = fmt.Errorf("%w; retry after %s", err, refusal.RetryAfter)
	}
	switch {
	case gateclient.IsUnknown(err):
		return &Fault{Code: ExitUnknown, Err: err}
	case errors.As(err, &unreachable):
		return &Fault{Code: ExitUnreachable, Err: err}
	default:
		return err
	}
}

// withKnownScheme returns the URL of a host's address with the scheme that hosts are
// known to use for callers.
func (f *hostFlags) withKnownScheme(access storeAccess, address string) string {
	named := len(f.hosts) > 0 && strings.HasPrefix(f.hosts[0], "https://")
	if named || access.callersTLS {
		return "https://" + address
	}
	return address
}
