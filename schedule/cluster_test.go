package schedule

import (
	"encoding/json"
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// cluster applies records to a state with a simulated clock and simulated
// workers.
type cluster struct {
	t            rapid.TB
	state        *state.State
	scheduler    *Scheduler
	seq          uint64
	at           int64
	runTimes     map[string]int64 // remaining run times by job, in milliseconds
	faulty       map[uint32]bool  // workers that fail every task
	countedUntil map[string]int64 // start time of the last run whose progress was taken off runTimes, by job
	proposed     []record.Record  // records that the scheduler proposed
}

func newCluster(t rapid.TB, domains, racks, workers, gpus int) *cluster {
	c := &cluster{t: t, state: &state.State{}, at: 1_800_000_000_000, runTimes: map[string]int64{}, faulty: map[uint32]bool{}, countedUntil: map[string]int64{}}
	for d := range domains {
		for r := range racks {
			body := state.RackBody{Domain: fmt.Sprintf("d%d", d)}
			for w := range workers {
				body.Workers = append(body.Workers, state.WorkerBody{Name: fmt.Sprintf("d%d-r%d-w%d", d, r, w), GPUs: gpus})
			}
			c.must(record.KindPublish, record.Publish{Name: fmt.Sprintf("rack/d%d-r%d", d, r), Body: c.json(body)})
		}
	}
	c.scheduler = &Scheduler{Index: placement.NewIndex(c.state)}
	return c
}

func (c *cluster) json(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

func (c *cluster) applyRecords(recs ...record.Record) []state.Decision {
	c.t.Helper()
	c.seq++
	out, err := c.state.Apply(c.state.Offset, &record.Batch{Writer: "test", Seq: c.seq, At: c.at, Records: recs})
	if err != nil {
		c.t.Fatal(err)
	}
	return out
}

func (c *cluster) apply(kind record.Kind, body any) state.Decision {
	c.t.Helper()
	r, err := record.New(kind, "", body)
	if err != nil {
		c.t.Fatal(err)
	}
	return c.applyRecords(r)[0]
}

func (c *cluster) must(kind record.Kind, body any) {
	c.t.Helper()
	if o := c.apply(kind, body); !o.Accepted() {
		c.t.Fatalf("%s refused: %s: %s", kind, o.Reason, o.Detail)
	}
}

func (c *cluster) account(name string, body state.AccountBody) {
	c.t.Helper()
	var guarantees []state.Guarantee
	for _, g := range body.Guarantees {
		sh, err := shape.Parse(g.Shape)
		if err != nil {
			c.t.Fatal(err)
		}
		guarantees = append(guarantees, state.Guarantee{Shape: sh, Count: g.Count})
	}
	blocks, err := placement.PlanBlocks(c.state, name, guarantees)
	if err != nil {
		c.t.Fatal(err)
	}
	c.must(record.KindPublish, record.Publish{Name: "account/" + name, Body: c.json(body), Blocks: blocks})
}

// submit submits a job that runs for the given number of milliseconds.
func (c *cluster) submit(id, account, sh string, run int64, change func(*record.Submit)) *state.Job {
	c.t.Helper()
	v, err := shape.Parse(sh)
	if err != nil {
		c.t.Fatal(err)
	}
	sub := record.Submit{Job: id, Account: account, Kind: sh, Shape: v, ExpectedMs: run}
	if change != nil {
		change(&sub)
	}
	c.runTimes[id] = run
	c.must(record.KindSubmit, sub)
	return c.state.Jobs[id]
}

// round applies the records of one call of Decide, each of which the state has
// to accept, and then runs the workers, which starts the placed jobs.
func (c *cluster) round() []record.Record {
	c.t.Helper()
	recs := c.scheduler.Decide(c.state, c.at)
	c.proposed = append(c.proposed, recs...)
	for _, r := range recs {
		if o := c.applyRecords(r)[0]; !o.Accepted() {
			c.t.Fatalf("%s %s refused: %s: %s", r.Kind, r.ID, o.Reason, o.Detail)
		}
		if err := c.state.Check(); err != nil {
			c.t.Fatalf("after %s: %v", r.ID, err)
		}
	}
	c.runWorkers()
	return recs
}

// runWorkers simulates the workers: stopping tasks stop, tasks on faulty workers
// fail, jobs whose run time has passed finish, and gangs in phase holding start.
func (c *cluster) runWorkers() {
	for _, w := range c.state.Workers {
		var results []record.Result
		for _, t := range w.Tasks {
			ended := t.Phase == state.TaskRun && c.at-t.Job.StartedAt >= c.runTimes[t.Job.ID]
			switch {
			case t.Phase == state.TaskStopping:
				c.checkpoint(t)
				results = append(results, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunStopped})
			case t.Phase == state.TaskRun && c.faulty[w.Index]:
				results = append(results, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunFailed})
			case ended:
				results = append(results, record.Result{Job: t.Job.ID, Token: t.Token, Outcome: record.RunDone})
			}
		}
		if len(results) > 0 {
			c.apply(record.KindReport, record.Report{Worker: w.Index, Results: results})
		}
	}
	for _, j := range c.jobs() {
		if j.Phase == state.JobHolding {
			c.must(record.KindStart, record.Start{Job: j.ID, Token: j.Token})
		}
	}
}

// checkpoint takes the completed part off the run time of a job that resumes
// from its checkpoint.
func (c *cluster) checkpoint(t *state.Task) {
	j := t.Job
	if j.Spec.Checkpoint && j.StartedAt > c.countedUntil[j.ID] && t.Token == j.Token {
		c.runTimes[j.ID] -= c.at - j.StartedAt
		c.countedUntil[j.ID] = j.StartedAt
	}
}

// jobs returns all jobs, the oldest first.
func (c *cluster) jobs() []*state.Job {
	return sortedJobs(c.state, func(*state.Job) bool { return true })
}

func sortedJobs(s *state.State, keep func(*state.Job) bool) []*state.Job {
	var out []*state.Job
	for _, j := range s.Jobs {
		if keep(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, placement.CompareAge)
	return out
}
