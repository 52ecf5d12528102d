package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// seal is the header that a server's answer carries.
const seal = "X-Kingcupplank-Response-Seal"

// callerTimeout is how long a client waits for an answer.
const callerTimeout = 3 * time.Second

// caller is a client that keeps its connection.
type caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a client got for a request.
type answer struct {
	status int
	seal   string
	body   string
}

// dial opens a client's connection to a gateway.
func dial(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn, bufio.NewReader(conn)}, nil
}

func (c *caller) close() { c.conn.Close() }

// request returns a request with a key and the id of an attempt.
func request(method, target, id string, bodySize int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Kingcupplank-Attempt-Id: %s\r\nX-Kingcupplank-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, target, fleet.Host, fleet.Key, id, callerTimeout.Milliseconds(), bodySize, strings.Repeat("x", bodySize))
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(method, raw string) (a answer, err error) {
	c.conn.SetDeadline(time.Now().Add(callerTimeout))
	// A gateway may answer before it has read a long body.
	go io.WriteString(c.conn, raw)
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(seal), string(body)}, err
}
