package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"greengagespoke/domain"
	"greengagespoke/internal/httplimit"
	"greengagespoke/platformentry"
	"greengagespoke/quota"
)

const (
	// hostStatusTimeout bounds the wait for the status. A host that is overloaded answers late.
	hostStatusTimeout = 10 * time.Second
	// maxStatusBytes bounds the status: about ten times that of as many customers as it may have.
	maxStatusBytes = 2 << 20
)

// statusCommand returns the command that prints what a host on the users' platform believes.
func statusCommand() *command {
	address, asJSON := "", false
	return &command{
		name:    "status",
		summary: "print what a host on the users' platform believes",
		help: `The address is that of the host's metrics port (serve --metrics-port). Nothing is
changed at the host, and no key is shown. Sums of tokens are those of the last 5 to
10 seconds at this host, counts by level those since it started. Customers are those
in use at this host, the ones with the most refused tokens first.`,
		define: func(sc *flaggy.Subcommand) {
			sc.String(&address, "", "address", "address of the host's metrics port, HOST:PORT")
			sc.Bool(&asJSON, "", "json", "print JSON")
		},
		run: func(ctx context.Context, streams Streams) error {
			if err := checkAddress("--address", address); err != nil {
				return err
			}
			status, err := fetchStatus(ctx, address)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(streams.Out).Encode(status)
			}
			printStatus(streams.Out, status)
			return nil
		},
	}
}

func fetchStatus(ctx context.Context, address string) (*platformentry.Status, error) {
	status := new(platformentry.Status)
	err := fetchPage(ctx, address, platformentry.PathStatus, nil, status)
	if err == nil && status.Host == "" {
		// Hosts without a status serve their counters at all paths.
		err = eris.Errorf("the answer of %s is not a status; it may be a host of an earlier release", address)
	}
	return status, err
}

// fetchPage decodes what the metrics listener of a host answers at a path.
func fetchPage(ctx context.Context, address, path string, header http.Header, into any) error {
	ctx, cancel := context.WithTimeout(ctx, hostStatusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return err
	}
	maps.Copy(req.Header, header)
	transport := httplimit.Transport(http.DefaultTransport.(*http.Transport).Clone())
	// The headers may have a key, which neither a proxy nor another address may get.
	transport.Proxy = nil
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return &Fault{Code: ExitUnreachable, Err: eris.Wrapf(err, "no answer from %s; name the metrics port of a host", address)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered with status %d; name the metrics port of a host", address, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(into)
	return eris.Wrapf(err, "the answer of %s is not that of a metrics port", address)
}

func printStatus(out io.Writer, s *platformentry.Status) {
	printf(out, "host %s in availability zone %s: %s, %d requests in flight\n", s.Host, s.Zone, choose(s.Leaving, "leaving", "not leaving"), s.InFlight)
	printf(out, "configuration: version %d, %s\n", s.Config.Version, choose(s.Config.MayLackNewer, "may lack a newer one", "no newer one known"))
	printf(out, "members:")
	for _, state := range []domain.MemberState{domain.MemberAlive, domain.MemberSuspect, domain.MemberLeaving, domain.MemberDead} {
		printf(out, " %d %s", s.Members[state], state)
	}
	m := s.Memory
	printf(out, "\nmemory: %s held of %s; bodies %s, responses %s, messages %s, connections %s\n\n", kilobytes(m.Held),
		choose(m.Budget > 0, kilobytes(m.Budget), "no limit"), kilobytes(m.Bodies), kilobytes(m.Responses), kilobytes(m.Messages), kilobytes(m.Connections))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "LEVEL\tPLACES\tREFUSED\n")
	for _, l := range s.Levels {
		printf(w, "%d%s\t%d\t%d\n", l.Level, choose(l.AndFurther, "+", ""), l.Places, l.Refused)
	}
	_ = w.Flush()
	if len(s.Quotas.Customers) == 0 {
		printf(out, "\nno customer with a quota is in use at this host\n")
		return
	}
	printf(out, "\ntokens of customers in the last %.1f s\n", s.Quotas.RecentSeconds)
	printf(w, "CUSTOMER\tPRIORITY\tUNIT\tRATE\tBURST\tCHARGED\tGIVEN BACK\tOVER\tUNKNOWN\tHELD\tGRANTING HOSTS\tGRANTED HERE\n")
	for i := range s.Quotas.Customers {
		printCustomer(w, &s.Quotas.Customers[i])
	}
	_ = w.Flush()
	if s.Quotas.LeftOut > 0 {
		printf(out, "%d further customers left out\n", s.Quotas.LeftOut)
	}
}

func printCustomer(w io.Writer, c *quota.CustomerSnapshot) {
	priority := "-"
	if c.Priority != nil {
		priority = fmt.Sprint(*c.Priority)
	}
	// A name could otherwise begin a new column or line, or control the terminal.
	name := strings.Trim(fmt.Sprintf("%q", c.Name), `"`)
	printf(w, "%s%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%s\n", name, choose(c.InForce, "", " (not in force)"), priority, c.Unit,
		c.Rate, c.Burst, c.Recent.Charged, c.Recent.GivenBack, c.Recent.Over, c.Recent.Unknown, c.Held, hostsOf(c.Parts), grantsOf(c.Grant))
}

// hostsOf describes the granting host of each part.
func hostsOf(parts []quota.PartSnapshot) string {
	var texts []string
	for _, p := range parts {
		text := string(p.Host)
		switch {
		case !p.Known:
			text = "unknown"
		case p.Failed:
			text += " (does not grant)"
		case p.Tokens != nil:
			text += fmt.Sprintf(" (%.0f left)", *p.Tokens)
		}
		texts = append(texts, fmt.Sprintf("%d: %s", p.Part, text))
	}
	return strings.Join(texts, ", ")
}

// grantsOf describes the parts that the host grants.
func grantsOf(grants []quota.GrantSnapshot) string {
	if len(grants) == 0 {
		return "-"
	}
	var texts []string
	for _, g := range grants {
		texts = append(texts, fmt.Sprintf("%d: %.0f of %.0f left%s", g.Part, g.Tokens, g.Capacity, choose(g.Granting, "", ", not granting yet")))
	}
	return strings.Join(texts, ", ")
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func kilobytes(n int64) string { return fmt.Sprintf("%d KB", n>>10) }
