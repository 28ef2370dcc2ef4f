package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/dispatch"
	"greengagespoke/platform/wire"
	"greengagespoke/platformentry"
)

// explainFlags are the flags of the command that asks where a request would go.
type explainFlags struct {
	address, host, path, keyFile, tokens string
	asJSON                               bool
}

// explainCommand returns the command that asks a host where a request would go now.
func explainCommand() *command {
	flags := new(explainFlags)
	return &command{
		name:    "explain",
		summary: "ask a host on the users' platform where a request would go now, and why",
		help: `The address is that of the host's metrics port (serve --metrics-port). Nothing is sent
to an upstream, charged or counted. The key is read from a file, sent as callers send it,
and shown nowhere. Costs leave out the random tie-break and what engines hold of a prompt.`,
		define: func(sc *flaggy.Subcommand) {
			sc.String(&flags.address, "", "address", "address of the host's metrics port, HOST:PORT")
			sc.String(&flags.host, "", "host", "host name of the request")
			sc.String(&flags.path, "", "path", "path of the request")
			sc.String(&flags.keyFile, "", "key-file", "file with the customer's key")
			sc.String(&flags.tokens, "", "tokens", "tokens of the prompt and of the answer, IN,OUT")
			sc.Bool(&flags.asJSON, "", "json", "print JSON")
		},
		run: flags.run,
	}
}

func (f *explainFlags) run(ctx context.Context, streams Streams) error {
	if err := checkAddress("--address", f.address); err != nil {
		return err
	}
	if f.host == "" || !strings.HasPrefix(f.path, "/") {
		return usageError("--host names the host of the request, --path its path, which begins with /")
	}
	header, err := f.header()
	if err != nil {
		return err
	}
	query := url.Values{platformentry.ParamHost: {f.host}, platformentry.ParamPath: {f.path}}
	explained := new(dispatch.Explanation)
	if err := fetchPage(ctx, f.address, platformentry.PathExplain+"?"+query.Encode(), header, explained); err != nil {
		return err
	}
	if explained.ConfigVersion == 0 && explained.Refused == "" {
		// Such hosts serve their counters at all paths.
		return eris.Errorf("the answer of %s explains nothing; it may be a host of an earlier release", f.address)
	}
	if f.asJSON {
		return json.NewEncoder(streams.Out).Encode(explained)
	}
	printExplanation(streams.Out, explained)
	return nil
}

// header returns the headers of the request. Errors do not tell what is in the file of the key.
func (f *explainFlags) header() (http.Header, error) {
	header := make(http.Header)
	if f.tokens != "" {
		header.Set(wire.HeaderTokenCount, f.tokens)
		if prompt, output := wire.Tokens(header); prompt+output == 0 {
			return nil, usageError("--tokens: %q is not IN,OUT, such as 3000,200", f.tokens)
		}
	}
	if f.keyFile == "" {
		return header, nil
	}
	data, err := strictyaml.ReadFile(f.keyFile)
	if err != nil {
		return nil, err
	}
	words := strings.Fields(string(data))
	if len(words) != 1 || strings.ContainsFunc(words[0], func(r rune) bool { return r <= ' ' || r > '~' }) {
		return nil, usageError("--key-file: %s must hold one key and nothing else", f.keyFile)
	}
	header.Set(wire.HeaderAuthorization, wire.BearerScheme+" "+words[0])
	return header, nil
}

func printExplanation(out io.Writer, e *dispatch.Explanation) {
	printf(out, "configuration: version %d\n", e.ConfigVersion)
	if e.Refused != "" {
		printf(out, "refused: %s\n", e.Refused)
	}
	if e.Route == "" {
		return
	}
	printf(out, "route: %q%s\n", e.Route, choose(e.Public, ", public", ""))
	printf(out, "customer: %s\n", choose(e.Customer != "", fmt.Sprintf("%q", e.Customer), "none"))
	if e.Quota != nil {
		printf(out, "quota: costs %.0f; rate %.0f, burst %.0f %s, %.0f held; granting hosts %s; granted here %s\n", e.Cost,
			e.Quota.Rate, e.Quota.Burst, e.Quota.Unit, e.Quota.Held, hostsOf(e.Quota.Parts), grantsOf(e.Quota.Grant))
	}
	for _, s := range e.Services {
		printf(out, "\nservice %s: weight %d, level %d of %d%s%s\n", s.Service, s.Weight, s.Level, s.Levels,
			choose(s.Tokens > 0, fmt.Sprintf(", %d tokens must be free", s.Tokens), ""), choose(s.CutOff, ", cut off: other hosts serve it", ""))
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		printf(w, "UPSTREAM\tZONE\tROLE\tCOST MS\tLATENCY\tACTIVE\tFAILURES\tOTHER ZONE\tNEW CONNECTION\tNOTE\n")
		for i := range s.Upstreams {
			u := &s.Upstreams[i]
			printf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", u.ID, u.Zone, u.Role, u.CostMS, u.LatencyMS, u.ActiveCallsMS, u.FailuresMS,
				u.OtherZoneMS, u.NewConnectionMS, choose(u.Out != "", "out: "+u.Out, choose(u.RateLimited, "rate limited", "")))
		}
		_ = w.Flush()
	}
}
