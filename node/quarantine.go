package node

import (
	"zinniamast/operator"
	"zinniamast/quarantine"
)

// maxHeldListed bounds the quarantined requests that one answer lists.
const maxHeldListed = 100

// heldRequests lists the quarantined requests, oldest first.
func (n *Node) heldRequests() []operator.HeldRequest {
	all := n.quarantine.Held()
	shown := make([]operator.HeldRequest, 0, len(all))
	for _, h := range all[:min(len(all), maxHeldListed)] {
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
