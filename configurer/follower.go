package configurer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/pausedetector"
)

const (
	// longPollWait is how long one request waits for a change. A broken connection
	// is only noticed when the request times out, so this time must be well
	// below the time within which a change has to take effect.
	longPollWait = 1500 * time.Millisecond
	minRetry     = 100 * time.Millisecond // mean delay before the first retry of a failed request; it doubles up to maxRetry
	maxRetry     = time.Second
)

// Follower follows the changes of a document in the platform's store. Read returns
// the document and the store's version. Await waits for a change after a version; it
// returns a nil document if there was none. Apply receives each document that was
// read.
//
// Read and Await must fail when the store stops sending. Follower does not limit
// their total duration: a large document takes long over a slow link, and a
// request that is broken off has to start over.
type Follower struct {
	Read  func(ctx context.Context) (document []byte, version int64, err error)
	Await func(ctx context.Context, version int64, wait time.Duration) (document []byte, next int64, err error)
	Apply func(document []byte)
	Log   *logrus.Entry

	failing bool // the last request failed
}

// Run follows the document until ctx ends. It reads the document, then waits for
// changes. When a wait fails, Run reads the document again, since it may have
// missed a change.
func (f *Follower) Run(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		version, err := f.read(ctx)
		for err == nil {
			retry = minRetry
			version, err = f.await(ctx, version)
		}
		f.logFailure(ctx, err)
		pausedetector.Sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
}

func (f *Follower) read(ctx context.Context) (int64, error) {
	document, version, err := f.Read(ctx)
	return version, f.handleResult(document, err)
}

func (f *Follower) await(ctx context.Context, version int64) (int64, error) {
	document, next, err := f.Await(ctx, version, longPollWait)
	return max(next, version), f.handleResult(document, err)
}

// handleResult passes the document of a successful request to Apply, and logs the
// first success after a failure. It returns err.
func (f *Follower) handleResult(document []byte, err error) error {
	if err != nil {
		return err
	}
	if f.failing {
		f.failing = false
		f.Log.Info("Configuration can be read from the store again.")
	}
	if document != nil {
		f.Apply(document)
	}
	return nil
}

// logFailure logs a failed request, once until the next success.
func (f *Follower) logFailure(ctx context.Context, err error) {
	if f.failing || err == nil || ctx.Err() != nil {
		return
	}
	f.failing = true
	f.Log.WithError(err).Warn("Configuration cannot be read from the store; the current configuration stays in force.")
}
