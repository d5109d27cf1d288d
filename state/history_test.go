package state

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// history draws batches. Most are based on the current state, some are stale or
// invalid.
type history struct {
	t   *rapid.T
	s   *State
	seq map[string]uint64
	at  int64
}

// bodyCases is the number of cases in history.body.
const bodyCases = 24

// bodyChoices lists the cases of history.body. It does not start with case 0,
// because rapid draws the first values more often.
var bodyChoices = slices.Collect(func(yield func(int) bool) {
	for i := range bodyCases {
		if !yield((i + 7) % bodyCases) {
			return
		}
	}
})

var (
	shapes   = []string{"1x1@worker", "1x4@worker", "2x2@worker", "2x4@rack", "3x2@rack", "4x4@domain", "4x1@rack"}
	accounts = []string{"asha", "binu", "chitra"}
)

// newHistory returns a history with four racks of two workers in two failure
// domains, and three accounts, the first of which has a guarantee.
func newHistory(t *rapid.T) *history {
	h := &history{t: t, s: &State{}, seq: map[string]uint64{}, at: 1_796_361_383_000}
	b := &record.Batch{Writer: "setup", Seq: 1, At: h.at}
	add := func(p record.Publish, body any) {
		p.Body, _ = json.Marshal(body)
		r, err := record.New(record.KindPublish, "", p)
		if err != nil {
			t.Fatal(err)
		}
		b.Records = append(b.Records, r)
	}
	for i := range 4 {
		w := WorkerBody{Name: fmt.Sprintf("w%d.0", i), GPUs: 4, Cores: 16, Memory: 64}
		v := w
		v.Name = fmt.Sprintf("w%d.1", i)
		add(record.Publish{Name: fmt.Sprintf("rack/r%d", i)}, RackBody{Domain: fmt.Sprintf("d%d", i/2), Workers: []WorkerBody{w, v}})
	}
	add(record.Publish{Name: "account/asha", Blocks: []record.Block{{Slots: []shape.Slot{{Worker: 0, Mask: 0xf}, {Worker: 1, Mask: 0xf}}}}},
		AccountBody{Guarantees: []GuaranteeBody{{"2x4@rack", 1}}})
	add(record.Publish{Name: "account/binu"}, AccountBody{Quota: 12})
	add(record.Publish{Name: "account/chitra"}, AccountBody{})
	data, err := record.Encode(b)
	if err != nil {
		t.Fatal(err)
	}
	h.applyEncoded(h.s, data)
	if len(h.s.Refused) > 0 {
		t.Fatal(h.s.Refused)
	}
	return h
}

// pick draws one of the values.
func pick[T any](t *rapid.T, what string, from []T) T {
	return rapid.SampledFrom(from).Draw(t, what)
}

// slots draws a placement of the shape on workers in sequence. It may be invalid.
func (h *history) slots(sh shape.Shape) []shape.Slot {
	if len(h.s.Workers) == 0 {
		return nil
	}
	first := rapid.IntRange(0, len(h.s.Workers)-1).Draw(h.t, "worker")
	shift := rapid.IntRange(0, 3).Draw(h.t, "shift")
	var out []shape.Slot
	left := sh.Members
	for i := first; i < len(h.s.Workers) && left > 0; i++ {
		w := h.s.Workers[i]
		n := min(left, max(1, w.GPUs/sh.GPUs))
		if sh.Level != shape.LevelWorker && len(out) == 0 {
			n = 1
		}
		out = append(out, shape.Slot{Worker: uint32(i), Mask: (w.All() &^ shape.FirstN(shift)).LowestN(n * sh.GPUs)})
		if out[len(out)-1].Mask == 0 {
			out[len(out)-1].Mask = w.All().LowestN(n * sh.GPUs)
		}
		left -= n
		shift = 0
	}
	return out
}

