package registrar

import (
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// fakeStore is a table of registrations in memory, and the addresses that the
// process under test was given.
type fakeStore struct {
	mu            sync.Mutex
	registrations map[string]Registration
	learned       map[string]bool // addresses passed to AddEntries
	down          bool
	calls         int
	createdAt     time.Time // origin of the store's clock
}

func newFakeStore() *fakeStore {
	return &fakeStore{registrations: map[string]Registration{}, learned: map[string]bool{}, createdAt: time.Now()}
}

// execute applies one call to the store, or fails while the store is down.
func (s *fakeStore) execute(call func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return errors.New("the store is down")
	}
	call()
	return nil
}

// inspect calls f under the lock, once all other goroutines are blocked.
func (s *fakeStore) inspect(f func()) {
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// newRegistrar returns a Registrar on s. Disconnected reports true until the process
// has learned an address; for a registered process it always reports false.
func newRegistrar(s *fakeStore, self *Registration) *Registrar {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Registrar{
		Self: self, Log: logrus.NewEntry(log),
		Disconnected: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return self == nil && len(s.learned) == 0
		},
		List: func(context.Context) (list []Registration, now int64, err error) {
			err = s.execute(func() { list = slices.Collect(maps.Values(s.registrations)) })
			return list, time.Since(s.createdAt).Milliseconds(), err
		},
		Write: func(_ context.Context, e Registration) error {
			return s.execute(func() { s.registrations[e.Name] = e })
		},
		Remove: func(_ context.Context, e Registration) error {
			return s.execute(func() { delete(s.registrations, e.Name) })
		},
		AddEntries: func(addresses []string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, a := range addresses {
				if self == nil {
					s.learned[a] = true
				}
			}
		},
	}
}

func TestEntriesAreFoundAfterAllProcessesWereReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.down = true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go newRegistrar(s, &Registration{Name: "entry-9", Address: "10.0.0.9:1"}).Run(ctx)
		go newRegistrar(s, nil).Run(ctx)
		time.Sleep(10 * time.Second)
		s.inspect(func() {
			require.Empty(t, s.learned)
			s.down = false
		})
		time.Sleep(8 * time.Second)
		before := 0
		s.inspect(func() {
			require.Equal(t, map[string]bool{"10.0.0.9:1": true}, s.learned)
			before = s.calls
		})
		time.Sleep(time.Minute)
		s.inspect(func() { require.Equal(t, before, s.calls, "the store is not called while an entry is connected") })
	})
}

func TestStaleRegistrationsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.registrations["gone"] = Registration{Name: "gone", Address: "10.0.0.1:1"}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go newRegistrar(s, &Registration{Name: "here", Address: "10.0.0.2:1"}).Run(ctx)
		time.Sleep(time.Hour)
		s.inspect(func() {
			require.NotContains(t, s.registrations, "gone")
			require.Contains(t, s.registrations, "here", "it has been renewed")
		})
	})
}

// The age of a registration with a renewal time out of range overflows.
func TestRegistrationRenewedAtImpossibleTimeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour)
		s := newFakeStore()
		s.createdAt = s.createdAt.Add(-time.Hour)
		now := time.Hour.Milliseconds()
		for name, renewed := range map[string]int64{
			"lowest": math.MinInt64, "negative": -1, "overflow": math.MinInt64 + now + 1, "highest": math.MaxInt64, "tomorrow": 25 * now, "valid": now - 1000,
		} {
			s.registrations[name] = Registration{Name: name, Address: name, RenewedMillis: renewed}
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go newRegistrar(s, nil).Run(ctx)
		time.Sleep(time.Second)
		s.inspect(func() { require.Equal(t, map[string]bool{"valid": true}, s.learned) })
		go newRegistrar(s, &Registration{Name: "here", Address: "10.0.0.2:1"}).Run(ctx)
		time.Sleep(time.Second)
		s.inspect(func() {
			require.ElementsMatch(t, []string{"valid", "here"}, slices.Collect(maps.Keys(s.registrations)), "the others would be read for ever")
		})
	})
}

// Rows left by another writer must neither use up the store's rate limit nor fill the
// log when they cannot be removed.
func TestRemovalOfManyRegistrationsIsBounded(t *testing.T) {
	for _, failing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore()
			for i := range 10000 {
				name := "gone-" + strconv.Itoa(i)
				s.registrations[name] = Registration{Name: name, Address: "10.0.0.1:1", RenewedMillis: -time.Hour.Milliseconds()}
			}
			r := newRegistrar(s, &Registration{Name: "here", Address: "10.0.0.2:1"})
			log, hook := test.NewNullLogger()
			r.Log = logrus.NewEntry(log)
			if failing {
				r.Remove = func(context.Context, Registration) error {
					return s.execute(func() { s.down = true })
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go r.Run(ctx)
			time.Sleep(5 * time.Minute)
			s.inspect(func() {
				require.Contains(t, s.registrations, "here")
				require.LessOrEqual(t, s.calls, 30)
				require.LessOrEqual(t, len(hook.AllEntries()), 1)
			})
		})
	}
}
