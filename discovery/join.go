package discovery

import (
	"encoding/json"

	"zinniamast"
)

// receiveJoined adds an upstream that another node found in its list. It is
// treated like an entry of this node's own list: an instance that has left
// stays barred until it is started again.
func (c *Controller) receiveJoined(item zinniamast.GossipItem) {
	var instance zinniamast.Instance
	if err := json.Unmarshal(item.Value, &instance); err != nil || instance.ID != item.Key {
		c.config.Logger.Warn("sign_not_read", "upstream", item.Key, "origin", item.Origin, "error", err)
		return
	}
	c.addInstances([]zinniamast.Instance{instance})
}
