package node

import (
	"zinniamast/operator"
	"zinniamast/quarantine"
)

// maxHeld bounds the held back requests that one answer lists.
const maxHeld = 100

// held lists the requests that are held back, oldest first.
func (n *Node) held() []operator.HeldRequest {
	all := n.quarantine.Held()
	shown := make([]operator.HeldRequest, 0, len(all))
	for _, h := range all[:min(len(all), maxHeld)] {
		shown = append(shown, operator.HeldRequest{
			Fingerprint: h.Fingerprint.String(),
			Since:       h.Since,
			Crashes:     h.Crashes,
		})
	}
	return shown
}

// free lets a request that is held back run again.
func (n *Node) free(free operator.FreeArgs) error {
	fingerprint, err := quarantine.ParseFingerprint(free.Fingerprint)
	if err != nil {
		return err
	}
	return n.quarantine.Free(quarantine.Free{
		Fingerprint: fingerprint,
		By:          free.By,
		Why:         free.Why,
	})
}
