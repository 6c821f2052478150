package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardlever.dev/mustardlever/dispatcher"
	"mustardlever.dev/mustardlever/profiler"
	"mustardlever.dev/mustardlever/sizer"
)

// replayServer is a backend server of a replay.
type replayServer struct {
	name     string
	cores    int
	speed    float64
	label    string
	failing  float64 // fraction of its runs that fail, after a tenth of their duration
	free     int     // thousandths of a core
	profiler profiler.Profiler
	entries  []int    // indexes of the entries that it is connected to
	received []uint64 // starts received, by entry
	reported []replayReport
	lastTo   int // entry that received the last report at a tick
}

// replayReport is what a server reported last to an entry.
type replayReport struct {
	free    int
	profile profiler.Profile
}

// replayKind is a kind of jobs of a replay.
type replayKind struct {
	name     string
	perSec   float64
	tasks    int
	estimate time.Duration
	cpu      int // thousandths of a core
	prefer   func(r *rand.Rand) string
}

// replay runs jobs on servers in simulated time. It is deterministic. With several entries,
// each server is connected to six of them, and reports to the entry of each run that ends
// and to one other every 20 ms, as agents do. A start that does not fit is refused.
type replay struct {
	servers      []*replayServer
	kinds        []replayKind
	remoteFactor float64
	duration     time.Duration
	settings     dispatcher.Settings
	entries      int // 0: one
	onTick       func(now time.Time)
	alwaysWait   bool // a preferred label is required
	seed         uint64

	d       []*dispatcher.Dispatcher[*replayJob] // by entry
	changed []bool                               // entries that have received something since they last dispatched
	byName  map[string]*replayServer
	events  replayEvents
	random  *rand.Rand
	number  int // of scheduled events
	runs    int // finished runs
	failed  int // failed runs

	refused int // refused starts
}

type replayJob struct {
	kind    string
	entry   int
	label   string
	arrived time.Time
	due     time.Time
	item    dispatcher.Job[*replayJob]
	pending []int // number of failures of each task that waits
	running int
	left    int
	avoided []string
	ended   bool
	success bool
	end     time.Time
}

type replayEvent struct {
	at     time.Time
	number int
	run    func(now time.Time)
}

type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayAttempts is the number of failures of one task after which its job fails.
const replayAttempts = 3

// usefulFactor is the multiple of its time until due after which a job earns nothing.
const usefulFactor = 3

func (r *replay) schedule(at time.Time, run func(time.Time)) {
	r.number++
	heap.Push(&r.events, replayEvent{at, r.number, run})
}

