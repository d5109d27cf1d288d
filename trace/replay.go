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

// epoch is the Unix time in milliseconds at which every replay starts.
const epoch = 1_796_361_383_000

// Delays of the simulated platform, in milliseconds.
const (
	syncDelay  = 2    // a worker learns of a change to its grants, and its answer arrives
	tick       = 5000 // the scheduler and the keepers look again although nothing changed; a third of a lease
	holdLimit  = 2000 // a start whose members do not all hold by then, beyond the grace, is aborted
	saveDelay  = 400  // a checkpoint takes this long
	rejoinTime = 1000 // between the end of an outage and the first append; the design's random delay at its longest
)

// Decide turns a state and a time in Unix milliseconds into proposals.
type Decide func(s *state.State, now int64) []record.Record

// replay runs one trace through the product's decisions. It holds one copy of
// the state, which stands for the copies of all instances.
type replay struct {
	clock  clock
	trace  *Trace
	fleet  *fleet
	side   *side
	state  *state.State
	log    *journal
	make   func(*state.State) Decide
	decide Decide // nil while every instance is down
	dirty  bool   // the state changed since the last decision

	jobs    map[string]*simJob
	live    []*simJob // those that have not ended, in order of submission
	workers []*simWorker
	touched map[uint32]bool // workers whose grants changed in the entry being applied
	waits   *waits
	service *service
	open    int // jobs and requests that have not ended
	err     error
}

// simJob is what the replay knows of a job beyond the state.
type simJob struct {
	Job
	holds    map[int]bool // workers that hold the current token
	token    uint64
	revision uint64 // of the state's job when its workers last heard of it
	slots    []shape.Slot
	running  int   // members' workers that run it
	partial  int64 // time since which some but not all of them run; -1 when not
	ended    bool
}

func runProduct(t *Trace, o Options) (*replay, error) {
	f := newFleet(t)
	r := &replay{
		trace: t, fleet: f, side: newSide(t), state: &state.State{}, jobs: map[string]*simJob{},
		touched: map[uint32]bool{}, make: o.decider(t),
	}
	r.log = newJournal(r)
	r.waits = newWaits(r)
	for i := range f.workers {
		r.workers = append(r.workers, &simWorker{r: r, index: i, alive: true, tasks: map[grant]*simTask{}, told: map[grant]bool{}})
	}
	r.setup()
	r.service = newService(r)
	r.start()
	r.schedule()
	for r.err == nil && r.open > 0 && r.clock.step(t.limit()) {
		r.side.frag.set(r.clock.now, r.fragmentation())
	}
	r.side.finish(r.clock.now)
	r.waits.finish()
	return r, r.err
}

// setup publishes the fleet, the accounts and the services, and lets the
// instances join.
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
	r.log.apply(recs)
	for _, a := range r.trace.Accounts {
		body := state.AccountBody{Weight: a.Weight, Quota: a.Quota}
		var promises []state.Guarantee
		for _, g := range a.Guarantees {
			sh, _ := shape.Parse(g.Shape)
			promises = append(promises, state.Guarantee{Shape: sh, Count: g.Count})
			body.Guarantees = append(body.Guarantees, state.GuaranteeBody(g))
		}
		blocks, err := placement.PlanBlocks(r.state, a.Name, promises)
		if err != nil {
			r.fail(err)
			return
		}
		r.log.apply([]record.Record{r.publish("account/"+a.Name, body, blocks)})
	}
	for name, n := range r.state.Refused {
		r.fail(&ReplayError{At: 0, Rule: "setup is accepted", Detail: fmt.Sprint(n, " records refused: ", name)})
	}
}

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

func (r *replay) publish(name string, body any, blocks []record.Block) record.Record {
	data, err := json.Marshal(body)
	if err != nil {
		r.fail(err)
	}
	return r.record(record.KindPublish, name, record.Publish{Name: name, Schema: 1, Body: data, By: "trace", Blocks: blocks})
}

// record encodes a record; a body that cannot be encoded ends the replay.
func (r *replay) record(kind record.Kind, id string, body any) record.Record {
	rec, err := record.New(kind, id, body)
	if err != nil {
		r.fail(err)
	}
	return rec
}

func (r *replay) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// ReplayError reports a replay that broke an invariant, which ends it.
type ReplayError struct {
	At     int64 // milliseconds since the start of the trace
	Rule   string
	Detail string
	Err    error // *state.InvariantError or nil
}

// Error describes the time, the rule and where it was broken.
func (e *ReplayError) Error() string {
	return fmt.Sprintf("at %d ms: %s: %s", e.At, e.Rule, e.Detail)
}

