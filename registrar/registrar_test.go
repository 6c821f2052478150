package registrar

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// table is the store's table in memory.
type table struct {
	mu      sync.Mutex
	lines   map[string]Registration
	learned map[string]bool // by the process under test
	down    bool
	calls   int
	begin   time.Time
}

func newTable() *table {
	return &table{lines: map[string]Registration{}, learned: map[string]bool{}, begin: time.Now()}
}

// do runs one call to the store.
func (x *table) do(call func()) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls++
	if x.down {
		return errors.New("down")
	}
	call()
	return nil
}

// look runs f on the table's state.
func (x *table) look(f func()) {
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	f()
}

// newRegistrar returns a Registrar on x. Lonely is true until it has learned
// an address, for a process that has a line of its own always false.
func newRegistrar(x *table, self *Registration) *Registrar {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Registrar{
		Self: self, Log: logrus.NewEntry(log),
		Disconnected: func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return self == nil && len(x.learned) == 0
		},
		List: func(context.Context) (list []Registration, now int64, err error) {
			err = x.do(func() { list = slices.Collect(maps.Values(x.lines)) })
			return list, time.Since(x.begin).Milliseconds(), err
		},
		Write:  func(_ context.Context, l Registration) error { return x.do(func() { x.lines[l.Name] = l }) },
		Remove: func(_ context.Context, l Registration) error { return x.do(func() { delete(x.lines, l.Name) }) },
		AddEntries: func(addresses []string) {
			x.mu.Lock()
			defer x.mu.Unlock()
			for _, a := range addresses {
				if self == nil {
					x.learned[a] = true
				}
			}
		},
	}
}

func TestAllProcessesWereReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTable()
		x.down = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go newRegistrar(x, &Registration{Name: "entry-9", Address: "10.0.0.9:1"}).Run(ctx)
		go newRegistrar(x, nil).Run(ctx)
		time.Sleep(10 * time.Second)
		x.look(func() {
			require.Empty(t, x.learned)
			x.down = false
		})
		time.Sleep(8 * time.Second)
		before := 0
		x.look(func() {
			require.Equal(t, map[string]bool{"10.0.0.9:1": true}, x.learned)
			before = x.calls
		})
		time.Sleep(time.Minute)
		x.look(func() { require.Equal(t, before, x.calls, "nothing is asked while peers are met") })
	})
}

func TestStaleLinesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newTable()
		x.lines["gone"] = Registration{Name: "gone", Address: "10.0.0.1:1"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go newRegistrar(x, &Registration{Name: "here", Address: "10.0.0.2:1"}).Run(ctx)
		time.Sleep(time.Hour)
		x.look(func() {
			require.NotContains(t, x.lines, "gone")
			require.Contains(t, x.lines, "here", "it is renewed")
		})
	})
}