// job draws a job in one of the phases, or returns an unknown job if there is none.
func (h *history) job(want ...JobPhase) *Job {
	var list []*Job
	for _, j := range sorted(h.s.Jobs, func(j *Job) string { return j.ID }) {
		for _, p := range want {
			if j.Phase == p {
				list = append(list, j)
			}
		}
	}
	if len(list) == 0 {
		return &Job{ID: "none", Spec: record.Submit{Shape: shape.Shape{Members: 1, GPUs: 1}}}
	}
	return pick(h.t, "job", list)
}

// body draws a record.
func (h *history) body() (record.Kind, any) {
	t, s := h.t, h.s
	old := func(v uint64) uint64 { // sometimes returns an older revision or token
		if rapid.IntRange(0, 19).Draw(t, "stale") == 0 {
			return v - 1
		}
		return v
	}
	switch pick(t, "kind", bodyChoices) {
	case 0:
		return record.KindJoin, record.Join{Name: pick(t, "name", accounts), Addr: "127.0.0.1:1", Domain: "kochi", Version: 1}
	case 1:
		if rapid.Bool().Draw(t, "leave") {
			return record.KindLeave, record.Leave{}
		}
		if len(s.Members) == 0 {
			return record.KindEvict, record.Evict{Writer: "a"}
		}
		return record.KindEvict, record.Evict{Writer: pick(t, "member", s.Members).Writer}
	case 2:
		return h.account()
	case 3:
		return h.rack()
	case 4, 5, 6:
		sh, _ := shape.Parse(pick(t, "shape", shapes))
		return record.KindSubmit, record.Submit{
			Job: fmt.Sprintf("j%d", rapid.IntRange(0, 30).Draw(t, "id")), Account: pick(t, "account", accounts), Shape: sh,
			Once: rapid.IntRange(0, 3).Draw(t, "once") == 0, Checkpoint: rapid.Bool().Draw(t, "checkpoint"),
			Cores: pick(t, "cores", []float64{0, 0, 1, 40}),
		}
	case 7, 8, 9, 10, 11:
		j := h.job(JobWaiting)
		p := record.Place{Job: j.ID, Revision: old(j.Revision), Slots: h.slots(j.Spec.Shape), GraceMs: pick(t, "grace", []int64{0, 500, 5000, -1})}
		if rapid.Bool().Draw(t, "evict") {
			for _, x := range sorted(s.Jobs, func(j *Job) string { return j.ID }) {
				if overlap(x.Slots, p.Slots) {
					p.Evict = append(p.Evict, record.Victim{Job: x.ID, Token: x.Token})
				}
			}
		}
		return record.KindPlace, p
	case 12, 13, 14:
		j := h.job(JobHolding)
		v := record.Start{Job: j.ID, Token: old(j.Token)}
		for i := range j.Slots {
			v.Incarnations = append(v.Incarnations, uint64(i+1))
		}
		return record.KindStart, v
	case 15:
		j := h.job(JobHolding, JobRunning)
		return record.KindAbort, record.Abort{Job: j.ID, Token: old(j.Token), Cause: "test", MissingWorkers: []uint32{0}}
	case 16:
		j := h.job(JobRunning)
		return record.KindPreempt, record.Preempt{Job: j.ID, Token: old(j.Token), GraceMs: 100}
	case 17:
		return record.KindCancel, record.Cancel{Job: h.job(JobWaiting, JobHolding, JobRunning, JobStopping, JobUnknown).ID}
	case 18, 19, 20:
		return h.report()
	case 21:
		if len(s.Workers) == 0 {
			return record.KindFence, record.Fence{}
		}
		w := pick(t, "worker", s.Workers)
		return record.KindHealth, record.Health{
			Worker: w.Index, Revision: old(w.Revision), Cause: CauseFailures,
			Condition: pick(t, "condition", []record.Condition{record.ConditionReady, record.ConditionReady, record.ConditionLost, record.ConditionAside}),
		}
	case 22:
		a := s.Accounts[pick(t, "account", accounts)]
		if a == nil || len(a.Blocks) == 0 {
			return record.KindFence, record.Fence{}
		}
		b := pick(t, "block", a.Blocks)
		return record.KindReserve, record.Reserve{Account: a.Name, Revision: old(a.Revision), Block: record.Block{GuaranteeIndex: b.GuaranteeIndex, Copy: b.Copy, Slots: h.slots(b.Shape)}}
	default:
		id := fmt.Sprintf("%d-%d", h.at-int64(rapid.IntRange(-1, 1).Draw(t, "age"))*3_500_000, rapid.IntRange(0, 3).Draw(t, "request"))
		if rapid.Bool().Draw(t, "settle") && len(s.Claims) > 0 {
			c := pick(t, "claim", sorted(s.Claims, func(c *Claim) string { return c.Request }))
			return record.KindSettle, record.Settle{Request: c.Request, Outcome: pick(t, "fate", []record.RequestOutcome{record.RequestDone, record.RequestNotRun, record.RequestUnknown, "x"})}
		}
		return record.KindClaim, record.Claim{Request: id, Account: pick(t, "account", accounts)}
	}
}