// Unwrap returns the state's error.
func (e *ReplayError) Unwrap() error { return e.Err }

// schedule enters the trace's lines into the clock.
func (r *replay) schedule() {
	for _, j := range r.trace.Jobs {
		r.open++
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
	var beat func()
	beat = func() {
		for _, w := range r.workers {
			w.keep()
		}
		r.dirty = true
		r.log.retry = true
		r.log.commit()
		r.clock.after(tick, beat)
	}
	r.clock.after(tick, beat)
}

func (r *replay) submit(j Job) {
	r.jobs[j.ID] = &simJob{Job: j, partial: -1}
	r.live = append(r.live, r.jobs[j.ID])
	r.side.submitted(j)
	r.log.propose(r.record(record.KindSubmit, "submit-"+j.ID, record.Submit{
		Job: j.ID, Account: j.Account, Kind: j.Type, Shape: j.parsed, Urgent: j.Urgent, Once: j.Once,
		Checkpoint: j.Checkpoint, ExpectedMs: j.Declared, Cores: j.Cores, Memory: j.Memory,
	}))
}

func (r *replay) fault(f Fault, begin bool) {
	switch f.Type {
	case FaultLog:
		r.log.outage(begin)
	case FaultRestart:
		r.restart(begin)
	case FaultFailing:
		for _, w := range r.fleet.targets(f) {
			r.workers[w].setFailing(begin)
		}
	default:
		for _, w := range r.fleet.targets(f) {
			r.workers[w].setAlive(!begin)
		}
		if f.Type == FaultDomain {
			r.service.domain(f.Target, begin)
		}
	}
}

// restart ends every instance, or lets new incarnations join. What only the
// instances knew is lost; workers and callers send again what was not
// acknowledged.
func (r *replay) restart(begin bool) {
	if begin {
		r.decide = nil
		r.log.stop()
	} else {
		r.log.join()
		r.start()
	}
	r.service.restart(begin)
	r.log.commit()
}

// start makes the decisions of a new incarnation; the listeners of the one
// before are gone.
func (r *replay) start() {
	r.state.OnWorkerChange = func(w *state.Worker) { r.touched[w.Index] = true }
	r.decide = r.make(r.state)
}

// folded takes note of one outcome of the fold.
func (r *replay) folded(rec record.Record, o state.Decision) {
	switch rec.Kind {
	case record.KindSubmit:
		if !o.Accepted() && o.Reason != state.ReasonDuplicate {
			if v, err := record.Body[record.Submit](rec); err == nil {
				r.side.reasons[v.Job] = string(o.Reason)
				r.end(r.jobs[v.Job], "refused")
			}
		}
	case record.KindPlace:
		if v, err := record.Body[record.Place](rec); err == nil && o.Accepted() {
			r.placed(v)
		}
	case record.KindStart:
		if v, err := record.Body[record.Start](rec); err == nil && o.Accepted() {
			r.started(v)
		}
	case record.KindClaim:
		if v, err := record.Body[record.Claim](rec); err == nil {
			r.service.claimed(v.Request, o)
		}
	}
}

// settle looks at the jobs and workers after an entry was applied.
func (r *replay) settle() {
	if err := r.state.Check(); err != nil {
		r.fail(&ReplayError{At: r.clock.now, Rule: "invariant", Detail: err.Error(), Err: err})
	}
	for _, j := range r.live {
		sj := r.state.Jobs[j.ID]
		if sj == nil || sj.Revision == j.revision {
			continue
		}
		// Workers of the placement before and after the change have to hear of it.
		for _, sl := range slices.Concat(j.slots, sj.Slots) {
			r.touched[sl.Worker] = true
		}
		j.revision, j.slots = sj.Revision, sj.Slots
		if sj.Phase.Terminal() || sj.Phase == state.JobUnknown {
			r.end(j, sj.Phase.String())
		}
	}
	for _, i := range slices.Sorted(maps.Keys(r.touched)) {
		r.clock.after(syncDelay, r.workers[i].sync)
	}
	clear(r.touched)
	r.live = slices.DeleteFunc(r.live, func(j *simJob) bool { return j.ended })
	r.dirty = true
	r.waits.look()
}

func (r *replay) end(j *simJob, how string) {
	if j.ended {
		return
	}
	j.ended = true
	r.open--
	r.waits.ended(j.ID)
	r.side.ended(j.Job, how, r.clock.now)
}

// fragmentation measures as placement does; a lost worker that no one has
// noticed counts by its state.
func (r *replay) fragmentation() float64 { return placement.Fragmentation(r.state) }

func (r *replay) now() int64 { return epoch + r.clock.now }
