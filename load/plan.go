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

// task is one request to send.
type task struct {
	checker.Request
	apiKey string
	// isSent is true once the key has been sent.
	isSent bool
	// messages and maxTokens are set for model requests.
	messages  []openai.ChatCompletionMessageParamUnion
	maxTokens int
	// hash identifies the messages in the run counts of the engines.
	hash uint64
	// rack is the rack that a lookup or booking requests.
	rack string
}

// requestSize is the size of a model request.
type requestSize struct {
	promptWords int
	maxTokens   int
}

// requestSizes holds the size of each kind of model request.
var requestSizes = map[checker.Kind]requestSize{
	checker.KindSummary:  {promptWords: 2000, maxTokens: 200},
	checker.KindQuestion: {promptWords: 60, maxTokens: 40},
	checker.KindTriage:   {promptWords: 20, maxTokens: 8},
}

// Sizes of the pools from which prompts and service calls are drawn.
const (
	contractCount = 8
	rackCount     = 50
)

var vocabulary = strings.Fields(`the a rack cage power cooling clause term renewal notice
	contract cross connect ticket breaker feed circuit site manager month rate fee
	price liability service credit outage window access badge`)

// planner draws tasks from a seed; the same seed yields the same tasks, apart
// from deadlines, request IDs and the texts that contain the IDs.
type planner struct {
	config    Config
	random    *rand.Rand
	runID     string
	contracts []string
	count     int
}

func newPlanner(c Config) *planner {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	p := &planner{
		config: c,
		random: random,
		// Two runs against the same stand-ins must not share keys, or requests of the
		// second run would receive answers of the first.
		runID: fmt.Sprintf("load-%d-%x", c.Seed, time.Now().UnixNano()),
	}
	for range contractCount {
		p.contracts = append(p.contracts, p.randomWords(requestSizes[checker.KindSummary].promptWords))
	}
	return p
}

func (p *planner) randomWords(count int) string {
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[p.random.IntN(len(vocabulary))])
	}
	return text.String()
}

// next draws a task, whose deadline is relative to the current time.
func (p *planner) next() (*task, error) {
	p.count++
	id := fmt.Sprintf("%s-%06d", p.runID, p.count)
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
		rack:   fmt.Sprintf("rack-%d", p.random.IntN(rackCount)),
	}
	size, ok := requestSizes[kind]
	if !ok {
		t.Expected = expectedServiceAnswer(t)
		return t, nil
	}
	return t, p.fillModelRequest(t, size)
}

// fillModelRequest sets the prompt and the expected answer of a model request.
func (p *planner) fillModelRequest(t *task, size requestSize) error {
	text := p.randomWords(size.promptWords)
	if t.Kind == checker.KindSummary {
		text = p.contracts[p.random.IntN(contractCount)]
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
