package load

import (
	"fmt"
	"net/url"
	"time"

	"zinniamast/standin/engine"
)

// Config configures a run.
type Config struct {
	// Targets are base URLs of nodes; each try goes to the next one, as behind a load balancer.
	Targets []string
	// Standins are base URLs of stand-ins that count runs; without any,
	// runs are not checked.
	Standins []string
	// Keys are API keys, one per organisation; requests use them in turn.
	Keys []string
	// Rate is the number of requests started per second.
	Rate float64
	// Duration is how long requests are started.
	Duration time.Duration
	// Seed determines the traffic.
	Seed uint64
	// Mix holds the weights of the kinds of traffic.
	Mix Mix
	// Model and Service are the names of the model and the service that are called.
	Model   string
	Service string
	// Deadline is the time that callers allow for each request.
	Deadline time.Duration
	// Margin is how long callers wait after the deadline before a request counts as lost.
	Margin time.Duration
	// Answer returns the complete answer of a model; nil means that of the
	// stand-in engine.
	Answer func(messages []byte, maxTokens int) string
	// IdleTimeout is how long a caller waits for the next bytes of a try before it
	// cancels the try and retries on another node.
	IdleTimeout time.Duration
	// InFlight bounds the in-flight requests; further ones are delayed.
	InFlight int
}

// Bounds that keep a mistyped setting from overloading an instance.
const (
	maxRate     = 10_000
	maxFor      = time.Hour
	maxInFlight = 20_000
)

// Defaults for fields left zero.
const (
	defaultDeadline    = 30 * time.Second
	defaultMargin      = 2 * time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultInFlight    = 512
	defaultModel       = "contract-summary"
	defaultService     = "booking"
)

// withDefaults sets the zero fields to their defaults and checks the result.
func (c Config) withDefaults() (Config, error) {
	if c.Deadline == 0 {
		c.Deadline = defaultDeadline
	}
	if c.Margin == 0 {
		c.Margin = defaultMargin
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.InFlight == 0 {
		c.InFlight = defaultInFlight
	}
	if c.Model == "" {
		c.Model = defaultModel
	}
	if c.Service == "" {
		c.Service = defaultService
	}
	if c.Answer == nil {
		c.Answer = standinAnswer
	}
	if c.Mix == nil {
		c.Mix = DefaultMix()
	}
	return c, c.check()
}

// standinAnswer returns the complete answer of the stand-in engine.
func standinAnswer(messages []byte, maxTokens int) string {
	return engine.Text(engine.Answer(messages, maxTokens))
}

func (c *Config) check() error {
	if len(c.Targets) == 0 {
		return fmt.Errorf("load: no target; name at least one node's base URL")
	}
	for _, base := range append(append([]string{}, c.Targets...), c.Standins...) {
		parsed, err := url.Parse(base)
		if err != nil || parsed.Host == "" {
			return fmt.Errorf("load: %q is not a base URL such as http://127.0.0.1:8080", base)
		}
	}
	if len(c.Keys) == 0 {
		return fmt.Errorf("load: no API key; give one per organisation")
	}
	if c.Rate <= 0 || c.Rate > maxRate {
		return fmt.Errorf("load: rate %v is not above 0 and up to %d a second", c.Rate, maxRate)
	}
	if c.Duration <= 0 || c.Duration > maxFor {
		return fmt.Errorf("load: time %v is not above 0 and up to %v", c.Duration, maxFor)
	}
	if c.InFlight < 1 || c.InFlight > maxInFlight {
		return fmt.Errorf("load: %d in flight is not between 1 and %d", c.InFlight, maxInFlight)
	}
	return nil
}