// play runs the replay and returns all its jobs.
func (r *replay) play() []*replayJob {
	r.random = rand.New(rand.NewPCG(r.seed, 1))
	r.entries = max(r.entries, 1)
	for range r.entries {
		d := &dispatcher.Dispatcher[*replayJob]{Settings: r.settings}
		d.Init(startTime)
		r.d = append(r.d, d)
	}
	r.changed = make([]bool, r.entries)
	r.byName = make(map[string]*replayServer)
	for i, s := range r.servers {
		r.addServer(i, s)
	}
	var jobs []*replayJob
	arrivals := rand.New(rand.NewPCG(r.seed, 2))
	for _, k := range r.kinds {
		for at := 0.0; ; {
			at += arrivals.ExpFloat64() / k.perSec
			if at > r.duration.Seconds() {
				break
			}
			j := r.newJob(k, startTime.Add(time.Duration(at*float64(time.Second))), arrivals)
			jobs = append(jobs, j)
			r.schedule(j.arrived, func(now time.Time) { r.enqueue(j) })
			r.schedule(j.arrived.Add(usefulFactor*j.due.Sub(j.arrived)), func(now time.Time) { r.end(now, j, false) })
		}
	}
	for t := startTime; t.Before(startTime.Add(r.duration + 6*time.Second)); t = t.Add(20 * time.Millisecond) {
		r.schedule(t, func(now time.Time) { r.tick(now) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		e.run(e.at)
		for i := range r.d {
			if r.changed[i] {
				r.changed[i] = false
				r.dispatch(e.at, i)
			}
		}
	}
	return jobs
}

// addServer connects a server, the ith one, to its entries.
func (r *replay) addServer(i int, s *replayServer) {
	s.free = 1000 * s.cores
	s.received, s.reported = make([]uint64, r.entries), make([]replayReport, r.entries)
	r.byName[s.name] = s
	for k := range min(r.entries, 6) {
		e := (7*i + k) % r.entries
		s.entries = append(s.entries, e)
		r.d[e].AddAgent(s.name, sizer.Slots(s.cores), []string{s.label})
		r.report(s, e)
	}
}

func (r *replay) newJob(k replayKind, at time.Time, arrivals *rand.Rand) *replayJob {
	j := &replayJob{kind: k.name, entry: r.chooseEntry(arrivals), arrived: at, pending: make([]int, k.tasks), left: k.tasks, due: at.Add(k.estimate*8/5 + 60*time.Millisecond)}
	if k.prefer != nil {
		j.label = k.prefer(arrivals)
	}
	j.item = dispatcher.Job[*replayJob]{Value: j, Arrived: at, Due: j.due, Need: sizer.Resources{CPU: k.cpu}, Estimate: k.estimate, PreferredLabel: j.label}
	if r.alwaysWait {
		j.item.RequiredLabel = j.label
	}
	return j
}

// chooseEntry returns the entry that receives the next job.
func (r *replay) chooseEntry(arrivals *rand.Rand) int {
	if r.entries == 1 {
		return 0
	}
	return arrivals.IntN(r.entries)
}

func (r *replay) report(s *replayServer, entry int) {
	l := dispatcher.Load{Free: sizer.Resources{CPU: s.free}, Received: s.received[entry]}
	p := s.profiler.Profile()
	if p != s.reported[entry].profile {
		l.Profile = &p
	}
	s.reported[entry] = replayReport{s.free, p}
	r.d[entry].Report(s.name, l)
	r.changed[entry] = true
}

func (r *replay) tick(now time.Time) {
	if r.onTick != nil {
		r.onTick(now)
	}
	for i, d := range r.d {
		d.Tick(now)
		r.changed[i] = true
	}
	for _, s := range r.servers {
		if now.Sub(startTime)%time.Second == 0 { // as agents do
			s.profiler.Tick(now)
		}
		for range s.entries {
			s.lastTo = (s.lastTo + 1) % len(s.entries)
			if e := s.entries[s.lastTo]; s.reported[e] != (replayReport{s.free, s.profiler.Profile()}) {
				r.report(s, e)
				break
			}
		}
	}
}

// counts returns the sums over all entries.
func (r *replay) counts() (l dispatcher.WaitCounts, p dispatcher.ProfileCounts) {
	for _, d := range r.d {
		a, b := d.LocalityCounts(), d.ProfileCounts()
		l.Waiting, l.Begun, l.PaidOff, l.GivenUp = l.Waiting+a.Waiting, l.Begun+a.Begun, l.PaidOff+a.PaidOff, l.GivenUp+a.GivenUp
		p.Known, p.InUse, p.Excluded = p.Known+b.Known, p.InUse+b.InUse, p.Excluded+b.Excluded
		q, s := &p.Retries, b.Retries
		q.Waiting, q.Begun, q.PaidOff, q.GivenUp = q.Waiting+s.Waiting, q.Begun+s.Begun, q.PaidOff+s.PaidOff, q.GivenUp+s.GivenUp
	}
	return l, p
}

// enqueue queues the job's waiting tasks, or updates them.
func (r *replay) enqueue(j *replayJob) {
	j.item.Failed, j.item.AttemptsLeft = 0, replayAttempts
	for _, failures := range j.pending {
		if failures > 0 {
			j.item.Failed++
			j.item.AttemptsLeft = min(j.item.AttemptsLeft, replayAttempts-failures)
		}
	}
	r.d[j.entry].Add(&j.item, len(j.pending), len(j.pending)+j.running)
	r.changed[j.entry] = true
}

// takePending removes the waiting task to start next and returns its number of failures.
func (r *replay) takePending(j *replayJob) int {
	i := 0
	if r.settings.ServerProfiles {
		i = max(slices.IndexFunc(j.pending, func(failures int) bool { return failures > 0 == j.item.ForFailed }), 0)
	}
	failures := j.pending[i]
	j.pending = slices.Delete(j.pending, i, i+1)
	return failures
}

func (r *replay) eligible(j *replayJob, name string) bool { return !slices.Contains(j.avoided, name) }

func (r *replay) dispatch(now time.Time, entry int) {
	for {
		item, name, ok := r.d[entry].Next(now, r.eligible)
		if !ok {
			return
		}
		j, s := item.Value, r.byName[name]
		failures := r.takePending(j)
		j.running++
		s.received[entry]++
		if s.free < item.Need.CPU {
			r.refused++
			j.running--
			j.pending = append(j.pending, failures)
			r.report(s, entry)
			r.d[entry].RecordOutcome(s.name)
			r.enqueue(j)
			continue
		}
		s.free -= item.Need.CPU
		seconds := item.Estimate.Seconds() / s.speed * (0.9 + 0.2*r.random.Float64())
		if j.label != "" && j.label != s.label {
			seconds *= r.remoteFactor
		}
		fails := r.random.Float64() < s.failing
		if fails {
			seconds /= 10
		}
		r.schedule(now.Add(time.Duration(seconds*float64(time.Second))), func(now time.Time) { r.finish(now, j, s, seconds, failures, fails) })
	}
}

func (r *replay) finish(now time.Time, j *replayJob, s *replayServer, seconds float64, failures int, fails bool) {
	s.free += j.item.Need.CPU
	r.runs++
	if fails {
		s.profiler.RecordFailure(0)
	} else {
		s.profiler.RecordSuccess(0, r.d[j.entry].EstimateAt(&j.item, s.name), time.Duration(seconds*float64(time.Second)))
	}
	r.report(s, j.entry)
	r.d[j.entry].RecordOutcome(s.name)
	j.running--
	if fails {
		r.failed++
		r.d[j.entry].RecordFailure(now, s.name)
	} else {
		r.d[j.entry].RecordDuration(s.name, r.d[j.entry].EstimateAt(&j.item, s.name), time.Duration(seconds*float64(time.Second)))
	}
	switch {
	case j.ended:
		return
	case fails:
		if len(j.avoided) < 2 && !slices.Contains(j.avoided, s.name) {
			j.avoided = append(j.avoided, s.name)
		}
		if failures+1 >= replayAttempts {
			r.end(now, j, false)
			return
		}
		j.pending = append(j.pending, failures+1)
	default:
		j.left--
	}
	if j.left == 0 {
		r.end(now, j, true)
		return
	}
	r.enqueue(j)
}

func (r *replay) end(now time.Time, j *replayJob, success bool) {
	if j.ended {
		return
	}
	j.ended, j.success, j.end = true, success, now
	r.d[j.entry].Remove(&j.item)
	r.changed[j.entry] = true
}

// replaySummary describes the completion of a group of jobs. Jobs that did not complete
// count with the time at which they ended.
type replaySummary struct {
	jobs    int
	mean    time.Duration
	p99     time.Duration
	inTime  float64 // fraction that met the due time
	worth   float64 // mean of 1 for a job in time, 0.2 for a late one, 0 for one that did not complete
	refused float64
}

func (s replaySummary) String() string {
	return fmt.Sprintf("jobs %5d mean %4d ms p99 %4d ms in time %.3f worth %.3f not completed %.3f", s.jobs, s.mean.Milliseconds(), s.p99.Milliseconds(), s.inTime, s.worth, s.refused)
}

func summarize(jobs []*replayJob, include func(*replayJob) bool) replaySummary {
	var times []time.Duration
	var s replaySummary
	for _, j := range jobs {
		if !include(j) {
			continue
		}
		times = append(times, j.end.Sub(j.arrived))
		switch {
		case !j.success:
			s.refused++
		case j.end.After(j.due):
			s.worth += 0.2
		default:
			s.worth++
			s.inTime++
		}
	}
	s.jobs = len(times)
	if s.jobs == 0 {
		return s
	}
	slices.Sort(times)
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	n := float64(s.jobs)
	s.mean, s.p99 = sum/time.Duration(s.jobs), times[(len(times)-1)*99/100]
	s.inTime, s.worth, s.refused = s.inTime/n, s.worth/n, s.refused/n
	return s
}

// rackServers returns servers of four cores in racks of five.
func rackServers(racks int, speeds ...float64) []*replayServer {
	var servers []*replayServer
	for i := range 5 * racks {
		servers = append(servers, &replayServer{name: fmt.Sprintf("server-%02d", i), cores: 4, speed: speeds[i%len(speeds)], label: fmt.Sprintf("rack-%d", i/5)})
	}
	return servers
}

// preferHotRack returns rack 0 for half of the jobs, and other racks for the rest.
func preferHotRack(racks int) func(*rand.Rand) string {
	return func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "rack-0"
		}
		return fmt.Sprintf("rack-%d", 1+r.IntN(racks-1))
	}
}

