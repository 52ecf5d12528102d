package fleet

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
)

// attemptCount and serverCount number the attempts and servers of this process.
var attemptCount, serverCount atomic.Uint64

// processTag makes their ids differ from those of other processes. A port that a stopped server has
// used may be assigned to a server of another process, whose gateways must not mistake one server
// for the other.
var processTag = strconv.FormatInt(int64(os.Getpid()), 36)

// NextID returns a new id for a caller's attempt.
func NextID() string { return fmt.Sprintf("attempt-%s-%d", processTag, attemptCount.Add(1)) }

// CallerRequest describes a caller's request: its id, API key and body.
type CallerRequest struct {
	ID, Key string
	// Body is the request body; empty means a default body.
	Body string
	// Resumes is the id of the attempt that received the first event of the stream which the request
	// resumes behind LastEvent, empty for a new stream.
	Resumes   string
	LastEvent int
	// Parts are the parts of a generation's prompt, the request's own part last.
	Parts []string
}

// promptPrefix is the header that lists the parts of a prompt, promptPartTokens the size of each.
const (
	promptPrefix     = "X-Kingcupplank-Prompt-Prefix"
	promptPartTokens = ":30"
)

// defaultBody is sent where the content of a request does not matter.
const defaultBody = "body"

// client opens a new connection for each request, as callers that retry do.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func newRequest(ctx context.Context, address, path string, spec CallerRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(cmp.Or(spec.Body, defaultBody)))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Api-Key", spec.Key)
	r.Header.Set("X-Kingcupplank-Attempt-Id", spec.ID)
	r.Header.Set("X-Kingcupplank-Deadline-Ms", "20000")
	if spec.Resumes != "" {
		r.Header.Set("Resumes", spec.Resumes)
		r.Header.Set("Last-Event-Id", strconv.Itoa(spec.LastEvent))
	}
	return r, nil
}

// Call sends a plain request with the default key to a gateway.
func Call(ctx context.Context, address, path string) (status int, body string, err error) {
	return CallWith(ctx, address, path, CallerRequest{ID: NextID(), Key: Key})
}

// CallWith sends the given plain request to a gateway.
func CallWith(ctx context.Context, address, path string, spec CallerRequest) (status int, body string, err error) {
	r, err := newRequest(ctx, address, path, spec)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Stream starts a generation with the default key and calls onEvent for each event. A nil
// error means that the response was complete.
func Stream(ctx context.Context, address, path string, onEvent func(event string)) error {
	status, err := StreamWith(ctx, address, path, CallerRequest{ID: NextID(), Key: Key}, onEvent)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// StreamWith starts the given generation; there are events only with status 200.
func StreamWith(ctx context.Context, address, path string, spec CallerRequest, onEvent func(event string)) (status int, err error) {
	r, err := newRequest(ctx, address, path, spec)
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Kingcupplank-Model-Id", "m")
	r.Header.Set("X-Kingcupplank-Token-Usage", "100,400")
	if len(spec.Parts) > 0 {
		r.Header.Set(promptPrefix, strings.Join(spec.Parts, promptPartTokens+",")+promptPartTokens)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	reader := bufio.NewReader(resp.Body)
	for event := ""; ; {
		line, err := reader.ReadString('\n')
		if err == io.EOF && event == "" && line == "" {
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		event += line
		if line == "\n" {
			onEvent(event)
			event = ""
		}
	}
}
