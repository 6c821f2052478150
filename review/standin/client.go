package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is the answer to one request, or the lack of one.
type answer struct {
	status int // 0: the channel ended without an answer
	body   string
	at     time.Time
}

// client sends requests to nodes that the platform selects: its own node first, and
// another one for each retry.
type client struct {
	record *record
	nodes  []*entry
	home   int // index of the node that the platform's hash of this client selects
}

func (c *client) node(attempt int) *entry { return c.nodes[(c.home+attempt)%len(c.nodes)] }

// request is a request on its way. done receives its answer.
type request struct {
	conn net.Conn
	done chan answer
}

// send sends one request on a new channel.
func (c *client) send(attempt int, method, path, body string, patience time.Duration) (*request, error) {
	node := c.node(attempt)
	conn, err := net.Dial("tcp", node.front)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(patience))
	r, err := http.NewRequest(method, "http://"+node.front+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	c.record.printf("client: %s %s, attempt %d, to %s", method, path, attempt+1, node.name)
	if err := r.Write(conn); err != nil {
		return nil, err
	}
	pending := &request{conn, make(chan answer, 1)}
	go func() {
		a := readAnswer(conn, r)
		conn.Close()
		c.record.printf("client: answer to %s, attempt %d, from %s: %d %s", method, attempt+1, node.name, a.status, a.body)
		pending.done <- a
	}()
	return pending, nil
}

// retry sends a job again, at the next node each time and resendDelay after the answer,
// as long as the answer lets it: no response, 502 or 504.
func (c *client) retry(r *request, path, body string) {
	for attempt := 1; ; attempt++ {
		switch a := <-r.done; a.status {
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			return
		}
		time.Sleep(resendDelay)
		var err error
		if r, err = c.send(attempt, http.MethodPost, path, body, jobDeadline); err != nil {
			return
		}
	}
}

func readAnswer(conn net.Conn, r *http.Request) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return answer{0, err.Error(), time.Now()}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{0, err.Error(), time.Now()}
	}
	return answer{response.StatusCode, strings.TrimSpace(string(body)), time.Now()}
}

// reset resets the channel of the request, as seen by both ends.
func (r *request) reset() {
	r.conn.(*net.TCPConn).SetLinger(0)
	r.conn.Close()
}

// jobBody returns the body of a best-effort job of count equal tasks.
func jobBody(count int, w work) string { return requiringJobBody(count, w, "") }

// requiringJobBody returns the body of a best-effort job of count equal tasks whose
// executors must have a label, unless it is empty.
func requiringJobBody(count int, w work, label string) string {
	spec, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain fields always marshal
	}
	step := map[string]any{"count": count, "cpu": w.Millicores, "memMb": 64, "estimateMs": w.Millis}
	if label != "" {
		step["requires"] = label
	}
	body, err := json.Marshal(map[string]any{"spec": string(spec), "bestEffort": true, "steps": []any{step}})
	if err != nil {
		panic(err) // plain fields always marshal
	}
	return string(body)
}
