package operator

import (
	"time"

	"zinniamast/membership"
	"zinniamast/rollout"
)

// Status is one node's view of the fleet.
type Status struct {
	// Node, FailureDomain and Now belong to the node that answers.
	Node          string    `json:"node"`
	FailureDomain string    `json:"failure_domain"`
	Now           time.Time `json:"now"`
	// Isolated means that the node suspects a member and has no other node that
	// could confirm the suspicion.
	Isolated bool `json:"isolated"`
	// ConfigCurrent means that the node has recently confirmed that its
	// configuration version is the newest.
	ConfigCurrent bool                      `json:"config_current"`
	Members       []Member                  `json:"members"`
	Domains       []membership.DomainStatus `json:"domains"`
	Upstreams     []Upstream                `json:"upstreams"`
	Versions      []rollout.NodeVersion     `json:"versions"`
	Leases        []Lease                   `json:"leases"`
	Unknowns      []UnknownCall             `json:"unknowns"`
	// Held lists requests that are quarantined at this node or reported as
	// quarantined by other nodes.
	Held []HeldRequest `json:"held_back"`
	// RefusedRecently counts the model requests that were refused at this node in the last ten
	// seconds, most refusals first, and Shares are the organisations' shares that decide it.
	RefusedRecently []RefusedRequests `json:"refused_recently"`
	Shares          []Share           `json:"shares"`
	// Refusals counts the node's refusals by reason since it started.
	Refusals map[string]uint64 `json:"refusals_by_reason"`
	// Failures lists the parts of the status that could not be read, with the cause.
	Failures []string `json:"failures,omitempty"`
}

// RefusedRequests counts requests of an organisation in one class that were refused for one reason.
type RefusedRequests struct {
	Service      string `json:"service"`
	Class        string `json:"class"`
	Organisation string `json:"organisation"`
	Reason       string `json:"reason"`
	Count        int    `json:"count"`
}

// Share is an organisation's part of the recent work of a service over the fleet, and the part that
// it is entitled to if it asks for it.
type Share struct {
	Service      string  `json:"service"`
	Organisation string  `json:"organisation"`
	Used         float64 `json:"used"`
	Entitled     float64 `json:"entitled"`
}

// Member is an entry instance.
type Member struct {
	ID            string    `json:"id"`
	FailureDomain string    `json:"failure_domain"`
	Address       string    `json:"address"`
	Incarnation   uint64    `json:"incarnation"`
	Weight        float64   `json:"weight"`
	State         string    `json:"state"`
	Heard         time.Time `json:"heard"`
	ConfigVersion uint64    `json:"config_version"`
}

// Upstream is a replica of a service or model.
type Upstream struct {
	ID            string    `json:"id"`
	FailureDomain string    `json:"failure_domain"`
	Service       string    `json:"service"`
	Leaving       bool      `json:"leaving"`
	LeavesAt      time.Time `json:"leaves_at,omitzero"`
	Inflight      int64     `json:"inflight"`
}

// Lease is a fleet-wide role that one node holds at a time.
type Lease struct {
	Name    string    `json:"name"`
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires,omitzero"`
}

// UnknownCall is a call whose outcome is not yet known.
type UnknownCall struct {
	Request      string    `json:"request"`
	Organisation string    `json:"organisation"`
	Service      string    `json:"service"`
	Key          string    `json:"key"`
	Since        time.Time `json:"since"`
	Upstream     string    `json:"upstream"`
	// Settled means that the call can no longer run, so that an operator may
	// decide that it did not.
	Settled bool `json:"settled"`
}
