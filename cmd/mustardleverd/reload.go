package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mustardlever.dev/mustardlever/configurer"
)

// reloadInterval is the time between two looks at the settings file, which may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings file again on SIGHUP, and now and then. What can
// change in a running process is taken; the rest is told to need a restart.
type reloader struct {
	path  string
	log   *logrus.Entry
	known configurer.Process
	learn func(entries []string) // takes addresses of entries
}

// run watches until ctx ends.
func (r *reloader) run(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			r.log.Info("Process reads its settings again.")
		case <-ticker.C:
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	p, err := configurer.ReadProcess(r.path)
	if err != nil {
		r.log.WithError(err).Warn("Process keeps its settings, since the file cannot be used.")
		return
	}
	if reflect.DeepEqual(p, r.known) {
		return
	}
	if level, err := logrus.ParseLevel(p.LogLevel); err == nil {
		r.log.Logger.SetLevel(level)
	}
	if r.learn != nil {
		r.learn(p.Entries)
	}
	old := r.known
	r.known = p
	old.Entries, old.LogLevel = p.Entries, p.LogLevel
	r.log.WithField("needs-restart", !reflect.DeepEqual(old, p)).Info("Process takes changed settings.")
}
