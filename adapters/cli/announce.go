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

// announceListTimeout bounds the fetch of the host list before an edit.
const announceListTimeout = 2 * time.Second

// announceFlags are the flags that select which hosts are notified of an accepted
// edit.
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

// notifier notifies hosts of accepted edits.
type notifier struct {
	peers *peerrpc.Peers
	// announcer is nil if no host can be notified.
	announcer *tables.Announcer
	told      []domain.HostID
}

// notifier returns the notifier that the flags describe; in a dry run it notifies no
// host. It looks up the hosts before the edit, as the platform may fail after it.
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
	// Loads earlier changes to announce with the edit. Without them, a host that
	// has missed one does not apply the edit until its next poll.
	_ = editor.Recall(ctx)
	peers := peerrpc.NewPeers(config)
	return &notifier{peers: peers, announcer: tables.NewAnnouncer(peers, hosts.ids())}, nil
}

// key returns the key that the hosts share, or "" if it is not known.
func (f *announceFlags) key(access storeAccess) (string, error) {
	if f.keyFile != "" {
		text, err := strictyaml.ReadFile(f.keyFile)
		return oneLine(string(text)), err
	}
	if access.settings != nil {
		return string(access.settings.Peers.SharedKey), nil
	}
	if len(f.to) > 0 {
		return "", usageError("--announce-to needs --peer-key-file or --settings; name the file with the key that the hosts share")
	}
	return "", nil
}

// hosts returns the hosts named by flags, or else the host of the settings file and
// those of the platform's host list.
func (f *announceFlags) hosts(ctx context.Context, access storeAccess) staticMembers {
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
	var members staticMembers
	for id, address := range found {
		members = append(members, domain.Member{ID: id, PeerAddress: address, State: domain.MemberAlive})
	}
	slices.SortFunc(members, func(a, b domain.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// listed adds the hosts of the platform's host list. If the list cannot be fetched,
// only the hosts that are already known are notified.
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

// announceEdit notifies a few hosts of an accepted edit.
func (n *notifier) announceEdit(ctx context.Context, editor *tables.Editor, change domain.Change) {
	if n.announcer != nil {
		n.told = n.announcer.Tell(ctx, editor.Recent(change))
	}
}

// report prints which hosts were notified of the last edit.
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

// close closes the connections to the hosts.
func (n *notifier) close() {
	if n.peers != nil {
		n.peers.Close()
	}
}

// staticMembers are the hosts that may be notified, sorted by identifier. This
// program is not a member.
type staticMembers []domain.Member

// Self implements ports.Membership.
func (staticMembers) Self() domain.Member { return domain.Member{} }

// Members implements ports.Membership.
func (m staticMembers) Members() []domain.Member { return m }

func (m staticMembers) ids() []domain.HostID {
	ids := make([]domain.HostID, len(m))
	for i, member := range m {
		ids[i] = member.ID
	}
	return ids
}
