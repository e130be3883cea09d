package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"zinniamast/standin/engine"
)

// check is one step of the report.
type check struct {
	name string
	run  func(ctx context.Context, d *Demo) (string, error)
}

var checks = []check{
	{
		name: "models are listed",
		run:  checkModels,
	},
	{
		name: "an answer that is not streamed is whole",
		run:  checkWhole,
	},
	{
		name: "a streamed answer is whole",
		run:  checkStream,
	},
	{
		name: "a lookup is answered",
		run:  checkLookup,
	},
	{
		name: "a reservation sent twice under one key runs once",
		run:  checkReservation,
	},
	{
		name: "an unknown model is refused and did not run",
		run:  checkUnknownModel,
	},
	{
		name: "a stranger is refused",
		run:  checkUnknownKey,
	},
}

// Once sends a few requests of each kind, prints the result of each check and
// reports whether all checks passed.
func (d *Demo) Once(ctx context.Context, out io.Writer) bool {
	writeTitle(out, "zinniamast demo")
	allPassed := true
	for _, c := range checks {
		detail, err := c.run(ctx, d)
		if err != nil {
			allPassed = false
			fmt.Fprintf(out, "WRONG  %s: %v\n", c.name, err)
			continue
		}
		fmt.Fprintf(out, "right  %s: %s\n", c.name, detail)
	}
	return allPassed
}

func (d *Demo) client() openai.Client {
	return openai.NewClient(option.WithBaseURL(d.URL()+"/v1"), option.WithAPIKey(Key))
}

const maxTokens = 40

func question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               Model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxCompletionTokens: openai.Int(maxTokens),
	}
}

// expected returns the complete answer of the stand-in engines to a question.
func expected(params openai.ChatCompletionNewParams) (string, error) {
	messages, err := json.Marshal(params.Messages)
	return engine.Text(engine.Answer(messages, maxTokens)), err
}

func compare(got string, params openai.ChatCompletionNewParams) (string, error) {
	want, err := expected(params)
	if err != nil {
		return "", err
	}
	if got != want {
		return "", fmt.Errorf("got %q, want %q", got, want)
	}
	return fmt.Sprintf("%d bytes, as the engine meant them", len(got)), nil
}

func checkModels(ctx context.Context, d *Demo) (string, error) {
	client := d.client()
	page, err := client.Models.List(ctx)
	if err != nil {
		return "", err
	}
	if len(page.Data) != 1 || page.Data[0].ID != Model {
		return "", fmt.Errorf("got %v", page.Data)
	}
	return page.Data[0].ID, nil
}

func checkWhole(ctx context.Context, d *Demo) (string, error) {
	params := question("which clauses cover power?")
	client := d.client()
	answer, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		return "", err
	}
	if answer.Usage.CompletionTokens != maxTokens {
		return "", fmt.Errorf("usage counts %d tokens", answer.Usage.CompletionTokens)
	}
	return compare(answer.Choices[0].Message.Content, params)
}

func checkStream(ctx context.Context, d *Demo) (string, error) {
	params := question("summarise the renewal terms")
	client := d.client()
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	defer stream.Close()
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		return "", err
	}
	return compare(text.String(), params)
}

// callService calls the booking service and returns the status and the body.
func (d *Demo) callService(ctx context.Context, method, path, key, body string) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, method, d.URL()+"/services/"+Service+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("Authorization", "Bearer "+Key)
	if key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return answer.StatusCode, strings.TrimSpace(string(content)), err
}

func checkLookup(ctx context.Context, d *Demo) (string, error) {
	status, body, err := d.callService(ctx, http.MethodGet, "/lookups/cage-7", "", "")
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return body, err
}

func checkReservation(ctx context.Context, d *Demo) (string, error) {
	const key, order = "cage-7-for-priya", `{"cage":7}`
	first, firstBody, err := d.callService(ctx, http.MethodPost, "/reservations", key, order)
	if err != nil {
		return "", err
	}
	second, secondBody, err := d.callService(ctx, http.MethodPost, "/reservations", key, order)
	if err != nil {
		return "", err
	}
	if first/100 != 2 || first != second || firstBody != secondBody {
		return "", fmt.Errorf("first %d %s, then %d %s", first, firstBody, second, secondBody)
	}
	ran := 0
	for _, runs := range d.ledger.Counts().Keys {
		ran += runs
	}
	if ran != 1 {
		return "", fmt.Errorf("it ran %d times", ran)
	}
	return firstBody, nil
}

func checkUnknownModel(ctx context.Context, d *Demo) (string, error) {
	return d.checkRefusal(ctx, Key, `{"model":"nothing","messages":[{"role":"user","content":"x"}]}`, "unknown_model")
}

func checkUnknownKey(ctx context.Context, d *Demo) (string, error) {
	return d.checkRefusal(ctx, "stranger", `{}`, "unauthorised")
}

// checkRefusal sends a body and expects a refusal with the reason and "not run".
func (d *Demo) checkRefusal(ctx context.Context, key, body, reason string) (string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, d.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	q.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(q)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var content struct {
		Error struct {
			Reason  string `json:"reason"`
			Ran     string `json:"ran"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&content); err != nil {
		return "", err
	}
	if content.Error.Reason != reason || content.Error.Ran != "not_run" {
		return "", fmt.Errorf("got %+v", content.Error)
	}
	return fmt.Sprintf("%d %s", answer.StatusCode, content.Error.Message), nil
}
