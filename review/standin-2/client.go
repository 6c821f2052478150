package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client holds one channel.
type client struct {
	name   string
	record *record
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a channel to an entry.
func (c *client) open(address string) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// post sends a job once and waits for the answer for as long as the time budget lasts. It
// returns the status, or 0 for no answer; the channel is then closed.
func (c *client) post(to, id, body string, budget time.Duration) int {
	request := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nDeadline-Ms: %d\r\nRequest-Id: r-%s\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, budget.Milliseconds(), id, len(body), body)
	c.record.line("%s sends job %s to %s", c.name, id, to)
	c.conn.SetDeadline(time.Now().Add(budget))
	status, content := c.exchange(request)
	if status == 0 {
		c.record.line("%s has no answer to job %s from %s and closes the channel", c.name, id, to)
		c.conn.Close()
		return 0
	}
	c.record.line("%s: %s answers job %s: %d %s", c.name, to, id, status, content)
	return status
}

func (c *client) exchange(request string) (int, string) {
	if _, err := io.WriteString(c.conn, request); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}
