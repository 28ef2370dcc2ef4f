package cli

import (
	"context"
	"io"
	"net/http"

	"github.com/integrii/flaggy"

	"greengagespoke/adapters/gateclient"
	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
)

// callFlags are the flags of the command that sends one request.
type callFlags struct {
	host       hostFlags
	model      string
	prompt     string
	promptFile string
	maxTokens  int
	requestID  string
	attempt    int
	verbose    bool

	path           string
	method         string
	body           string
	contentType    string
	idempotencyKey string
}

// callCommand returns the command that sends one request.
func callCommand() *command {
	flags := &callFlags{maxTokens: 256, attempt: 1, method: http.MethodGet, contentType: "application/json"}
	return &command{
		name:    "call",
		summary: "send one request; a model's answer streams to the terminal",
		help: `With --model the request asks for generated text; with --path it is a call to a
plain service. The request goes to the first address that --host names for it, and
on to the next where a host is leaving or the connection breaks. A resend of a
request states the same --request-id and a larger --attempt.

` + hostFlagsHelp,
		define: flags.define,
		run:    flags.run,
	}
}

func (f *callFlags) define(sc *flaggy.Subcommand) {
	f.host.define(sc)
	sc.String(&f.model, "", "model", "model to ask")
	sc.String(&f.prompt, "", "prompt", "prompt text")
	sc.String(&f.promptFile, "", "prompt-file", "file with the prompt, or - for standard input")
	sc.Int(&f.maxTokens, "", "max-tokens", "largest number of tokens in the answer")
	sc.String(&f.requestID, "", "request-id", "name of the request (default: a random one)")
	sc.Int(&f.attempt, "", "attempt", "1 for a first send, larger for a resend")
	sc.Bool(&f.verbose, "", "verbose", "tell on standard error which host answered")
	sc.String(&f.path, "", "path", "path of a plain service, with the query")
	sc.String(&f.method, "", "method", "HTTP method of the call to a plain service")
	sc.String(&f.body, "", "body", "body of the call to a plain service")
	sc.String(&f.contentType, "", "content-type", "type of the body")
	sc.String(&f.idempotencyKey, "", "idempotency-key", "name of a call that must run at most once")
}

func (f *callFlags) run(ctx context.Context, streams Streams) error {
	if (f.model == "") == (f.path == "") {
		return usageError("give either --model with a prompt or --path")
	}
	if f.attempt < 1 || f.maxTokens < 1 {
		return usageError("--attempt and --max-tokens start at 1")
	}
	client, err := f.host.client()
	if err != nil {
		return err
	}
	if f.path != "" {
		return f.callService(ctx, streams, client)
	}
	return f.complete(ctx, streams, client)
}

func (f *callFlags) complete(ctx context.Context, streams Streams, client *gateclient.Client) error {
	prompt, err := f.readPrompt(streams.In)
	if err != nil {
		return err
	}
	req := gateclient.Completion{
		ID:        domain.RequestID(f.requestID),
		Model:     f.model,
		Prompt:    prompt,
		MaxTokens: f.maxTokens,
		Attempt:   f.attempt,
	}
	out, err := client.Complete(ctx, req, func(text string) error {
		_, err := io.WriteString(streams.Out, text)
		return err
	})
	if out.Tokens > 0 {
		printf(streams.Out, "\n")
	}
	if f.verbose {
		printf(streams.Err, "request %s: %d tokens in %d attempts, last from %s\n", out.ID, out.Tokens, out.Attempts, out.Address)
	}
	return callerFault(err)
}

// readPrompt returns the prompt from the flag, the file or standard input.
func (f *callFlags) readPrompt(in io.Reader) (string, error) {
	if (f.prompt == "") == (f.promptFile == "") {
		return "", usageError("give either --prompt or --prompt-file")
	}
	if f.prompt != "" {
		return f.prompt, nil
	}
	if f.promptFile == "-" {
		data, err := io.ReadAll(in)
		return string(data), err
	}
	data, err := strictyaml.ReadFile(f.promptFile)
	return string(data), err
}

func (f *callFlags) callService(ctx context.Context, streams Streams, client *gateclient.Client) error {
	call := gateclient.Call{
		Method:         f.method,
		Path:           f.path,
		Body:           []byte(f.body),
		IdempotencyKey: f.idempotencyKey,
		Attempt:        f.attempt,
	}
	if f.body != "" {
		call.ContentType = f.contentType
	}
	answer, err := client.CallService(ctx, call)
	if err != nil {
		return callerFault(err)
	}
	if f.verbose {
		printf(streams.Err, "status %d from %s\n", answer.Status, answer.Address)
	}
	if _, err := streams.Out.Write(answer.Body); err != nil {
		return err
	}
	if answer.Status >= http.StatusBadRequest {
		return &Fault{Code: ExitFailed, Err: &serviceStatusError{status: answer.Status}}
	}
	return nil
}
