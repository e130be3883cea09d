package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"

	"zinniamast/checker"
	"zinniamast/standin/engine"
)

// task is one request to be made.
type task struct {
	checker.Request
	apiKey string
	// sent means that the key has been sent before.
	sent bool
	// messages and maxTokens are set for model requests.
	messages  []openai.ChatCompletionMessageParamUnion
	maxTokens int
	// hash names the messages in the engines' counts.
	hash uint64
	// rack is what lookups and bookings ask for.
	rack string
}

// shape is the size of a model request.
type shape struct {
	promptWords int
	maxTokens   int
}

// shapes are the sizes of the kinds of model requests.
var shapes = map[checker.Kind]shape{
	checker.KindSummary:  {promptWords: 2000, maxTokens: 200},
	checker.KindQuestion: {promptWords: 60, maxTokens: 40},
	checker.KindTriage:   {promptWords: 20, maxTokens: 8},
}

// Sizes of the pools that prompts and service calls draw from.
const (
	contracts = 8
	racks     = 50
)

var vocabulary = strings.Fields(`the a rack cage power cooling clause term renewal notice
	contract cross connect ticket breaker feed circuit site manager month rate fee
	price liability service credit outage window access badge`)

// planner draws tasks from a seed; the same seed draws the same tasks.
type planner struct {
	config    Config
	random    *rand.Rand
	run       string
	contracts []string
	count     int
}

func newPlanner(c Config) *planner {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	p := &planner{
		config: c,
		random: random,
		// Two runs against the same stand-ins must not share keys, or the second
		// would be answered from the first.
		run: fmt.Sprintf("load-%d-%x", c.Seed, time.Now().UnixNano()),
	}
	for range contracts {
		p.contracts = append(p.contracts, p.words(shapes[checker.KindSummary].promptWords))
	}
	return p
}

func (p *planner) words(count int) string {
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[p.random.IntN(len(vocabulary))])
	}
	return text.String()
}

// next draws a task; its deadline counts from now.
func (p *planner) next() (*task, error) {
	p.count++
	id := fmt.Sprintf("%s-%06d", p.run, p.count)
	kind := p.config.Mix.pick(p.random)
	turn := p.count % len(p.config.Keys)
	t := &task{
		Request: checker.Request{
			ID:           id,
			Organisation: fmt.Sprintf("key-%d", turn),
			Key:          id,
			Kind:         kind,
			Repeatable:   kind != checker.KindBooking,
			Deadline:     time.Now().Add(p.config.Deadline),
		},
		apiKey: p.config.Keys[turn],
		rack:   fmt.Sprintf("rack-%d", p.random.IntN(racks)),
	}
	size, ok := shapes[kind]
	if !ok {
		t.Expected = expectedOfService(t)
		return t, nil
	}
	return t, p.fillModel(t, size)
}

// fillModel writes the prompt and works out the answer that a whole run gives.
func (p *planner) fillModel(t *task, size shape) error {
	text := p.words(size.promptWords)
	if t.Kind == checker.KindSummary {
		text = p.contracts[p.random.IntN(contracts)]
	}
	t.messages = []openai.ChatCompletionMessageParamUnion{
		openai.SystemMessage("Answer site managers."),
		openai.UserMessage(text + " " + marker(t.ID)),
	}
	t.maxTokens = size.maxTokens
	raw, err := json.Marshal(t.messages)
	if err != nil {
		return err
	}
	t.hash = engine.MessagesHash(raw)
	t.Expected = p.config.Answer(raw, t.maxTokens)
	return nil
}
