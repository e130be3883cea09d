package discovery

import (
	"encoding/json"

	"zinniamast"
)

// receiveJoined adds an upstream that another node found in its list. It is
// treated like an entry of this node's own list: an instance that has left
// stays barred until it is started again.
func (c *Controller) receiveJoined(news zinniamast.GossipItem) {
	var instance zinniamast.Instance
	if err := json.Unmarshal(news.Value, &instance); err != nil || instance.ID != news.Key {
		c.config.Logger.Warn("sign_not_read", "upstream", news.Key, "origin", news.Origin, "error", err)
		return
	}
	c.addInstances([]zinniamast.Instance{instance})
}
