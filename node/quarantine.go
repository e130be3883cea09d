package node

import (
	"zinniamast/operator"
	"zinniamast/quarantine"
)

// maxQuarantinedListed bounds the quarantined requests that one answer lists.
const maxQuarantinedListed = 100

// quarantinedRequests lists the quarantined requests and prompt parts, the oldest of each
// first.
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
	for _, h := range n.parts.Held() {
		if len(shown) == maxQuarantinedListed {
			break
		}
		shown = append(shown, operator.HeldRequest{
			PromptParts: h.Key(),
			Since:       h.Since,
			Crashes:     h.Crashes,
		})
	}
	return shown
}

// freeRequest releases a request or a prompt part from quarantine.
func (n *Node) freeRequest(request operator.FreeArgs) error {
	if request.PromptPart != "" {
		return n.freePart(request)
	}
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

// freePart releases a prompt part from quarantine.
func (n *Node) freePart(request operator.FreeArgs) error {
	part, err := quarantine.ParsePart(request.PromptPart)
	if err != nil {
		return err
	}
	return n.parts.Free(quarantine.FreePart{
		Part: part,
		By:   request.By,
		Why:  request.Why,
	})
}
