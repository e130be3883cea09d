package node

import (
	"zinniamast/operator"
	"zinniamast/quarantine"
)

// maxQuarantinedListed bounds the quarantined requests that one answer lists.
const maxQuarantinedListed = 100

// quarantinedRequests lists the quarantined requests, oldest first.
func (n *Node) quarantinedRequests() []operator.HeldRequest {
	all := n.quarantine.Held()
	shown := make([]operator.HeldRequest, 0, len(all))
	for _, h := range all[:min(len(all), maxQuarantinedListed)] {
		shown = append(shown, operator.HeldRequest{
			Fingerprint: h.Fingerprint.String(),
			Since:       h.Since,
			Crashes:     h.Crashes,
		})
	}
	return shown
}

// freeRequest releases a request from quarantine.
func (n *Node) freeRequest(request operator.FreeArgs) error {
	fingerprint, err := quarantine.ParseFingerprint(request.Fingerprint)
	if err != nil {
		return err
	}
	return n.quarantine.Free(quarantine.Free{
		Fingerprint: fingerprint,
		By:          request.By,
		Why:         request.Why,
	})
}
