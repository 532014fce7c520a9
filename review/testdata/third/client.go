package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a kept channel of an ordinary client, who sends one request at a time.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func open(address, from string) (*channel, error) {
	d := net.Dialer{Timeout: time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func head(method, path, id string, deadlineMS int, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadlineMS)
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// do sends a request with a body in one write and reads the answer.
func (c *channel) do(method, path, id, body string, limit time.Duration, more ...string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	text := head(method, path, id, int(limit.Milliseconds()), more...)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		return answer{err: fmt.Errorf("write: %w", err)}
	}
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: fmt.Errorf("read: %w", err)}
	}
	data, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: data, err: err}
}
