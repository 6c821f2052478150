package configurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	// changeWait is how long one request waits for a change. A connection that
	// has fallen silent is found out after it, so that it stays well below the
	// time in which a change has to be in force.
	changeWait  = 1500 * time.Millisecond
	changeSlack = 400 * time.Millisecond // of a request beyond the time it waits
	readTimeout = 700 * time.Millisecond // of a request that does not wait
	minRetry    = 100 * time.Millisecond // after a request that failed
	maxRetry    = time.Second
)

// Follower keeps up with a document that lives on the platform. Its function
// fields are the platform's calls.
type Follower struct {
	Read  func(ctx context.Context) (document []byte, at int64, err error)
	Await func(ctx context.Context, at int64, wait time.Duration) (document []byte, next int64, err error)
	Take  func(document []byte)
	Log   *logrus.Entry

	lost bool // the last request failed
}

// Run follows the document until ctx ends. It reads the document, then waits
// for changes; when a wait fails the document is read again, since a change may
// have been missed.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		at, err := f.read(ctx)
		for err == nil {
			retry = minRetry
			at, err = f.await(ctx, at)
		}
		f.note(ctx, err)
		pausedetector.Sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
}

func (f *Follower) read(ctx context.Context) (int64, error) {
	c, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	document, at, err := f.Read(c)
	return at, f.took(document, err)
}

func (f *Follower) await(ctx context.Context, at int64) (int64, error) {
	c, cancel := context.WithTimeout(ctx, changeWait+changeSlack)
	defer cancel()
	document, next, err := f.Await(c, at, changeWait)
	return max(next, at), f.took(document, err)
}

// took hands a document on, and notes that the platform answers.
func (f *Follower) took(document []byte, err error) error {
	if err != nil {
		return err
	}
	if f.lost {
		f.lost = false
		f.Log.Info("Store answers again.")
	}
	if document != nil {
		f.Take(document)
	}
	return nil
}

// note logs that the platform does not answer, once until it does again.
func (f *Follower) note(ctx context.Context, err error) {
	if f.lost || err == nil || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.Log.WithError(err).Warn("Store does not answer; the configuration in force stays.")
}
