package trace

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"jasminelane.example/lane/placement"
	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// startUnixMs is the Unix time in milliseconds at which every replay starts.
const startUnixMs = 1_796_361_383_000

// Delays and intervals of the simulation, in milliseconds.
const (
	syncDelay       = 2    // until a worker knows of a change to its grants and its response has arrived
	tickInterval    = 5000 // interval of the scheduler and the lease keepers when nothing changes; a third of a lease
	holdTimeout     = 2000 // time after the grace period until a placement is aborted that not all workers hold
	checkpointDelay = 400  // duration of a checkpoint
	rejoinDelay     = 1000 // from the end of an outage to the first append; the maximum of the random delay in the design
)

// Decide returns the records that a scheduler proposes for a state at a time in
// Unix milliseconds.
type Decide func(s *state.State, now int64) []record.Record

// replay simulates one trace with the product's scheduling and routing code. It
// has one copy of the replicated state, which represents those of all
// instances.
type replay struct {
	clock        clock
	trace        *Trace
	fleet        *fleet
	recorder     *recorder
	state        *state.State
	log          *simLog
	newDecide    func(*state.State) Decide
	decide       Decide // nil while every instance is down
	stateChanged bool   // the state changed since the last decision

	jobs           map[string]*simJob
	activeJobs     []*simJob // jobs that have not ended, in order of submission
	workers        []*simWorker
	changedWorkers map[uint32]bool // workers whose grants changed with the batch that is being applied
	waits          *guaranteeWaits
	requests       *requestPath
	unfinished     int // number of jobs and requests that have not ended
	err            error
}

// simJob is a job with what the replay needs beyond the replicated state.
type simJob struct {
	Job
	holding        map[int]bool // workers that hold the current placement
	token          uint64
	revision       uint64 // revision of state.Job of which its workers were last told
	slots          []shape.Slot
	runningWorkers int   // number of workers that run it
	partialSince   int64 // time since which some but not all of its workers run it; -1 otherwise
	ended          bool
}

// runProduct replays the trace through the product.
func runProduct(t *Trace, o Options) (*replay, error) {
	f := newFleet(t)
	r := &replay{
		trace: t, fleet: f, recorder: newRecorder(t), state: &state.State{}, jobs: map[string]*simJob{},
		changedWorkers: map[uint32]bool{}, newDecide: o.decider(t),
	}
	r.log = newSimLog(r)
	r.waits = newGuaranteeWaits(r)
	for i := range f.workers {
		r.workers = append(r.workers, &simWorker{r: r, index: i, alive: true, tasks: map[grant]*simTask{}, reported: map[grant]bool{}})
	}
	r.setup()
	r.requests = newRequestPath(r)
	r.startScheduler()
	r.scheduleEvents()
	for r.err == nil && r.unfinished > 0 && r.clock.step(t.limit()) {
		r.recorder.fragmentation.set(r.clock.now, r.fragmentation())
	}
	r.recorder.finish(r.clock.now)
	r.waits.finish()
	return r, r.err
}

// setup adds the instances to the state and publishes the racks, the services
// and the accounts.
func (r *replay) setup() {
	r.log.join()
	var recs []record.Record
	for _, k := range r.trace.Racks {
		body := state.RackBody{Domain: k.Domain}
		for i := range k.Workers {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: k.worker(i), Addr: "127.0.0.1:1", GPUs: k.GPUs, Cores: k.Cores, Memory: k.Memory,
			})
		}
		recs = append(recs, r.publish("rack/"+k.Name, body, nil))
	}
	for _, v := range r.trace.Services {
		recs = append(recs, r.publish("service/"+v.Name, serviceBody(v, r.fleet.domains), nil))
	}
	r.log.applyRecords(recs)
	for _, a := range r.trace.Accounts {
		body := state.AccountBody{Weight: a.Weight, Quota: a.Quota}
		var guarantees []state.Guarantee
		for _, g := range a.Guarantees {
			sh, _ := shape.Parse(g.Shape)
			guarantees = append(guarantees, state.Guarantee{Shape: sh, Count: g.Count})
			body.Guarantees = append(body.Guarantees, state.GuaranteeBody(g))
		}
		blocks, err := placement.PlanBlocks(r.state, a.Name, guarantees)
		if err != nil {
			r.fail(err)
			return
		}
		r.log.applyRecords([]record.Record{r.publish("account/"+a.Name, body, blocks)})
	}
	for name, n := range r.state.Refused {
		r.fail(&ReplayError{At: 0, Rule: "setup is accepted", Detail: fmt.Sprint(n, " records refused: ", name)})
	}
}

