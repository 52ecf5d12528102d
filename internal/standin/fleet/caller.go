package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

var attempts atomic.Uint64

func request(ctx context.Context, address, path string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = Host
	r.Header.Set("X-Api-Key", Key)
	r.Header.Set("X-Kingcupplank-Attempt-Id", fmt.Sprintf("attempt-%d", attempts.Add(1)))
	r.Header.Set("X-Kingcupplank-Deadline-Ms", "20000")
	return r, nil
}

// Call makes a caller's plain request to a gateway.
func Call(ctx context.Context, address, path string) (status int, body string, err error) {
	r, err := request(ctx, address, path)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.DefaultClient.Do(r)
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
	r, err := request(ctx, address, path)
	if err != nil {
		return err
	}
	r.Header.Set("X-Kingcupplank-Model-Id", "m")
	r.Header.Set("X-Kingcupplank-Token-Usage", "100,400")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	in := bufio.NewReader(resp.Body)
	for event := ""; ; {
		line, err := in.ReadString('\n')
		if err == io.EOF && event == "" {
			return nil
		}
		if err != nil {
			return err
		}
		event += line
		if line == "\n" {
			each(event)
			event = ""
		}
	}
}
