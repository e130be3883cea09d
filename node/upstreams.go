package node

import (
	"net/http"

	"zinniamast"
	"zinniamast/blackboard"
	"zinniamast/engine"
	"zinniamast/plain"
)

// Roles in the platform's instance list.
const (
	roleEngine  = "engine"
	roleService = "service"
)

// upstreamClients builds clients that share one transport.
type upstreamClients struct {
	transport *http.Transport
}

func newUpstreamClients() *upstreamClients {
	return &upstreamClients{
		transport: engine.NewTransport(),
	}
}

// build returns an upstream with its client, or nil if the instance is not an upstream.
func (u *upstreamClients) build(instance zinniamast.Instance) *blackboard.Upstream {
	upstream := &blackboard.Upstream{
		Instance: instance,
	}
	switch instance.Role {
	case roleEngine:
		upstream.Engine = engine.New(engine.Config{
			ID:        instance.ID,
			Address:   instance.Address,
			Transport: u.transport,
		})
	case roleService:
		upstream.Service = plain.New(plain.Config{
			Upstream: instance.ID,
			Address:  instance.Address,
		})
	default:
		return nil
	}
	return upstream
}
