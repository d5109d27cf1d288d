package state

import (
	"cmp"
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// Image is the encodable form of the whole state, as snapshots hold it. Its
// lists are sorted, so that equal states have equal encodings.
type Image struct {
	Offset      uint64         `cbor:"offset"`
	Now         int64          `cbor:"now"`
	Ahead       Clock          `cbor:"ahead"`
	Chain       uint64         `cbor:"chain"`
	SnapshotEnd uint64         `cbor:"snap"`
	LastSweep   int64          `cbor:"swept"`
	Members     []*Member      `cbor:"members"`
	Writers     []*Writer      `cbor:"writers"`
	Configs     []*Config      `cbor:"configs"`
	Accounts    []accountImage `cbor:"accounts"`
	Domains     []string       `cbor:"domains"`
	Racks       []rackImage    `cbor:"racks"`
	Workers     []workerImage  `cbor:"workers"`
	Jobs        []jobImage     `cbor:"jobs"`
	Claims      []*Claim       `cbor:"claims"`
	Refused     []countImage   `cbor:"refused"`
}

type accountImage struct {
	Name     string   `cbor:"name"`
	Revision uint64   `cbor:"rev"`
	Used     int      `cbor:"used"`
	Blocks   []*Block `cbor:"blocks"`
}

type rackImage struct {
	Name   string `cbor:"name"`
	Domain int    `cbor:"domain"`
}

// The rows below have numeric keys, because named keys took half of the encoded
// image. The number of a removed field must not be reused.

type workerImage struct {
	Name            string           `cbor:"1,keyasint"`
	Addr            string           `cbor:"2,keyasint"`
	Rack            int              `cbor:"3,keyasint"`
	GPUs            int              `cbor:"4,keyasint"`
	Cores           float64          `cbor:"5,keyasint"`
	Memory          float64          `cbor:"6,keyasint"`
	Condition       record.Condition `cbor:"7,keyasint,omitempty"`
	Revision        uint64           `cbor:"8,keyasint,omitempty"`
	ConditionSince  int64            `cbor:"9,keyasint"`
	Removed         bool             `cbor:"10,keyasint,omitempty"`
	Cause           string           `cbor:"11,keyasint,omitempty"`
	LastMissedStart int64            `cbor:"12,keyasint,omitempty"`
	QuarantineCount uint32           `cbor:"13,keyasint,omitempty"`
	RecentDone      uint32           `cbor:"14,keyasint,omitempty"`
	RecentFailed    uint32           `cbor:"15,keyasint,omitempty"`
	Failures        []Failure        `cbor:"16,keyasint,omitempty"`
	Tasks           []taskImage      `cbor:"17,keyasint,omitempty"`
	Blocks          []blockRef       `cbor:"18,keyasint,omitempty"` // in the order of Worker.Blocks
}

type taskImage struct {
	Job         int        `cbor:"1,keyasint"` // index in Image.Jobs
	Token       uint64     `cbor:"2,keyasint"`
	Mask        shape.Mask `cbor:"3,keyasint"`
	Phase       TaskPhase  `cbor:"4,keyasint"`
	GraceMs     int64      `cbor:"5,keyasint,omitempty"`
	Incarnation uint64     `cbor:"6,keyasint,omitempty"`
}

type blockRef struct {
	Account        string `cbor:"1,keyasint"`
	GuaranteeIndex int    `cbor:"2,keyasint"`
	Copy           int    `cbor:"3,keyasint"`
}

type jobImage struct {
	Spec           record.Submit `cbor:"1,keyasint"`
	Phase          JobPhase      `cbor:"2,keyasint"`
	Revision       uint64        `cbor:"3,keyasint"`
	Token          uint64        `cbor:"4,keyasint"`
	Slots          []shape.Slot  `cbor:"5,keyasint,omitempty"`
	Guaranteed     bool          `cbor:"6,keyasint,omitempty"`
	PendingWorkers int           `cbor:"7,keyasint,omitempty"`
	SubmittedAt    int64         `cbor:"8,keyasint"`
	PhaseChangedAt int64         `cbor:"9,keyasint"`
	StartedAt      int64         `cbor:"10,keyasint,omitempty"`
	Starts         int           `cbor:"11,keyasint,omitempty"`
	Failures       int           `cbor:"12,keyasint,omitempty"`
	FailedOn       []uint32      `cbor:"13,keyasint,omitempty"`
	Progress       float64       `cbor:"14,keyasint,omitempty"`
	StopProgress   float64       `cbor:"15,keyasint,omitempty"`
	LostMs         int64         `cbor:"16,keyasint,omitempty"`
	Cause          string        `cbor:"17,keyasint"`
}

type countImage struct {
	Reason Reason `cbor:"reason"`
	Count  uint64 `cbor:"count"`
}

// Image returns the encodable form of the state, which shares memory with it.
func (s *State) Image() *Image {
	im := &Image{
		Offset: s.Offset, Now: s.Now, Ahead: s.Ahead, Chain: s.Chain, SnapshotEnd: s.SnapshotEnd, LastSweep: s.lastSweep,
		Members: s.Members,
		Writers: sorted(s.Writers, func(w *Writer) string { return w.ID }),
		Configs: sorted(s.Configs, func(c *Config) string { return c.Name }),
		Claims:  sorted(s.Claims, func(c *Claim) string { return c.Request }),
	}
	for _, a := range sorted(s.Accounts, func(a *Account) string { return a.Name }) {
		im.Accounts = append(im.Accounts, accountImage{a.Name, a.Revision, a.Used, a.Blocks})
	}
	for _, d := range s.Domains {
		im.Domains = append(im.Domains, d.Name)
	}
	for _, r := range s.Racks {
		im.Racks = append(im.Racks, rackImage{r.Name, r.Domain.Index})
	}
	im.Workers = make([]workerImage, 0, len(s.Workers))
	im.Jobs = make([]jobImage, 0, len(s.Jobs))
	jobs := sorted(s.Jobs, func(j *Job) string { return j.ID })
	index := make(map[*Job]int, len(jobs))
	for i, j := range jobs {
		index[j] = i
	}
	for _, w := range s.Workers {
		wi := workerImage{
			Name: w.Name, Addr: w.Addr, Rack: w.Rack.Index, GPUs: w.GPUs, Cores: w.Cores, Memory: w.Memory,
			Condition: w.Condition, Revision: w.Revision, ConditionSince: w.ConditionSince, Removed: w.Removed,
			Cause: w.Cause, LastMissedStart: w.LastMissedStart, QuarantineCount: w.QuarantineCount, RecentDone: w.RecentDone, RecentFailed: w.RecentFailed, Failures: w.Failures,
		}
		for _, t := range w.Tasks {
			wi.Tasks = append(wi.Tasks, taskImage{index[t.Job], t.Token, t.Mask, t.Phase, t.GraceMs, t.Incarnation})
		}
		for _, b := range w.Blocks {
			wi.Blocks = append(wi.Blocks, blockRef{b.Account, b.GuaranteeIndex, b.Copy})
		}
		im.Workers = append(im.Workers, wi)
	}
	for _, j := range jobs {
		im.Jobs = append(im.Jobs, jobImage{
			Spec: j.Spec, Phase: j.Phase, Revision: j.Revision, Token: j.Token, Slots: j.Slots,
			Guaranteed: j.Guaranteed, PendingWorkers: j.PendingWorkers, SubmittedAt: j.SubmittedAt, PhaseChangedAt: j.PhaseChangedAt,
			StartedAt: j.StartedAt, Starts: j.Starts, Failures: j.Failures, FailedOn: j.FailedOn,
			Progress: j.Progress, StopProgress: j.StopProgress, LostMs: j.LostMs, Cause: j.Cause,
		})
	}
	for r, n := range s.Refused {
		im.Refused = append(im.Refused, countImage{r, n})
	}
	slices.SortFunc(im.Refused, func(a, b countImage) int { return cmp.Compare(a.Reason, b.Reason) })
	return im
}

// sorted returns the values of the map in the order of their keys.
func sorted[T any](m map[string]*T, key func(*T) string) []*T {
	out := make([]*T, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b *T) int { return cmp.Compare(key(a), key(b)) })
	return out
}