const replayRacks = 6

// hotRackReplay has 30 servers in 6 racks. A kind with preferred racks, half of them rack
// 0, and two kinds without use the given multiple of the capacity, if all run locally.
func hotRackReplay(load, remoteFactor float64, speeds ...float64) *replay {
	work := func(share float64, tasks int, seconds float64, cores float64) float64 {
		capacity := 0.0
		for i := range 5 * replayRacks {
			capacity += 4 * speeds[i%len(speeds)]
		}
		return load * share * capacity / (float64(tasks) * seconds * cores)
	}
	return &replay{
		servers: rackServers(replayRacks, speeds...), remoteFactor: remoteFactor, duration: 10 * time.Second, seed: 7,
		kinds: []replayKind{
			{name: "racks", perSec: work(0.3, 2, 0.2, 1.4), tasks: 2, estimate: 200 * time.Millisecond, cpu: 1400, prefer: preferHotRack(replayRacks)},
			{name: "short", perSec: work(0.3, 8, 0.06, 1), tasks: 8, estimate: 60 * time.Millisecond, cpu: 1000},
			{name: "long", perSec: work(0.4, 4, 0.9, 1), tasks: 4, estimate: 900 * time.Millisecond, cpu: 1000},
		},
	}
}

func (r *replay) withPolicy(policy string) *replay {
	r.settings.RemoteFactor = r.remoteFactor
	switch policy {
	case "always":
		r.alwaysWait = true
	case "locality-wait":
		r.settings.LocalityWait = true
	}
	return r
}

