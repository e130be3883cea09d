package discovery

import (
	"encoding/json"

	"zinniamast"
)

// hearJoined takes in what another node's list showed. It counts no more than
// a list of one's own: a life of the instance that left stays barred.
func (c *Controller) hearJoined(news zinniamast.GossipItem) {
	var instance zinniamast.Instance
	if err := json.Unmarshal(news.Value, &instance); err != nil || instance.ID != news.Key {
		c.config.Logger.Warn("sign_not_read", "upstream", news.Key, "origin", news.Origin, "error", err)
		return
	}
	c.enter([]zinniamast.Instance{instance})
}
