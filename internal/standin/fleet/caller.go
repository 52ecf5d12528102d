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

// attempts and servers count those of this process.
var attempts, servers atomic.Uint64

// process sets their names apart from those of other processes: a port that a server leaves
// may be the next one of another system, whose gateways must not take it for theirs.
var process = strconv.FormatInt(int64(os.Getpid()), 36)

// NextID is the id of a caller's next attempt.
func NextID() string { return fmt.Sprintf("attempt-%s-%d", process, attempts.Add(1)) }

// CallerRequest makes a caller's request as the holder of a key, under an id.
type CallerRequest struct {
	ID, Key string
	// Body is the request's, a usual one if empty.
	Body string
}

// usualBody is the body of requests whose content does not matter.
const usualBody = "body"

// client opens a connection for each request, as callers do that retry.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func request(ctx context.Context, address, path string, as CallerRequest) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(cmp.Or(as.Body, usualBody)))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Api-Key", as.Key)
	r.Header.Set("X-Kingcupplank-Attempt-Id", as.ID)
	r.Header.Set("X-Kingcupplank-Deadline-Ms", "20000")
	return r, nil
}

// Call makes a caller's plain request to a gateway.
func Call(ctx context.Context, address, path string) (status int, body string, err error) {
	return CallWith(ctx, address, path, CallerRequest{ID: NextID(), Key: Key})
}

// CallWith makes a plain request of a given caller.
func CallWith(ctx context.Context, address, path string, as CallerRequest) (status int, body string, err error) {
	r, err := request(ctx, address, path, as)
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

// Stream makes a caller's generation and hands each event on. A nil error is a
// whole answer.
func Stream(ctx context.Context, address, path string, each func(event string)) error {
	status, err := StreamWith(ctx, address, path, CallerRequest{ID: NextID(), Key: Key}, each)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return err
}

// StreamWith makes a generation of a given caller; events come with status 200 only.
func StreamWith(ctx context.Context, address, path string, as CallerRequest, each func(event string)) (status int, err error) {
	r, err := request(ctx, address, path, as)
	if err != nil {
		return 0, err
	}
	r.Header.Set("X-Kingcupplank-Model-Id", "m")
	r.Header.Set("X-Kingcupplank-Token-Usage", "100,400")
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	in := bufio.NewReader(resp.Body)
	for event := ""; ; {
		line, err := in.ReadString('\n')
		if err == io.EOF && event == "" && line == "" {
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		event += line
		if line == "\n" {
			each(event)
			event = ""
		}
	}
}
