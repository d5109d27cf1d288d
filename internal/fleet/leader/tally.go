package leader

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// tallyInterval is the time between two summaries in the log.
const tallyInterval = 5 * time.Second

// tally adds up what the leader did since the last summary in the log.
type tally struct {
	since   time.Time
	runs    map[runKind]runCount
	jobs    map[int]int // jobs that ended as done, by priority
	rounds  int
	longest time.Duration // of a planning round
	busy    time.Duration // of all planning rounds

	headroom int // most workers that were kept free for the most urgent work
}

// runKind is what the tally tells runs apart by.
type runKind struct {
	priority int
	end      string // outcome, or the cause of the stop
}

// runCount counts ended runs of one task each.
type runCount struct {
	runs     int
	worked   float64 // core-seconds for which they ran
	discards float64 // of these, core-seconds of work that is done again
}

// newTally returns an empty tally.
func newTally(now time.Time) *tally {
	return &tally{since: now, runs: make(map[runKind]runCount), jobs: make(map[int]int)}
}

// addRun counts a run that has ended now, and returns its kind.
func (t *tally) addRun(js *ledger.JobState, n *run, outcome ledger.RunOutcome, now time.Time) runKind {
	step := &js.Job.Steps[n.unit.Step]
	kind := runKind{js.Job.Priority, string(outcome)}
	if outcome == ledger.Stopped && n.stopCause != "" {
		kind.end = n.stopCause
	}
	cores := taskNeed(step).CoreEquivalents()
	c := t.runs[kind]
	c.runs++
	c.worked += cores * now.Sub(n.startedAt).Seconds()
	if outcome != ledger.Done {
		c.discards += cores * float64(unsavedMs(n, step, now)) / 1000
	}
	t.runs[kind] = c
	return kind
}

// addRound counts a planning round.
func (t *tally) addRound(took time.Duration) {
	t.rounds++
	t.busy += took
	t.longest = max(t.longest, took)
}

// queueCount counts the unfinished jobs and the units of one priority.
type queueCount struct {
	jobs, begun   int
	late, expired int // jobs that miss their objective, or the time until which they are of use
	waiting       int // units that are ready
	running       int // units with a run
}

// countQueues counts the unfinished jobs by priority. The caller holds the feed's lock
// and l.mu.
func (l *Leader) countQueues(s *ledger.State, now int64) map[int]queueCount {
	out := make(map[int]queueCount)
	for _, js := range s.Jobs {
		if js.Phase.Final() {
			continue
		}
		c := out[js.Job.Priority]
		c.jobs++
		if js.Phase == ledger.Running {
			c.begun++
		}
		objective := js.Job.Objective()
		if slices.ContainsFunc(js.Job.Steps, func(s ledger.Step) bool { return s.LongRunning }) {
			objective = math.MaxInt64 / ledger.MaxLateness // it lasts, and is never late
		}
		if age := now - max(js.Job.AcceptedAt, js.Job.Due(0)); age > ledger.MaxLateness*objective {
			c.expired++
		} else if age > objective {
			c.late++
		}
		for i := range js.Units {
			unit := js.Units[i].ID
			if len(l.unitRuns[unit]) > 0 {
				c.running++
			} else if l.waits[unit] != nil {
				c.waiting++
			}
		}
		out[js.Job.Priority] = c
	}
	return out
}

// summarize logs the tally once in tallyInterval and begins a new one. The caller
// holds the feed's lock and l.mu.
func (l *Leader) summarize(s *ledger.State, now time.Time) {
	t := l.tally
	if now.Sub(t.since) < tallyInterval {
		return
	}
	l.tally = newTally(now)
	l.forgetBegun(s)
	l.Logger.Info("planning summary", zap.Int("rounds", t.rounds), zap.Duration("longest", t.longest), zap.Duration("busy", t.busy), zap.Duration("time", now.Sub(t.since)), zap.Int("headroom", t.headroom))
	queues := l.countQueues(s, l.now())
	for kind := range t.runs {
		if _, ok := queues[kind.priority]; !ok {
			queues[kind.priority] = queueCount{}
		}
	}
	for _, p := range slices.Sorted(maps.Keys(queues)) {
		c := queues[p]
		l.Logger.Info("queue summary", zap.Int("priority", p), zap.Int("jobs", c.jobs), zap.Int("begun", c.begun), zap.Int("late", c.late), zap.Int("expired", c.expired),
			zap.Int("done", t.jobs[p]), zap.Int("waiting", c.waiting), zap.Int("running", c.running), zap.Strings("runs", t.describeRuns(p)))
	}
}

// describeRuns describes the ended runs of a priority by how they ended, each with
// their number, the core-seconds for which they ran and those that are done again.
func (t *tally) describeRuns(priority int) []string {
	var out []string
	for kind, c := range t.runs {
		if kind.priority == priority {
			out = append(out, kind.end+" "+strconv.Itoa(c.runs)+" "+strconv.FormatFloat(c.worked, 'f', 0, 64)+" "+strconv.FormatFloat(c.discards, 'f', 0, 64))
		}
	}
	slices.Sort(out)
	return out
}

// countEnd counts a run whose end is stored. The caller holds the feed's lock and
// l.mu.
func (l *Leader) countEnd(s *ledger.State, n *run, outcome ledger.RunOutcome) {
	js := s.Jobs[n.unit.Job]
	if js == nil {
		return
	}
	kind := l.tally.addRun(js, n, outcome, time.Now())
	if l.Metrics != nil {
		l.Metrics.Count("runs." + strconv.Itoa(kind.priority) + "." + kind.end)
	}
}

// countRound counts a planning round.
func (l *Leader) countRound(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tally.addRound(took)
	if l.Metrics != nil {
		l.Metrics.Observe("plan", took)
	}
}
