package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client has received. Status 0 means that there was no complete answer.
type answer struct {
	status int
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// jobBody returns a job of one step.
func jobBody(count, millis int) string {
	return fmt.Sprintf(`{"spec":"{\"ms\":%d}","bestEffort":true,"steps":[{"count":%d,"cpu":3100,"memMb":64,"estimateMs":%d}]}`, millis, count, millis)
}

// jobOnRack returns a job of one step whose tasks require an executor of a rack.
func jobOnRack(count, millis int, rack string) string {
	return strings.Replace(jobBody(count, millis), `"cpu"`, fmt.Sprintf(`"requires":%q,"cpu"`, rack), 1)
}

// newRequest returns a request to the front address of an entry.
func newRequest(method, front, job, body string, deadline time.Duration) *http.Request {
	r, err := http.NewRequest(method, "http://"+front+pathPrefix+job, strings.NewReader(body))
	if err != nil {
		panic(err) // all parts are constants or numbers
	}
	r.Host = host
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	return r
}

// do sends a request on a channel of its own.
func do(r *http.Request, limit time.Duration) answer {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(body)}
}
