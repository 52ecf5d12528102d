package lab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client opens a connection for each request.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Answer is what a client gets.
type Answer struct {
	Status int
	// Whole says whether the end of the answer arrived.
	Whole bool
	Seal  string
	Body  []byte
	// EventIDs are the ids of the events of a stream, in order.
	EventIDs []int
	Err      error
}

// Request is a client's request. Events is the number of events of the stream that it asks for.
type Request struct {
	ID, Path       string
	Deadline       time.Duration
	Events, Prompt int
}

// Do sends a request to a gateway.
func Do(g *Gateway, q Request) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Callers+q.Path, strings.NewReader(fmt.Sprintf("events=%d\n", q.Events)))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = Host
	r.Header.Set("X-Api-Key", Key)
	r.Header.Set("X-Kingcupplank-Attempt-Id", q.ID)
	r.Header.Set("X-Kingcupplank-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	if q.Events > 0 {
		r.Header.Set("X-Kingcupplank-Model-Id", "m")
		r.Header.Set("X-Kingcupplank-Token-Usage", fmt.Sprintf("%d,%d", q.Prompt, q.Events*4))
		r.Header.Set("X-Kingcupplank-Prompt-Prefix", fmt.Sprintf("a1:48,b2:31,%s:%d", q.ID, q.Prompt-79))
		r.Header.Set("X-Kingcupplank-Length-Hint", strconv.Itoa(q.Events*4))
	}
	resp, err := client.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	a = Answer{Status: resp.StatusCode, Seal: resp.Header.Get("X-Kingcupplank-Response-Seal")}
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Whole = a.Err == nil
	a.EventIDs = eventIDs(a.Body)
	return a
}

// eventIDs returns the ids of the complete events of a stream.
func eventIDs(body []byte) (ids []int) {
	sc := bufio.NewScanner(bytes.NewReader(body))
	id := 0
	for sc.Scan() {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(v)
		}
		if line == "" && id > 0 {
			ids = append(ids, id)
			id = 0
		}
	}
	return ids
}
