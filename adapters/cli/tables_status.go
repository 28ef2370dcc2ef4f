package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"greengagespoke/domain"
)

// statusFlags are the flags of "tables status".
type statusFlags struct {
	fleet  fleet
	asJSON bool
}

// statusReport is the output of "tables status".
type statusReport struct {
	// Head is the last accepted revision, or 0 if the table service did not respond.
	Head  domain.Revision `json:"head,omitempty"`
	Hosts []hostState     `json:"hosts"`
	Zones []zoneState     `json:"zones"`
}

// zoneState summarizes one availability zone.
type zoneState struct {
	Zone domain.Zone `json:"zone"`
	// InForce is the lowest revision that the responding hosts of the zone apply.
	InForce  domain.Revision `json:"in_force"`
	Answered int             `json:"answered"`
	Hosts    int             `json:"hosts"`
}

func tablesStatusCommand() *command {
	flags := new(statusFlags)
	return &command{
		name:    "status",
		summary: "print the revision in force on each host and availability zone",
		help: `Every host is asked itself. The hosts are those that a --host sees and those of
the host list. For a host that does not answer, the last revision that its peers
know of is printed with a question mark.

` + hostFlagsHelp + "\n\n" + storeFlagsHelp,
		define: func(sc *flaggy.Subcommand) {
			flags.fleet.hosts.define(sc)
			flags.fleet.store.define(sc)
			sc.Bool(&flags.asJSON, "", "json", "print JSON")
		},
		run: flags.run,
	}
}

func (f *statusFlags) run(ctx context.Context, streams Streams) error {
	hosts, err := f.fleet.states(ctx)
	if err != nil {
		return err
	}
	report := statusReport{Head: f.head(ctx), Hosts: hosts, Zones: zonesOf(hosts)}
	if f.asJSON {
		return json.NewEncoder(streams.Out).Encode(report)
	}
	report.print(streams)
	return nil
}

// head returns the last accepted revision, or 0 if the table service is not named or
// does not respond.
func (f *statusFlags) head(ctx context.Context) domain.Revision {
	editor, err := f.fleet.store.editor()
	if err != nil {
		return 0
	}
	snapshot, err := editor.Snapshot(ctx)
	if err != nil {
		return 0
	}
	return snapshot.Revision
}

func zonesOf(hosts []hostState) []zoneState {
	zones := make(map[domain.Zone]*zoneState)
	for _, h := range hosts {
		z, ok := zones[h.Zone]
		if !ok {
			z = &zoneState{Zone: h.Zone}
			zones[h.Zone] = z
		}
		z.Hosts++
		if !h.Answered {
			continue
		}
		if z.Answered == 0 || h.Revision < z.InForce {
			z.InForce = h.Revision
		}
		z.Answered++
	}
	out := make([]zoneState, 0, len(zones))
	for _, z := range zones {
		out = append(out, *z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Zone < out[j].Zone })
	return out
}

func (r statusReport) print(streams Streams) {
	if r.Head > 0 {
		printf(streams.Out, "last accepted revision: %d\n", r.Head)
	} else {
		printf(streams.Out, "last accepted revision: unknown, as the table service was not named or did not answer\n")
	}
	w := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	printf(w, "HOST\tZONE\tSTATE\tREVISION\n")
	for _, h := range r.Hosts {
		mark := ""
		if !h.Answered {
			mark = "?"
		}
		printf(w, "%s\t%s\t%s\t%d%s\n", h.Host, h.Zone, h.State, h.Revision, mark)
	}
	_ = w.Flush()
	for _, z := range r.Zones {
		printf(streams.Out, "availability zone %s: %s\n", z.Zone, z.summary())
	}
	for _, h := range r.Hosts {
		if len(h.Unreadable) > 0 {
			printf(streams.Out, "host %s keeps the last good value of: %s\n", h.Host, strings.Join(h.Unreadable, ", "))
		}
	}
}

func (z zoneState) summary() string {
	if z.Answered == 0 {
		return fmt.Sprintf("none of %d hosts answered", z.Hosts)
	}
	return fmt.Sprintf("revision %d in force on all %d of %d hosts that answered", z.InForce, z.Answered, z.Hosts)
}
