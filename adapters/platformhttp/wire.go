package platformhttp

import "encoding/json"

// Paths of the etcd v3 gateway.
const (
	pathRange = "/v3/kv/range"
	pathTxn   = "/v3/kv/txn"
)

// Error codes and messages, compare values and content types of the etcd v3 gateway
// and the object store.
const (
	codeInvalidArgument   = 3
	codeResourceExhausted = 8
	codeUnavailable       = 14
	// messageNoLeader is the error of etcd for a request that it did not start.
	messageNoLeader        = "etcdserver: no leader"
	messageTooManyRequests = "etcdserver: too many requests"
	compareTargetMod       = "MOD"
	compareEqual           = "EQUAL"
	jsonContentType        = "application/json"
	binaryContentType      = "application/octet-stream"
)

// header is etcdserverpb.ResponseHeader.
type header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// rangeRequest is etcdserverpb.RangeRequest. Byte fields are base64 in JSON.
type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// keyValue is mvccpb.KeyValue.
type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

// rangeResponse is etcdserverpb.RangeResponse.
type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// compare is etcdserverpb.Compare on the revision that last wrote a key.
type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// putRequest is etcdserverpb.PutRequest.
type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

// deleteRequest is etcdserverpb.DeleteRangeRequest for a single key.
type deleteRequest struct {
	Key []byte `json:"key"`
}

// requestOp is etcdserverpb.RequestOp. Exactly one of its fields is set.
type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

// txnRequest is etcdserverpb.TxnRequest without failure operations.
type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
}

// txnResponse is etcdserverpb.TxnResponse.
type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// gatewayStatus is the body of an error response of the gateway.
type gatewayStatus struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func decodeGatewayStatus(body []byte) gatewayStatus {
	var s gatewayStatus
	if json.Unmarshal(body, &s) != nil {
		const maxMessageBytes = 200
		s.Message = string(body[:min(len(body), maxMessageBytes)])
	}
	return s
}

// targetGroup is one entry of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Labels of the host list and values of the state label.
const (
	labelName          = "name"
	labelZone          = "zone"
	labelState         = "state"
	labelPeerAddress   = "peer_address"
	labelCallerAddress = "caller_address"
	stateLive          = "live"
	stateLeaving       = "leaving"
)