// ImageError reports an image that is not consistent.
type ImageError struct {
	What string
}

// Error describes the inconsistency.
func (e *ImageError) Error() string { return "snapshot image: " + e.What }

// Load builds a state from the image and returns *ImageError if the image is
// not consistent. The state keeps references to the image's memory.
func Load(im *Image) (*State, error) {
	s := &State{Offset: im.Offset, Now: im.Now, Ahead: im.Ahead, Chain: im.Chain, SnapshotEnd: im.SnapshotEnd, lastSweep: im.LastSweep, Members: im.Members}
	s.init()
	for _, w := range im.Writers {
		s.Writers[w.ID] = w
	}
	for _, c := range im.Configs {
		s.Configs[c.Name] = c
	}
	for _, c := range im.Claims {
		s.Claims[c.Request] = c
	}
	for _, c := range im.Refused {
		s.Refused[c.Reason] = c.Count
	}
	if err := s.loadWorkers(im); err != nil {
		return nil, err
	}
	jobs := make([]*Job, 0, len(im.Jobs))
	for _, j := range im.Jobs {
		j.Spec.Account, j.Spec.Kind = s.intern(j.Spec.Account), s.intern(j.Spec.Kind)
		x := &Job{
			ID: j.Spec.Job, Spec: j.Spec, Phase: j.Phase, Revision: j.Revision, Token: j.Token, Slots: j.Slots,
			Guaranteed: j.Guaranteed, PendingWorkers: j.PendingWorkers, SubmittedAt: j.SubmittedAt, PhaseChangedAt: j.PhaseChangedAt,
			StartedAt: j.StartedAt, Starts: j.Starts, Failures: j.Failures, FailedOn: j.FailedOn,
			Progress: j.Progress, StopProgress: j.StopProgress, LostMs: j.LostMs, Cause: s.intern(j.Cause),
		}
		s.Jobs[x.ID] = x
		jobs = append(jobs, x)
		if s.isStarting(x) {
			s.startingJobs[x] = struct{}{}
		}
	}
	if err := s.loadAccounts(im); err != nil {
		return nil, err
	}
	return s, s.loadTasks(im, jobs)
}