func hotRack(j *replayJob) bool    { return j.label == "rack-0" }
func otherRacks(j *replayJob) bool { return j.label != "" && j.label != "rack-0" }
func noRack(j *replayJob) bool     { return j.label == "" }
func anyJob(*replayJob) bool       { return true }

// Half of one kind's jobs want one rack, beside kinds without a preference. Without waits
// (as before), they take the capacity of the neighbors for several times as long. With
// unconditional waits, the jobs of the hot rack end later than necessary while other racks
// have free capacity. The bounds are those of the design: while the load is below the
// capacity, all jobs together end as early as under the better of the two policies, within
// 5%; neighbors end no later than without waits under any load.
func TestHotRack(t *testing.T) {
	for _, speeds := range [][]float64{{1}, {0.6, 1, 1.6}} {
		for _, factor := range []float64{2, 3} {
			for _, load := range []float64{0.6, 0.8, 0.95} {
				t.Run(fmt.Sprintf("speeds-%d/factor-%v/load-%v", len(speeds), factor, load), func(t *testing.T) {
					all, neighbors := comparePolicies(t, func() *replay { return hotRackReplay(load, factor, speeds...) })
					requireNoWorse(t, all, neighbors)
					if load < 0.9 {
						require.LessOrEqual(t, all["locality-wait"].mean.Seconds(), 1.05*min(all["always"].mean, all["never"].mean).Seconds())
					}
				})
			}
		}
	}
}