// serviceBody returns the configuration of a service, with its servers
// distributed over the domains.
func serviceBody(v Service, domains []string) state.ServiceBody {
	var body state.ServiceBody
	for i := range v.Servers {
		body.Servers = append(body.Servers, state.ServerBody{
			Name: fmt.Sprintf("%s-%d", v.Name, i), Addr: fmt.Sprintf("127.0.0.1:%d", 1+i),
			Domain: domains[i%len(domains)], Slots: v.Slots, Connections: v.Connections,
		})
	}
	return body
}

// publish returns a record that publishes a configuration.
func (r *replay) publish(name string, body any, blocks []record.Block) record.Record {
	data, err := json.Marshal(body)
	if err != nil {
		r.fail(err)
	}
	return r.record(record.KindPublish, name, record.Publish{Name: name, Schema: 1, Body: data, By: "trace", Blocks: blocks})
}

// record returns a record with the encoded body. An encoding error ends the
// replay.
func (r *replay) record(kind record.Kind, id string, body any) record.Record {
	rec, err := record.New(kind, id, body)
	if err != nil {
		r.fail(err)
	}
	return rec
}

// fail ends the replay; the first error is kept.
func (r *replay) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// ReplayError reports a violated invariant, which ends the replay.
type ReplayError struct {
	At     int64 // milliseconds since the start of the trace
	Rule   string
	Detail string
	Err    error // *state.InvariantError or nil
}

// Error returns the time, the violated rule and the details.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("at %d ms: %s: %s", e.At, e.Rule, e.Detail)
}

// Unwrap returns the state's error.
func (e *ReplayError) Unwrap() error { return e.Err }

// scheduleEvents adds the trace's lines and the periodic tick to the clock.
func (r *replay) scheduleEvents() {
	for _, j := range r.trace.Jobs {
		r.unfinished++
		r.clock.at(j.At, func() { r.submit(j) })
	}
	for _, c := range r.trace.Cancels {
		r.clock.at(c.At, func() {
			r.log.propose(r.record(record.KindCancel, "cancel-"+c.Job, record.Cancel{Job: c.Job, By: "caller"}))
		})
	}
	for _, f := range r.trace.Faults {
		r.clock.at(f.At, func() { r.fault(f, true) })
		r.clock.at(f.Until, func() { r.fault(f, false) })
	}
	var tick func()
	tick = func() {
		for _, w := range r.workers {
			w.checkCondition()
		}
		r.stateChanged = true
		r.log.mayDecide = true
		r.log.appendNext()
		r.clock.after(tickInterval, tick)
	}
	r.clock.after(tickInterval, tick)
}

// submit proposes a job.
func (r *replay) submit(j Job) {
	r.jobs[j.ID] = &simJob{Job: j, partialSince: -1}
	r.activeJobs = append(r.activeJobs, r.jobs[j.ID])
	r.recorder.jobSubmitted(j)
	r.log.propose(r.record(record.KindSubmit, "submit-"+j.ID, record.Submit{
		Job: j.ID, Account: j.Account, Kind: j.Type, Shape: j.parsed, Urgent: j.Urgent, Once: j.Once,
		Checkpoint: j.Checkpoint, ExpectedMs: j.Declared, Cores: j.Cores, Memory: j.Memory,
	}))
}