// loadWorkers builds the failure domains, racks and workers.
func (s *State) loadWorkers(im *Image) error {
	for i, name := range im.Domains {
		s.Domains = append(s.Domains, &Domain{Index: i, Name: name})
	}
	for i, ri := range im.Racks {
		if ri.Domain < 0 || ri.Domain >= len(s.Domains) {
			return &ImageError{"rack " + ri.Name + " has no domain"}
		}
		r := &Rack{Index: i, Name: ri.Name, Domain: s.Domains[ri.Domain]}
		s.Racks = append(s.Racks, r)
		r.Domain.Racks = append(r.Domain.Racks, r)
	}
	for i, wi := range im.Workers {
		if wi.Rack < 0 || wi.Rack >= len(s.Racks) {
			return &ImageError{"worker " + wi.Name + " has no rack"}
		}
		w := &Worker{
			Index: uint32(i), Name: wi.Name, Addr: wi.Addr, Rack: s.Racks[wi.Rack], GPUs: wi.GPUs, Cores: wi.Cores,
			Memory: wi.Memory, Condition: wi.Condition, Revision: wi.Revision, ConditionSince: wi.ConditionSince, Removed: wi.Removed,
			Cause: wi.Cause, LastMissedStart: wi.LastMissedStart, QuarantineCount: wi.QuarantineCount, RecentDone: wi.RecentDone, RecentFailed: wi.RecentFailed, Failures: wi.Failures,
		}
		s.Workers = append(s.Workers, w)
		s.workerByName[w.Name] = w
		w.Rack.Workers = append(w.Rack.Workers, w)
	}
	return nil
}

// loadAccounts builds the accounts from their configuration and blocks.
func (s *State) loadAccounts(im *Image) error {
	for _, ai := range im.Accounts {
		c := s.Configs["account/"+ai.Name]
		if c == nil {
			return &ImageError{"account " + ai.Name + " has no configuration"}
		}
		a, err := parseAccount(c.Body)
		if err != nil {
			return &ImageError{"account " + ai.Name + ": " + err.Error()}
		}
		a.Name, a.Revision, a.Used, a.Blocks = ai.Name, ai.Revision, ai.Used, ai.Blocks
		s.Accounts[a.Name] = a
		for _, b := range a.Blocks {
			for _, sl := range b.Slots {
				if s.worker(sl.Worker) == nil {
					return &ImageError{"block of account " + a.Name + " has no worker"}
				}
			}
		}
	}
	return nil
}

// loadTasks links tasks and blocks to the workers and derives their masks.
func (s *State) loadTasks(im *Image, jobs []*Job) error {
	for i, wi := range im.Workers {
		w := s.Workers[i]
		for _, ti := range wi.Tasks {
			if ti.Job < 0 || ti.Job >= len(jobs) {
				return &ImageError{fmt.Sprintf("task of worker %s has no job %d", w.Name, ti.Job)}
			}
			j := jobs[ti.Job]
			w.Tasks = append(w.Tasks, &Task{Job: j, Token: ti.Token, Mask: ti.Mask, Phase: ti.Phase, GraceMs: ti.GraceMs, Incarnation: ti.Incarnation})
		}
		for _, ref := range wi.Blocks {
			b := findBlock(s.Accounts[ref.Account], ref.GuaranteeIndex, ref.Copy)
			if b == nil {
				return &ImageError{"worker " + w.Name + " names a block that does not exist"}
			}
			w.Blocks = append(w.Blocks, b)
		}
		s.updateMasks(w)
	}
	return nil
}