// Ten entries share the servers, as at customer one: what an entry knows of a rack is out of
// date, and others take the capacity that its jobs wait for.
func TestHotRackWithTenEntries(t *testing.T) {
	for _, factor := range []float64{2, 3} {
		for _, load := range []float64{0.6, 0.8, 0.95} {
			t.Run(fmt.Sprintf("factor-%v/load-%v", factor, load), func(t *testing.T) {
				all, neighbors := comparePolicies(t, func() *replay {
					r := hotRackReplay(load, factor, 0.6, 1, 1.6)
					r.entries = 10
					return r
				})
				requireNoWorse(t, all, neighbors)
			})
		}
	}
}

// comparePolicies plays a replay without waits, with unconditional waits and with the
// setting. It returns the summaries of all jobs and of those that do not want the hot rack.
func comparePolicies(t *testing.T, newReplay func() *replay) (all, neighbors map[string]replaySummary) {
	all, neighbors = make(map[string]replaySummary), make(map[string]replaySummary)
	for _, policy := range []string{"never", "always", "locality-wait"} {
		r := newReplay().withPolicy(policy)
		jobs := r.play()
		waits, _ := r.counts()
		t.Logf("%-13s hot rack     %v", policy, summarize(jobs, hotRack))
		t.Logf("%-13s other racks  %v", policy, summarize(jobs, otherRacks))
		t.Logf("%-13s no rack      %v", policy, summarize(jobs, noRack))
		t.Logf("%-13s all          %v; waits %+v", policy, summarize(jobs, anyJob), waits)
		all[policy], neighbors[policy] = summarize(jobs, anyJob), summarize(jobs, func(j *replayJob) bool { return !hotRack(j) })
		require.Zero(t, waits.Waiting)
	}
	return all, neighbors
}

// requireNoWorse checks that nothing is worse with the setting than without waits.
func requireNoWorse(t *testing.T, all, neighbors map[string]replaySummary) {
	require.LessOrEqual(t, neighbors["locality-wait"].mean, neighbors["never"].mean)
	require.GreaterOrEqual(t, neighbors["locality-wait"].worth, neighbors["never"].worth)
	require.LessOrEqual(t, all["locality-wait"].mean, all["never"].mean)
	require.GreaterOrEqual(t, all["locality-wait"].worth, all["never"].worth)
}

// Jobs without a preferred label are decided as before, with the setting or without.
func TestJobsWithoutPreferenceAreDecidedAsBefore(t *testing.T) {
	var ends [2][]time.Time
	for i, policy := range []string{"never", "locality-wait"} {
		r := hotRackReplay(0.95, 3, 0.6, 1, 1.6).withPolicy(policy)
		r.kinds[0].prefer, r.duration = nil, 5*time.Second
		for _, j := range r.play() {
			ends[i] = append(ends[i], j.end)
		}
	}
	require.Equal(t, ends[0], ends[1])
}

// failingReplay has 59 servers, of which the given number fail a part of their tasks.
func failingReplay(failingServers int, fraction, load float64) *replay {
	r := &replay{duration: 10 * time.Second, seed: 11, remoteFactor: 1.5}
	for i := range 59 {
		s := &replayServer{name: fmt.Sprintf("server-%02d", i), cores: 4, speed: 1}
		if i < failingServers {
			s.failing = fraction
		}
		r.servers = append(r.servers, s)
	}
	capacity := 4 * 59.0
	r.kinds = []replayKind{
		{name: "short", perSec: load * 0.4 * capacity / (8 * 0.06), tasks: 8, estimate: 60 * time.Millisecond, cpu: 1000},
		{name: "medium", perSec: load * 0.3 * capacity / (2 * 0.2 * 1.4), tasks: 2, estimate: 200 * time.Millisecond, cpu: 1400},
		{name: "long", perSec: load * 0.3 * capacity / (4 * 0.9), tasks: 4, estimate: 900 * time.Millisecond, cpu: 1000},
	}
	return r
}

