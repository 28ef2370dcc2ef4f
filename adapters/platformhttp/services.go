package platformhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"greengagespoke/domain"
	"greengagespoke/ports"
)

// tableClient implements ports.TableService.
type tableClient struct{ c *Client }

// Get implements ports.TableService.
func (t tableClient) Get(ctx context.Context, key string) (ports.Row, bool, error) {
	rows, err := t.read(ctx, rangeRequest{Key: []byte(key)})
	if err != nil || len(rows) == 0 {
		return ports.Row{}, false, err
	}
	return rows[0], true, nil
}

// Scan implements ports.TableService.
func (t tableClient) Scan(ctx context.Context, from, to string, limit int) ([]ports.Row, error) {
	return t.read(ctx, rangeRequest{Key: []byte(from), RangeEnd: []byte(to), Limit: int64(limit)})
}

func (t tableClient) read(ctx context.Context, req rangeRequest) ([]ports.Row, error) {
	var resp rangeResponse
	if err := t.post(ctx, pathRange, req, &resp, false); err != nil {
		return nil, readError(err)
	}
	rows := make([]ports.Row, len(resp.Kvs))
	for i, kv := range resp.Kvs {
		rows[i] = ports.Row{Key: string(kv.Key), Value: kv.Value, Version: kv.ModRevision}
	}
	return rows, nil
}

// Commit implements ports.TableService.
func (t tableClient) Commit(ctx context.Context, txn ports.Txn) (ports.TxnResult, error) {
	req := txnRequest{}
	for _, cond := range txn.If {
		req.Compare = append(req.Compare, compare{Key: []byte(cond.Key), Target: compareTargetMod, Result: compareEqual, ModRevision: cond.Version})
	}
	for _, write := range txn.Then {
		op := requestOp{Put: &putRequest{Key: []byte(write.Key), Value: write.Value}}
		if write.Delete {
			op = requestOp{Delete: &deleteRequest{Key: []byte(write.Key)}}
		}
		req.Success = append(req.Success, op)
	}
	var resp txnResponse
	if err := t.post(ctx, pathTxn, req, &resp, true); err != nil {
		return ports.TxnResult{}, err
	}
	return ports.TxnResult{Applied: resp.Succeeded, Version: resp.Header.Revision}, nil
}

func (t tableClient) post(ctx context.Context, path string, req, resp any, write bool) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	a, err := t.c.do(ctx, http.MethodPost, strings.TrimSuffix(t.c.cfg.TablesURL, "/")+path, jsonContentType, body)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return statusError(a, write)
	}
	if err := json.Unmarshal(a.body, resp); err != nil {
		return fmt.Errorf("%w: unreadable answer: %w", ports.ErrStoreUnknown, err)
	}
	return nil
}

// objectClient implements ports.ObjectStore.
type objectClient struct{ c *Client }

func (o objectClient) address(key string) string {
	path := &url.URL{Path: "/" + o.c.cfg.Bucket + "/" + key}
	return strings.TrimSuffix(o.c.cfg.ObjectsURL, "/") + path.EscapedPath()
}

// Put implements ports.ObjectStore.
func (o objectClient) Put(ctx context.Context, key string, value []byte) error {
	a, err := o.c.do(ctx, http.MethodPut, o.address(key), binaryContentType, value)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return statusError(a, true)
	}
	return nil
}

// Get implements ports.ObjectStore.
func (o objectClient) Get(ctx context.Context, key string) ([]byte, error) {
	a, err := o.c.do(ctx, http.MethodGet, o.address(key), "", nil)
	if err != nil {
		return nil, readError(err)
	}
	switch a.status {
	case http.StatusOK:
		return a.body, nil
	case http.StatusNotFound:
		return nil, ports.ErrNoObject
	default:
		return nil, statusError(a, false)
	}
}

// hostClient implements ports.HostList.
type hostClient struct{ c *Client }

// hostCache holds the last host list and its entity tag.
type hostCache struct {
	mu   sync.Mutex
	etag string
	list []ports.ListedHost
}

// Hosts implements ports.HostList. It uses conditional requests (RFC 9110), so that
// the service does not send an unchanged list again.
func (h hostClient) Hosts(ctx context.Context) ([]ports.ListedHost, error) {
	etag, list := h.c.hosts.load()
	header := make(http.Header)
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	a, err := h.c.doWithHeader(ctx, http.MethodGet, h.c.cfg.HostsURL, header, nil)
	if err != nil {
		return nil, readError(err)
	}
	if a.status == http.StatusNotModified && etag != "" {
		return list, nil
	}
	if a.status != http.StatusOK {
		return nil, statusError(a, false)
	}
	var groups []targetGroup
	if err := json.Unmarshal(a.body, &groups); err != nil {
		return nil, fmt.Errorf("%w: unreadable host list: %w", ports.ErrStoreDown, err)
	}
	list = decodeHosts(groups)
	h.c.hosts.store(a.etag, list)
	return list, nil
}

func (c *hostCache) load() (string, []ports.ListedHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.list
}

func (c *hostCache) store(etag string, list []ports.ListedHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.list = etag, list
}

// decodeHosts returns one host per target. The name of a target without a name label
// is its address.
func decodeHosts(groups []targetGroup) []ports.ListedHost {
	var hosts []ports.ListedHost
	for _, group := range groups {
		for _, target := range group.Targets {
			name := group.Labels[labelName]
			if name == "" {
				name = target
			}
			hosts = append(hosts, ports.ListedHost{
				Name:          name,
				Zone:          domain.Zone(group.Labels[labelZone]),
				Leaving:       group.Labels[labelState] == stateLeaving,
				PeerAddress:   group.Labels[labelPeerAddress],
				CallerAddress: group.Labels[labelCallerAddress],
			})
		}
	}
	return hosts
}
