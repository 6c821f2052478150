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

// reloadInterval is the interval at which the settings file is read again, since
// it may change without a signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings file again on SIGHUP and every reloadInterval. It
// applies the settings that can change in a running process, and logs whether
// others have changed, which need a restart.
type reloader struct {
	path       string
	log        *logrus.Entry
	current    configurer.Process
	addEntries func(entries []string) // adds link addresses of entries
}

// run reloads the settings until ctx is canceled.
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
			r.log.Info("Process received SIGHUP and reloads its settings.")
		case <-ticker.C:
		}
		r.reload()
	}
}

func (r *reloader) reload() {
	p, err := configurer.ReadProcess(r.path)
	if err != nil {
		r.log.WithError(err).Warn("Reading the settings file failed; the process keeps its current settings.")
		return
	}
	if reflect.DeepEqual(p, r.current) {
		return
	}
	if level, err := logrus.ParseLevel(p.LogLevel); err == nil {
		r.log.Logger.SetLevel(level)
	}
	if r.addEntries != nil {
		r.addEntries(p.Entries)
	}
	previous := r.current
	r.current = p
	previous.Entries, previous.LogLevel = p.Entries, p.LogLevel
	r.log.WithField("needs-restart", !reflect.DeepEqual(previous, p)).Info("Process applied changed settings.")
}
