package measure

import (
	"encoding/json"
	"fmt"
	"time"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// Size is the size of a simulated fleet.
type Size struct {
	Workers  int
	GPUs     int // accelerators, or partitions of accelerators, of each worker
	Tasks    int
	Accounts int
}

// TargetSize is the size for which docs/CAPACITY.md gives the costs.
var TargetSize = Size{Workers: 12_000, GPUs: 16, Tasks: 190_000, Accounts: 94}

// SampleSizes are a tenth, a half and the whole of the target size.
var SampleSizes = []Size{
	{1_200, 16, 19_000, 10},
	{6_000, 16, 95_000, 47},
	TargetSize,
}

const (
	workersPerRack = 8
	domainCount    = 32
	workersPerJob  = 8 // each has two members of the job
)

// fleet applies the records of a fleet to a replicated state and counts what they
// cost.
type fleet struct {
	state *state.State
	seq   uint64
	nowMs int64
	costs map[record.Kind]*Cost
}

// Cost is the total cost of the records of one kind.
type Cost struct {
	Records int
	Bytes   int           // of the encoded batches in the log
	Time    time.Duration // to decode and apply the batches
}

// ApplyError reports a record that the state refused, or that could not be encoded,
// decoded or applied.
type ApplyError struct {
	Decision state.Decision
	Err      error
}

// Error describes the error, or the refusal and its reason.
func (e *ApplyError) Error() string {
	if e.Err != nil {
		return e.Err.Error()
	}
	return fmt.Sprintf("%s refused: %s %s", e.Decision.Kind, e.Decision.Reason, e.Decision.Detail)
}

// Unwrap returns the underlying error; it is nil for a refusal.
func (e *ApplyError) Unwrap() error { return e.Err }

// newFleet returns a fleet of the size in which all tasks run.
func newFleet(z Size) (*fleet, error) {
	f := &fleet{state: &state.State{}, nowMs: 1_796_361_383_000, costs: map[record.Kind]*Cost{}}
	if err := f.publishRacks(z); err != nil {
		return nil, err
	}
	if err := f.publishAccounts(z); err != nil {
		return nil, err
	}
	return f, f.startJobs(z)
}

// apply applies records with the bodies, all of one kind, in batches of batchSize
// records, and adds their cost.
func apply[T any](f *fleet, kind record.Kind, batchSize int, bodies []T) error {
	c := f.costs[kind]
	if c == nil {
		c = &Cost{}
		f.costs[kind] = c
	}
	for len(bodies) > 0 {
		n := min(batchSize, len(bodies))
		f.seq++
		f.nowMs += 10
		batch := &record.Batch{Writer: "e17-7KQ2M4ZB5DTA", Seq: f.seq, At: f.nowMs, MinVersion: 1}
		for i, body := range bodies[:n] {
			r, err := record.New(kind, fmt.Sprintf("e17-7KQ2M4ZB5DTA.%d", int(f.seq)*batchSize+i), body)
			if err != nil {
				return &ApplyError{Err: err}
			}
			batch.Records = append(batch.Records, r)
		}
		data, err := record.Encode(batch)
		if err != nil {
			return &ApplyError{Err: err}
		}
		begin := time.Now()
		decoded, err := record.Decode(data)
		if err != nil {
			return &ApplyError{Err: err}
		}
		decisions, err := f.state.Apply(f.state.Offset, decoded)
		c.Time += time.Since(begin)
		if err != nil {
			return &ApplyError{Err: err}
		}
		for _, d := range decisions {
			if !d.Accepted() {
				return &ApplyError{Decision: d}
			}
		}
		c.Records += n
		c.Bytes += len(data)
		bodies = bodies[n:]
	}
	return nil
}

// publishRacks publishes racks of eight workers each.
func (f *fleet) publishRacks(z Size) error {
	var list []record.Publish
	for r := range z.Workers / workersPerRack {
		body := state.RackBody{Domain: fmt.Sprintf("domain%d", r%domainCount)}
		for w := range workersPerRack {
			body.Workers = append(body.Workers, state.WorkerBody{
				Name: fmt.Sprintf("rack%04d-w%d", r, w), Addr: fmt.Sprintf("10.%d.%d.%d:7000", r/250, r%250, w), GPUs: z.GPUs, Cores: 130, Memory: 250,
			})
		}
		data, err := json.Marshal(body)
		if err != nil {
			return &ApplyError{Err: err}
		}
		list = append(list, record.Publish{Name: fmt.Sprintf("rack/rack%04d", r), Body: data, By: "asha"})
	}
	return apply(f, record.KindPublish, 1, list)
}

// publishAccounts publishes accounts with a guarantee of 4x4@rack each. The block of
// an account is four accelerators on each of four workers of a rack of its own.
func (f *fleet) publishAccounts(z Size) error {
	data, err := json.Marshal(state.AccountBody{Weight: 1, Guarantees: []state.GuaranteeBody{{Shape: "4x4@rack", Count: 1}}})
	if err != nil {
		return &ApplyError{Err: err}
	}
	var list []record.Publish
	for a := range z.Accounts {
		b := record.Block{}
		for i := range 4 {
			b.Slots = append(b.Slots, shape.Slot{Worker: uint32(workersPerRack*a + i), Mask: 0xf})
		}
		list = append(list, record.Publish{Name: fmt.Sprintf("account/team%d", a), Body: data, Blocks: []record.Block{b}, By: "asha"})
	}
	return apply(f, record.KindPublish, 1, list)
}

// startJobs submits, places and starts jobs of 16 members on 8 workers each.
func (f *fleet) startJobs(z Size) error {
	var submits []record.Submit
	for n := 0; n+2*workersPerJob <= z.Tasks; n += 2 * workersPerJob {
		id := fmt.Sprintf("1796361383123-%06d", n)
		submits = append(submits, record.Submit{
			Job: id, Account: fmt.Sprintf("team%d", n/workersPerJob%z.Accounts), Kind: "survey", Shape: shape.Shape{Members: 2 * workersPerJob, GPUs: 1, Level: shape.LevelRack},
			Checkpoint: true, ExpectedMs: 3_600_000, Cores: 1, Memory: 2, Input: "surveys/2026/" + id,
		})
	}
	if err := apply(f, record.KindSubmit, 1, submits); err != nil {
		return err
	}
	racks := z.Workers / workersPerRack
	var places []record.Place
	for i, v := range submits {
		p := record.Place{Job: v.Job, Revision: f.state.Jobs[v.Job].Revision}
		for w := range workersPerJob {
			mask := shape.Mask(3) << (2 * (i / racks))
			p.Slots = append(p.Slots, shape.Slot{Worker: uint32(i%racks*workersPerRack + w), Mask: mask})
		}
		places = append(places, p)
	}
	if err := apply(f, record.KindPlace, 1, places); err != nil {
		return err
	}
	var starts []record.Start
	for i, v := range submits {
		incarnations := make([]uint64, workersPerJob)
		for k := range incarnations {
			incarnations[k] = 1_796_361_383_000_000 + uint64(i)
		}
		starts = append(starts, record.Start{Job: v.Job, Token: f.state.Jobs[v.Job].Token, Incarnations: incarnations})
	}
	return apply(f, record.KindStart, 1, starts)
}

// finishJobs reports the members of n jobs as done, with one record for each worker
// of a job.
func (f *fleet) finishJobs(n int) error {
	var reports []record.Report
	for i := range n {
		j := f.state.Jobs[fmt.Sprintf("1796361383123-%06d", i*2*workersPerJob)]
		for _, sl := range j.Slots {
			reports = append(reports, record.Report{Worker: sl.Worker, Results: []record.Result{
				{Job: j.ID, Token: j.Token, Outcome: record.RunDone, RanMs: 3_600_000, Progress: 1},
			}})
		}
	}
	return apply(f, record.KindReport, 1, reports)
}

// claimRequests claims n requests and records their outcomes.
func (f *fleet) claimRequests(n int) error {
	var claims []record.Claim
	var settles []record.Settle
	for i := range n {
		id := fmt.Sprintf("%d-%08d", f.state.Now, i)
		claims = append(claims, record.Claim{Request: id, Account: "team0", Service: "badges"})
		settles = append(settles, record.Settle{Request: id, Outcome: record.RequestDone})
	}
	if err := apply(f, record.KindClaim, 1, claims); err != nil {
		return err
	}
	return apply(f, record.KindSettle, 1, settles)
}
