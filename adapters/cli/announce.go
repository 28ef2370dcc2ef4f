package cli

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/peerrpc"
	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/entry"
	"greengagespoke/tables"
)

// announceListTimeout bounds the reading of the host list before an edit.
const announceListTimeout = 2 * time.Second

// announceFlags say which hosts are told of an accepted edit.
type announceFlags struct {
	to      []string
	keyFile string
}

const announceFlagsHelp = `A few hosts are told of an accepted edit, so that it is in force soon also where the
table service fails right after. They are found and the call is signed by what
--settings says, or by --announce-to and --peer-key-file. Without these the hosts see
the edit at their next poll.`

func (f *announceFlags) define(sc *flaggy.Subcommand) {
	sc.StringSlice(&f.to, "", "announce-to", "host to tell of the edit, as IP:PORT of its listener for peers; repeatable")
	sc.String(&f.keyFile, "", "peer-key-file", "file with the key that the hosts share")
}

// notifier tells hosts of accepted edits.
type notifier struct {
	peers *peerrpc.Peers
	// announcer is nil where no host can be told.
	announcer *tables.Announcer
	told      []domain.HostID
}

// notifier returns what the flags say; in a dry run it tells nobody. The hosts are
// found before the edit, as the platform may fail after it.
func (f *announceFlags) notifier(ctx context.Context, store *storeFlags, editor *tables.Editor, edit editFlags) (*notifier, error) {
	if edit.dryRun {
		return &notifier{}, nil
	}
	access, err := store.access()
	if err != nil {
		return nil, err
	}
	key, err := f.key(access)
	if err != nil {
		return nil, err
	}
	hosts := f.hosts(ctx, access)
	if key == "" || len(hosts) == 0 {
		return &notifier{}, nil
	}
	config := peerrpc.PeersConfig{Membership: hosts, Key: key}
	if access.settings != nil {
		config.TLS = access.settings.Listen.Peers.TLS != nil
		if config.HTTP, err = entry.PeerHTTPClient(access.settings); err != nil {
			return nil, err
		}
	}
	// Without the changes before, hosts that miss one wait for their next poll.
	_ = editor.Recall(ctx)
	peers := peerrpc.NewPeers(config)
	return &notifier{peers: peers, announcer: tables.NewAnnouncer(peers, hosts.ids())}, nil
}

// key returns the key that the hosts share, or an empty text where it is not
// known.
func (f *announceFlags) key(access storeAccess) (string, error) {
	if f.keyFile != "" {
		text, err := strictyaml.ReadFile(f.keyFile)
		return oneLine(string(text)), err
	}
	if access.settings != nil {
		return string(access.settings.Peers.SharedKey), nil
	}
	if len(f.to) > 0 {
		return "", usage("--announce-to needs --peer-key-file or --settings; name the file with the key that the hosts share")
	}
	return "", nil
}

// hosts returns the named hosts, or that of the settings file and those of the
// platform's host list.
func (f *announceFlags) hosts(ctx context.Context, access storeAccess) fixedMembers {
	found := make(map[domain.HostID]string)
	for _, address := range f.to {
		found[domain.HostID(address)] = address
	}
	if len(f.to) == 0 {
		if s := access.settings; s != nil {
			found[s.Host.ID] = s.Listen.Peers.Advertise
		}
		f.listed(ctx, access, found)
	}
	var members fixedMembers
	for id, address := range found {
		members = append(members, domain.Member{ID: id, PeerAddress: address, State: domain.MemberAlive})
	}
	slices.SortFunc(members, func(a, b domain.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// listed adds the hosts of the platform's host list. Where it gives no answer,
// those that are known already must do.
func (f *announceFlags) listed(ctx context.Context, access storeAccess, found map[domain.HostID]string) {
	if access.config.HostsURL == "" {
		return
	}
	client, err := access.client()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, announceListTimeout)
	defer cancel()
	hosts, err := client.Hosts().Hosts(ctx)
	if err != nil {
		return
	}
	for _, h := range hosts {
		if h.PeerAddress != "" && !h.Leaving {
			found[domain.HostID(h.Name)] = h.PeerAddress
		}
	}
}

// accepted tells a few hosts of an edit.
func (n *notifier) accepted(ctx context.Context, editor *tables.Editor, change domain.Change) {
	if n.announcer != nil {
		n.told = n.announcer.Tell(ctx, editor.Recent(change))
	}
}

// report says which hosts were told of the last edit.
func (n *notifier) report(streams Streams) {
	if len(n.told) == 0 {
		printf(streams.Out, "no host was told; the hosts see it at their next poll\n")
		return
	}
	names := make([]string, len(n.told))
	for i, host := range n.told {
		names[i] = string(host)
	}
	printf(streams.Out, "told %s\n", strings.Join(names, ", "))
}

// close closes the connections to hosts.
func (n *notifier) close() {
	if n.peers != nil {
		n.peers.Close()
	}
}

// fixedMembers are the hosts that may be told, sorted by identifier. The program
// itself is none of them.
type fixedMembers []domain.Member

// Self implements ports.Membership.
func (fixedMembers) Self() domain.Member { return domain.Member{} }

// Members implements ports.Membership.
func (m fixedMembers) Members() []domain.Member { return m }

func (m fixedMembers) ids() []domain.HostID {
	ids := make([]domain.HostID, len(m))
	for i, member := range m {
		ids[i] = member.ID
	}
	return ids
}
