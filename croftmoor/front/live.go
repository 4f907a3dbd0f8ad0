package front

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"

	"croftmoor.dev/croftmoor/calls"
	"croftmoor.dev/croftmoor/gener"
	"croftmoor.dev/croftmoor/refuse"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// call forwards a call to a plain service.
func (f *Front) call(c fiber.Ctx) error {
	info, err := f.readInfo(c)
	if err != nil {
		return err
	}
	service, err := f.service(c.Params("service"), conf.Plain)
	if err != nil {
		return err
	}
	path := "/" + cloneString(c.Params("*"))
	request := calls.Request{
		ID: info.id, Service: service, Class: info.class, Method: cloneString(c.Method()), Path: pathWithQuery(c, path),
		Headers: forwardedHeaders(c), Body: append([]byte(nil), c.Body()...),
		Repeatable: service.Repeatable(path), Issued: info.issued,
	}
	if header := c.Get(repeatableHeader); header != "" {
		// A caller may forbid repeats that the configuration allows, but may not
		// allow repeats that the configuration forbids.
		request.Repeatable = request.Repeatable && strings.EqualFold(header, "true")
	}
	start := f.Clock.Mono()
	return f.withAdmission(c, info, func(ctx context.Context) error {
		answer, err := f.Calls.Do(ctx, request)
		f.Metrics.Served(string(service.Name), err == nil, f.Clock.Mono()-start)
		if err != nil {
			return err
		}
		c.Set(backendHeader, string(answer.Backend))
		c.Set(fiber.HeaderContentType, answer.ContentType)
		return c.Status(answer.Status).Send(answer.Body)
	})
}

// pathWithQuery appends the request's query string to path.
func pathWithQuery(c fiber.Ctx, path string) string {
	if query := c.RequestCtx().URI().QueryString(); len(query) > 0 {
		return path + "?" + string(query)
	}
	return path
}

// forwardedHeaders returns the request headers that are forwarded to the backend
// server.
func forwardedHeaders(c fiber.Ctx) []httpc.Header {
	var list []httpc.Header
	for _, name := range []string{fiber.HeaderContentType, fiber.HeaderAccept, fiber.HeaderAuthorization} {
		if value := c.Get(name); value != "" {
			list = append(list, httpc.Header{Name: name, Value: cloneString(value)})
		}
	}
	return list
}

// completionWire is a completion request in the format of the OpenAI completions API,
// with the additional field adapter.
type completionWire struct {
	Model     string `json:"model"`      // completion request
	Prompt    string `json:"prompt"`     // completion request
	Adapter   string `json:"adapter"`    // completion request
	Seed      string `json:"seed"`       // completion request
	MaxTokens int32  `json:"max_tokens"` // completion request
	Stream    bool   `json:"stream"`     // completion request
}

// completionAnswer is a complete answer, or one event of a streamed answer.
type completionAnswer struct {
	ID      string             `json:"id"`      // completion answer
	Object  string             `json:"object"`  // completion answer
	Model   string             `json:"model"`   // completion answer
	Choices []completionChoice `json:"choices"` // completion answer
	Usage   *completionUsage   `json:"usage"`   // completion answer
}

type completionChoice struct {
	Index        int     `json:"index"`         // completion answer
	Text         string  `json:"text"`          // completion answer
	FinishReason *string `json:"finish_reason"` // completion answer
}

type completionUsage struct {
	CompletionTokens int32 `json:"completion_tokens"` // completion answer
}

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
	partBufferLen    = 256
	endMarker        = "data: [DONE]\n\n"
)