// account draws the publication or deletion of an account.
func (h *history) account() (record.Kind, any) {
	t := h.t
	name := pick(t, "account", accounts)
	p := record.Publish{Name: "account/" + name, MinVersion: pick(t, "reader", []uint16{0, 1, 1, 2})}
	if c := h.s.Configs[p.Name]; c != nil {
		p.Base = c.Version
	}
	if rapid.IntRange(0, 9).Draw(t, "delete") == 0 {
		return record.KindPublish, p
	}
	body := AccountBody{Quota: pick(t, "quota", []int{0, 0, 8, 12})}
	for i := range rapid.IntRange(0, 2).Draw(t, "promises") {
		g := GuaranteeBody{Shape: pick(t, "shape", shapes), Count: rapid.IntRange(1, 2).Draw(t, "count")}
		body.Guarantees = append(body.Guarantees, g)
		sh, _ := shape.Parse(g.Shape)
		for c := range g.Count {
			p.Blocks = append(p.Blocks, record.Block{GuaranteeIndex: i, Copy: c, Slots: h.slots(sh)})
		}
	}
	p.Body, _ = json.Marshal(body)
	return record.KindPublish, p
}

// rack draws the publication of a rack.
func (h *history) rack() (record.Kind, any) {
	t := h.t
	i := rapid.IntRange(0, 3).Draw(t, "rack")
	p := record.Publish{Name: fmt.Sprintf("rack/r%d", i)}
	if c := h.s.Configs[p.Name]; c != nil {
		p.Base = c.Version
	}
	body := RackBody{Domain: fmt.Sprintf("d%d", i/2)}
	for k := range rapid.IntRange(1, 4).Draw(t, "workers") {
		body.Workers = append(body.Workers, WorkerBody{Name: fmt.Sprintf("w%d.%d", i, k), GPUs: pick(t, "gpus", []int{4, 4, 4, 8}), Cores: 16, Memory: 64})
	}
	p.Body, _ = json.Marshal(body)
	return record.KindPublish, p
}

// report draws the result of any task.
func (h *history) report() (record.Kind, any) {
	var list []*Task
	var on []uint32
	for _, w := range h.s.Workers {
		for _, t := range w.Tasks {
			list, on = append(list, t), append(on, w.Index)
		}
	}
	if len(list) == 0 {
		return record.KindFence, record.Fence{}
	}
	i := rapid.IntRange(0, len(list)-1).Draw(h.t, "task")
	return record.KindReport, record.Report{Worker: on[i], Results: []record.Result{{
		Job: list[i].Job.ID, Token: list[i].Token, RanMs: 100, Progress: pick(h.t, "progress", []float64{0, 0.5, 1}),
		Outcome: pick(h.t, "outcome", []record.RunOutcome{record.RunDone, record.RunDone, record.RunFailed, record.RunStopped, record.RunAbsent}),
	}}}
}

