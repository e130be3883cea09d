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

// proxyServer is the server that toxiproxy's proxies need. It does not listen.
var proxyServer = sync.OnceValue(func() *toxiproxy.ApiServer {
	return toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
})

// Link is a fault proxy in front of one listener.
type Link struct {
	tb    testing.TB
	proxy *toxiproxy.Proxy
	// address stays reserved for the link while the link is cut.
	address string
}

// NewLink starts a link without faults in front of target, which is host:port.
func NewLink(tb testing.TB, name, target string) *Link {
	tb.Helper()
	address := FreeAddress(tb)
	proxy := toxiproxy.NewProxy(proxyServer(), name, address, target)
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

// Address returns the link's host:port.
func (l *Link) Address() string { return l.address }

// URL returns the link's base URL.
func (l *Link) URL() string { return "http://" + l.address }

// Cut breaks every open connection and refuses new ones.
func (l *Link) Cut() { l.proxy.Stop() }

// Heal accepts connections again after Cut.
func (l *Link) Heal() {
	l.tb.Helper()
	if err := l.proxy.Start(); err != nil {
		l.tb.Fatalf("heal %s: %v", l.proxy.Name, err)
	}
}

// Delay delays everything that comes back through the link.
func (l *Link) Delay(delay time.Duration) {
	l.addToxic("latency", fmt.Sprintf(`{"latency":%d}`, delay.Milliseconds()))
}

// DropResponses keeps connections open and drops everything that comes back, like a
// partition that drops packets.
func (l *Link) DropResponses() {
	l.addToxic("timeout", `{"timeout":0}`)
}

// Reset breaks each connection with a TCP reset as soon as data comes back.
func (l *Link) Reset() {
	l.addToxic("reset_peer", `{"timeout":0}`)
}

// Clear removes the effects of Delay, DropResponses and Reset.
func (l *Link) Clear() { l.proxy.Toxics.ResetToxics(context.Background()) }

func (l *Link) addToxic(kind, attributes string) {
	l.tb.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","attributes":%s}`, kind, kind, attributes)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		l.tb.Fatalf("toxic %s: %v", kind, err)
	}
}