// complete serves completion requests, streamed or not.
func (f *Front) complete(c fiber.Ctx) error {
	info, err := f.readInfo(c)
	if err != nil {
		return err
	}
	var w completionWire
	if err := decode(c, &w); err != nil {
		return err
	}
	service, err := f.service(w.Model, conf.Model)
	if err != nil {
		return err
	}
	if w.Prompt == "" || w.MaxTokens < 0 || w.MaxTokens > maxTokensLimit {
		return refuse.New("front.complete", refuse.Invalid, "prompt is empty, or max_tokens is not from 1 to 1048576", "correct the request")
	}
	request := gener.Request{
		ID: info.id, Service: service, Adapter: ident.Trainer(w.Adapter), Prompt: w.Prompt, Seed: w.Seed,
		MaxTokens: ident.Tokens(w.MaxTokens), Priority: gener.LivePriority,
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	if w.Stream {
		return f.completeStream(c, info, request)
	}
	return f.completeBlocking(c, info, request)
}

// completeBlocking responds once the answer is complete.
func (f *Front) completeBlocking(c fiber.Ctx, info requestInfo, request gener.Request) error {
	began := f.Clock.Mono()
	return f.withAdmission(c, info, func(ctx context.Context) error {
		answer, err := f.Gen.Generate(ctx, request)
		f.Metrics.Served(string(request.Service.Name), err == nil, f.Clock.Mono()-began)
		if err != nil {
			return err
		}
		return c.JSON(completeAnswer(request, answer))
	})
}

// completeAnswer returns the response that holds all of an answer.
func completeAnswer(request gener.Request, answer gener.Answer) completionAnswer {
	stop := "stop"
	return completionAnswer{
		ID: string(request.ID), Object: "text_completion", Model: string(request.Service.Name),
		Choices: []completionChoice{{Text: answer.Text, FinishReason: &stop}},
		Usage:   &completionUsage{CompletionTokens: int32(answer.Tokens)},
	}
}

// streamItem is a part of a streamed answer, an error, or the end with the
// complete answer.
type streamItem struct {
	part   gener.Part
	err    error
	end    bool
	answer gener.Answer
}

// completeStream responds with server-sent events. It waits for the first part
// before it sends the status, so that an earlier error gets its own HTTP status.
func (f *Front) completeStream(c fiber.Ctx, info requestInfo, request gener.Request) error {
	ctx, stop := f.requestContext(c, info)
	release, decision, err := f.admit(ctx, info)
	if err != nil {
		stop()
		return refuse.After("front.admit", refuse.NotRun, decision.Reason, decision.RetryAfter)
	}
	parts := f.startGeneration(ctx, request)
	first := <-parts
	if first.err != nil {
		stop()
		release()
		return first.err
	}
	f.inFlight.Add(1)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	began := f.Clock.Mono()
	return c.SendStreamWriter(func(out *bufio.Writer) {
		defer f.inFlight.Add(-1)
		defer release()
		defer stop()
		ok := f.writeStream(out, request, first, parts)
		f.Metrics.Served(string(request.Service.Name), ok, f.Clock.Mono()-began)
	})
}

// startGeneration generates an answer in the background. The channel receives the
// parts, then the end or an error, and is closed. Parts and the end are dropped
// once ctx has ended.
func (f *Front) startGeneration(ctx context.Context, request gener.Request) <-chan streamItem {
	parts := make(chan streamItem, partBufferLen)
	push := func(s streamItem) bool {
		select {
		case parts <- s:
			return true
		case <-ctx.Done():
			return false
		}
	}
	request.OnPart = func(p gener.Part) bool { return push(streamItem{part: p}) }
	f.group.Go(func() {
		defer close(parts)
		answer, err := f.Gen.Generate(ctx, request)
		if err != nil {
			// Sent even if ctx has ended: the receiver may be waiting for the error.
			parts <- streamItem{err: err}
			return
		}
		push(streamItem{end: true, answer: answer})
	})
	return parts
}

// writeStream writes next and then parts as events. It reports whether the
// complete answer was written.
func (f *Front) writeStream(out *bufio.Writer, request gener.Request, next streamItem, parts <-chan streamItem) bool {
	for ok := true; ok; next, ok = <-parts {
		if next.err != nil {
			writeError(out, request, next.err)
			return false
		}
		if next.end {
			answer := completeAnswer(request, next.answer)
			answer.Choices[0].Text = ""
			return writeEvent(out, answer) && writeText(out, endMarker)
		}
		event := completionAnswer{
			ID: string(request.ID), Object: "text_completion", Model: string(request.Service.Name),
			Choices: []completionChoice{{Text: next.part.Text}},
		}
		if !writeEvent(out, event) {
			return false
		}
	}
	return false
}

// writeError writes an error event, which ends a stream without the end marker.
func writeError(out *bufio.Writer, request gener.Request, err error) {
	refusal := refuse.Of(err)
	data, jsonErr := json.Marshal(refusalWire{
		ID: string(request.ID), Kind: string(refusal.Kind), What: refusal.What, Do: refusal.Do,
		RetryAfterMillis: int64(refusal.RetryAfter),
	})
	if jsonErr == nil {
		writeText(out, "event: error\ndata: "+string(data)+"\n\n")
	}
}

// writeEvent writes one server-sent event. It reports whether that succeeded.
func writeEvent(out *bufio.Writer, event completionAnswer) bool {
	data, err := json.Marshal(event)
	return err == nil && writeText(out, "data: "+string(data)+"\n\n")
}

// writeText writes and flushes text. It reports whether that succeeded.
func writeText(out *bufio.Writer, text string) bool {
	if _, err := out.WriteString(text); err != nil {
		return false
	}
	return out.Flush() == nil
}

// Layout of a version 7 UUID: length, index of the version digit, and number of
// leading hexadecimal digits that hold the Unix time in milliseconds.
const (
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidTimeDigits   = 12
)

// uuidTime returns the creation time of a version 7 UUID, or 0 if id is not one.
func uuidTime(id string) clock.Millis {
	if len(id) != uuidLength || id[uuidVersionIndex] != '7' {
		return 0
	}
	digits := strings.ReplaceAll(id, "-", "")[:uuidTimeDigits]
	value, err := strconv.ParseInt(digits, 16, 64)
	if err != nil {
		return 0
	}
	return clock.Millis(value)
}