// 46 of 59 servers fail a part of their tasks, the case of hard-load.md: before, many jobs
// used up the attempts of a task on servers that fail while 13 servers were healthy. At low
// load at most half as many jobs may do so now; under full load, where the healthy servers
// cannot take all failed tasks, no more than before. No fewer jobs may be in time.
func TestManyServersFailTasks(t *testing.T) {
	for _, load := range []float64{0.3, 0.7} {
		for _, fraction := range []float64{0.3, 0.6, 0.9} {
			t.Run(fmt.Sprintf("load-%v/failing-%v", load, fraction), func(t *testing.T) {
				requireFewerFailedJobs(t, 1, load, fraction)
			})
		}
	}
}

// As before, with ten entries, each of which sees a tenth of the runs.
func TestManyServersFailTasksOfTenEntries(t *testing.T) {
	for _, load := range []float64{0.3, 0.7} {
		t.Run(fmt.Sprintf("load-%v", load), func(t *testing.T) { requireFewerFailedJobs(t, 10, load, 0.5) })
	}
}

func requireFewerFailedJobs(t *testing.T, entries int, load, fraction float64) {
	var results [2]replaySummary
	for i, profiles := range []bool{false, true} {
		r := failingReplay(46, fraction, load)
		r.settings.ServerProfiles, r.entries = profiles, entries
		results[i] = summarize(r.play(), anyJob)
		_, counts := r.counts()
		t.Logf("profiles %-5v runs %d, failed %d: %v; %+v", profiles, r.runs, r.failed, results[i], counts)
		require.Zero(t, counts.Retries.Waiting)
	}
	before, now := results[0], results[1]
	require.GreaterOrEqual(t, now.inTime, before.inTime)
	if load < 0.5 {
		require.LessOrEqual(t, now.refused, before.refused/2)
	} else {
		require.LessOrEqual(t, now.refused, before.refused)
	}
}

// When no server or only some fail tasks, profiles must not make anything worse. The
// resolution of five seeds is a hundredth: one seed alone varies by two, since tasks of 1.4
// cores find little unfragmented capacity.
func TestSomeServersFailTasks(t *testing.T) {
	const seeds = 5
	for _, failing := range []int{0, 3, 20} {
		for _, load := range []float64{0.5, 0.7} {
			var inTime [2]float64
			var failed [2]int
			for seed := range uint64(seeds) {
				for i, profiles := range []bool{false, true} {
					r := failingReplay(failing, 0.5, load)
					r.settings.ServerProfiles, r.seed, r.duration = profiles, seed, 3*time.Second
					inTime[i] += summarize(r.play(), anyJob).inTime / seeds
					failed[i] += r.failed
				}
			}
			t.Logf("%d servers fail, load %v: in time %.3f without profiles, %.3f with; failed runs %v", failing, load, inTime[0], inTime[1], failed)
			require.GreaterOrEqual(t, inTime[1], inTime[0]-0.01)
		}
	}
}

// A server that is added under full load must be used within a second, and not be loaded
// beyond its capacity although ten entries learn of it. Its profile tells all of them soon
// that it is slow.
func TestAddedServerIsUsedAtOnce(t *testing.T) {
	r := failingReplay(0, 0, 1)
	r.entries, r.duration, r.settings.ServerProfiles = 10, 3*time.Second, true
	added := &replayServer{name: "added", cores: 4, speed: 0.6}
	var runs, known int
	r.onTick = func(now time.Time) {
		switch now.Sub(startTime) {
		case time.Second:
			r.addServer(len(r.servers), added)
			r.servers = append(r.servers, added)
		case 2 * time.Second:
			for _, n := range added.received {
				runs += int(n)
			}
			for _, e := range added.entries {
				if s := r.d[e].View(now, "added").Slowness; s > 1.3 && s < 2 {
					known++
				}
			}
		}
		require.GreaterOrEqual(t, added.free, 0)
	}
	r.play()
	require.Greater(t, runs, 20)
	require.Equal(t, 6, known, "entries that know its speed")
}