// fault begins or ends a fault.
func (r *replay) fault(f Fault, begin bool) {
	switch f.Type {
	case FaultLog:
		r.log.setOutage(begin)
	case FaultRestart:
		r.restart(begin)
	case FaultFailing:
		for _, w := range r.fleet.affectedWorkers(f) {
			r.workers[w].setFailing(begin)
		}
	default:
		for _, w := range r.fleet.affectedWorkers(f) {
			r.workers[w].setAlive(!begin)
		}
		if f.Type == FaultDomain {
			r.requests.setDomainDown(f.Target, begin)
		}
	}
}

// restart ends all instances, or starts their new incarnations. The instances'
// memory is lost. Workers and callers send again what was not acknowledged.
func (r *replay) restart(begin bool) {
	if begin {
		r.decide = nil
		r.log.stop()
	} else {
		r.log.join()
		r.startScheduler()
	}
	r.requests.restart(begin)
	r.log.appendNext()
}

// startScheduler creates the scheduler of a new incarnation and sets the
// state's callback, because the scheduler and callbacks of the previous one are
// gone.
func (r *replay) startScheduler() {
	r.state.OnWorkerChange = func(w *state.Worker) { r.changedWorkers[w.Index] = true }
	r.decide = r.newDecide(r.state)
}

// recordApplied handles the decision on an applied record.
func (r *replay) recordApplied(rec record.Record, o state.Decision) {
	switch rec.Kind {
	case record.KindSubmit:
		if !o.Accepted() && o.Reason != state.ReasonDuplicate {
			if v, err := record.Body[record.Submit](rec); err == nil {
				r.recorder.refusalReasons[v.Job] = string(o.Reason)
				r.endJob(r.jobs[v.Job], "refused")
			}
		}
	case record.KindPlace:
		if v, err := record.Body[record.Place](rec); err == nil && o.Accepted() {
			r.gangPlaced(v)
		}
	case record.KindStart:
		if v, err := record.Body[record.Start](rec); err == nil && o.Accepted() {
			r.gangStarted(v)
		}
	case record.KindClaim:
		if v, err := record.Body[record.Claim](rec); err == nil {
			r.requests.claimed(v.Request, o)
		}
	}
}

// batchApplied checks the state after a batch was applied, ends jobs that
// ended, and notifies the workers whose grants changed.
func (r *replay) batchApplied() {
	if err := r.state.Check(); err != nil {
		r.fail(&ReplayError{At: r.clock.now, Rule: "invariant", Detail: err.Error(), Err: err})
	}
	for _, j := range r.activeJobs {
		sj := r.state.Jobs[j.ID]
		if sj == nil || sj.Revision == j.revision {
			continue
		}
		// The workers of the old and of the new placement are notified.
		for _, sl := range slices.Concat(j.slots, sj.Slots) {
			r.changedWorkers[sl.Worker] = true
		}
		j.revision, j.slots = sj.Revision, sj.Slots
		if sj.Phase.Terminal() || sj.Phase == state.JobUnknown {
			r.endJob(j, sj.Phase.String())
		}
	}
	for _, i := range slices.Sorted(maps.Keys(r.changedWorkers)) {
		r.clock.after(syncDelay, r.workers[i].sync)
	}
	clear(r.changedWorkers)
	r.activeJobs = slices.DeleteFunc(r.activeJobs, func(j *simJob) bool { return j.ended })
	r.stateChanged = true
	r.waits.update()
}

// endJob records how the job ended.
func (r *replay) endJob(j *simJob, end string) {
	if j.ended {
		return
	}
	j.ended = true
	r.unfinished--
	r.waits.ended(j.ID)
	r.recorder.jobEnded(j.Job, end, r.clock.now)
}

// fragmentation returns the fragmentation as package placement measures it. A
// lost worker counts as available until its loss is detected.
func (r *replay) fragmentation() float64 { return placement.Fragmentation(r.state) }

// now returns the simulated time in Unix milliseconds.
func (r *replay) now() int64 { return startUnixMs + r.clock.now }