// step draws and applies a batch and returns its encoding.
func (h *history) step() []byte {
	t := h.t
	h.at += int64(rapid.SampledFrom([]int{1, 50, 1000, 40_000}).Draw(t, "pass"))
	writer := pick(t, "instance", []string{"a", "b", "c"})
	for w := h.s.Writers[writer]; w != nil && w.Fenced && rapid.IntRange(0, 9).Draw(t, "fenced") > 0; w = h.s.Writers[writer] {
		writer += "+" // the next incarnation
	}
	b := &record.Batch{Writer: writer, Seq: h.seq[writer] + 1, At: h.at - int64(rapid.SampledFrom([]int{0, 0, 0, 100, 700_000}).Draw(t, "late")), MinVersion: 1}
	if rapid.IntRange(0, 15).Draw(t, "repeat") == 0 {
		b.Seq--
	}
	for range rapid.IntRange(1, 2).Draw(t, "records") {
		kind, body := h.body()
		r, err := record.New(kind, "id", body)
		if err != nil {
			t.Fatal(err)
		}
		b.Records = append(b.Records, r)
	}
	data, err := record.Encode(b)
	if err != nil {
		t.Fatal(err)
	}
	h.applyEncoded(h.s, data)
	if w := h.s.Writers[writer]; w != nil {
		h.seq[writer] = w.Seq
	}
	return data
}

// applyEncoded applies an encoded batch to the state, which may be a copy.
func (h *history) applyEncoded(s *State, data []byte) {
	b, err := record.Decode(data)
	if err != nil {
		h.t.Fatal(err)
	}
	if _, err := s.Apply(s.Offset, b); err != nil {
		h.t.Fatal(err)
	}
}

// reload encodes the state's image and loads a new state from it.
func reload(s *State) (*State, error) {
	data, err := record.Marshal(s.Image())
	if err != nil {
		return nil, err
	}
	var im Image
	if err := record.Unmarshal(data, &im); err != nil {
		return nil, err
	}
	return Load(&im)
}

// TestHistories guards against records that violate an invariant, and against
// copies of the state that differ: one copy applies all entries, the other is
// loaded from an image at a drawn offset and applies the rest.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		other, err := reload(h.s)
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(1, 120).Draw(t, "steps")
		load := rapid.IntRange(0, n-1).Draw(t, "load")
		for i := range n {
			data := h.step()
			if err := h.s.Check(); err != nil {
				t.Fatal(err)
			}
			h.applyEncoded(other, data)
			if i == load {
				if other, err = reload(other); err != nil {
					t.Fatal(err)
				}
			}
			if other.Chain != h.s.Chain {
				t.Fatalf("chains differ at offset %d", h.s.Offset)
			}
		}
		if other.Sum() != h.s.Sum() {
			t.Fatal("states differ")
		}
		again, err := reload(h.s)
		if err != nil || again.Sum() != h.s.Sum() {
			t.Fatalf("image does not round trip: %v", err)
		}
		if a, b := normalize(h.s), normalize(again); !reflect.DeepEqual(a, b) {
			t.Fatal("a field is missing from the image")
		}
	})
}

// normalize clears the fields that differ between equal copies of the state, and
// returns the state.
func normalize(s *State) *State {
	s.hash, s.interned, s.startingJobs = nil, nil, nil
	for _, w := range s.Workers {
		w.localRevision = 0
		w.Tasks, w.Blocks = orNil(w.Tasks), orNil(w.Blocks)
	}
	for _, a := range s.Accounts {
		a.Blocks = orNil(a.Blocks)
	}
	for _, r := range s.Racks {
		r.Workers = orNil(r.Workers)
	}
	for _, c := range s.Configs {
		c.Body = orNil(c.Body)
	}
	s.Members = orNil(s.Members)
	return s
}

// orNil returns nil for an empty list, because the image does not distinguish
// them.
func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

// TestHistoriesReach guards against histories that do not reach all phases of
// jobs, so that TestHistories would check little.
func TestHistoriesReach(t *testing.T) {
	is := is.New(t)
	seen := map[JobPhase]int{}
	refused := map[Reason]uint64{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range 200 {
			h.step()
			for _, j := range h.s.Jobs {
				seen[j.Phase]++
			}
		}
		for r, n := range h.s.Refused {
			refused[r] += n
		}
	})
	for p := JobWaiting; p <= JobUnknown; p++ {
		is.True(seen[p] > 0) // each phase is reached
	}
	t.Log(seen, refused)
}
