package processtest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxies is what toxiproxy's proxies share; nothing of it listens.
var proxies = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// Link is a fault proxy before one listener.
type Link struct {
	tb    testing.TB
	proxy *toxiproxy.Proxy
	// address stays the link's own also while the link is cut.
	address string
}

// NewLink returns a link without faults before host:port.
func NewLink(tb testing.TB, name, target string) *Link {
	tb.Helper()
	address := FreeAddress(tb)
	proxy := toxiproxy.NewProxy(proxies(), name, address, target)
	if err := proxy.Start(); err != nil {
		tb.Fatalf("link %s: %v", name, err)
	}
	tb.Cleanup(proxy.Stop)
	return &Link{
		tb:      tb,
		proxy:   proxy,
		address: address,
	}
}

// Address is host:port to dial.
func (l *Link) Address() string { return l.address }

// URL is the link's base URL.
func (l *Link) URL() string { return "http://" + l.address }

// Cut breaks every open connection and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Heal lets connections through again after Cut.
func (l *Link) Heal() {
	l.tb.Helper()
	if err := l.proxy.Start(); err != nil {
		l.tb.Fatalf("heal %s: %v", l.proxy.Name, err)
	}
}

// Slow delays everything that comes back through the link.
func (l *Link) Slow(delay time.Duration) {
	l.toxic("latency", fmt.Sprintf(`{"latency":%d}`, delay.Milliseconds()))
}

// Silence keeps connections open and lets nothing come back, as a partition
// that drops packets does.
func (l *Link) Silence() {
	l.toxic("timeout", `{"timeout":0}`)
}

// Reset breaks each connection with a TCP reset once something comes back.
func (l *Link) Reset() {
	l.toxic("reset_peer", `{"timeout":0}`)
}

// Clear takes off Slow, Silence and Reset.
func (l *Link) Clear() { l.proxy.Toxics.ResetToxics(context.Background()) }

func (l *Link) toxic(kind, attributes string) {
	l.tb.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","attributes":%s}`, kind, kind, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.tb.Fatalf("toxic %s: %v", kind, err)
	}
}
