package state

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// checkBlock reports whether the block may stand: it has its shape, lies on
// ready workers, is disjoint from blocks other than those that mine accepts,
// and carries only work of its own account or work that is evictable.
func (s *State) checkBlock(b *Block, mine func(*Block) bool) (Reason, string) {
	if detail := s.fits(b.Shape, b.Slots); detail != "" {
		return ReasonField, detail
	}
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		if !w.Ready() {
			return ReasonWorker, w.Name
		}
		for _, o := range w.Blocks {
			if o.Broken || mine(o) {
				continue
			}
			if maskOn(o.Slots, w)&sl.Mask != 0 {
				return ReasonInfeasible, "overlaps a block of account " + o.Account
			}
		}
		for _, t := range w.Tasks {
			if t.Mask&sl.Mask == 0 || t.Phase == TaskStopping || t.Job.Spec.Account == b.Account {
				continue
			}
			if !t.Job.Evictable() {
				return ReasonBusy, "job " + t.Job.ID + " cannot be evicted"
			}
		}
	}
	return "", ""
}

// fits returns what is wrong with the slots as a placement of the shape, or
// "".
func (s *State) fits(sh shape.Shape, slots []shape.Slot) string {
	members := 0
	var first *Worker
	for i, sl := range slots {
		w := s.worker(sl.Worker)
		if w == nil || w.Removed {
			return fmt.Sprintf("slots[%d]: no worker %d", i, sl.Worker)
		}
		if sl.Mask == 0 || sl.Mask&^w.All() != 0 {
			return fmt.Sprintf("slots[%d]: worker %s has %d accelerators", i, w.Name, w.GPUs)
		}
		if i > 0 && slots[i-1].Worker >= sl.Worker {
			return fmt.Sprintf("slots[%d]: workers not in ascending order", i)
		}
		if sl.Mask.Count()%sh.GPUs != 0 {
			return fmt.Sprintf("slots[%d]: not a multiple of %d accelerators", i, sh.GPUs)
		}
		members += sl.Mask.Count() / sh.GPUs
		if first == nil {
			first = w
		}
		if !sameUnit(sh.Level, first, w) {
			return fmt.Sprintf("slots[%d]: not in one %s", i, sh.Level)
		}
	}
	if members != sh.Members {
		return fmt.Sprintf("%d members; the shape has %d", members, sh.Members)
	}
	return ""
}

func sameUnit(l shape.Level, a, b *Worker) bool {
	switch l {
	case shape.LevelWorker:
		return a == b
	case shape.LevelRack:
		return a.Rack == b.Rack
	default:
		return a.Rack.Domain == b.Rack.Domain
	}
}

func (s *State) linkBlock(b *Block) {
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		w.Blocks = append(w.Blocks, b)
		s.recount(w)
	}
}

func (s *State) unlinkBlock(b *Block) {
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		w.Blocks = slices.DeleteFunc(w.Blocks, func(x *Block) bool { return x == b })
		s.recount(w)
	}
}

// refreshBlock marks the block broken or whole after a change to a worker of
// it. A broken block becomes whole only if nothing took its accelerators.
func (s *State) refreshBlock(b *Block) {
	ready := true
	for _, sl := range b.Slots {
		if !s.Workers[sl.Worker].Ready() {
			ready = false
		}
	}
	switch {
	case !ready && !b.Broken:
		b.Broken = true
	case ready && b.Broken:
		if reason, _ := s.checkBlock(b, func(o *Block) bool { return o == b }); reason == "" {
			b.Broken = false
		}
	default:
		return
	}
	for _, sl := range b.Slots {
		s.recount(s.Workers[sl.Worker])
	}
	if a := s.Accounts[b.Account]; a != nil {
		a.Revision = s.token()
		s.reclassify(a)
	}
}

func (s *State) reserve(r record.Reserve) (Reason, string) {
	a := s.Accounts[r.Account]
	if a == nil {
		return ReasonUnknown, r.Account
	}
	if r.Revision != a.Revision {
		return ReasonStale, r.Account
	}
	b := findBlock(a, r.Block.GuaranteeIndex, r.Block.Copy)
	if b == nil {
		return ReasonUnknown, fmt.Sprintf("block %d.%d", r.Block.GuaranteeIndex, r.Block.Copy)
	}
	next := &Block{Account: b.Account, GuaranteeIndex: b.GuaranteeIndex, Copy: b.Copy, Shape: b.Shape, Slots: r.Block.Slots}
	if reason, detail := s.checkBlock(next, func(o *Block) bool { return o == b }); reason != "" {
		return reason, detail
	}
	// Guaranteed work must not become borrowed by a move of its block.
	if !b.Broken && s.holdsGuaranteed(b) {
		return ReasonGuarantee, "block holds guaranteed work"
	}
	s.unlinkBlock(b)
	b.Slots, b.Broken = next.Slots, false
	s.linkBlock(b)
	a.Revision = s.token()
	s.reclassify(a)
	return "", ""
}

func (s *State) holdsGuaranteed(b *Block) bool {
	for _, sl := range b.Slots {
		for _, t := range s.Workers[sl.Worker].Tasks {
			if t.Mask&sl.Mask != 0 && t.Job.Guaranteed && t.Token == t.Job.Token {
				return true
			}
		}
	}
	return false
}

// covered reports whether the slots lie wholly within whole blocks of the
// account.
func (s *State) covered(account string, slots []shape.Slot) bool {
	for _, sl := range slots {
		var own shape.Mask
		for _, b := range s.Workers[sl.Worker].Blocks {
			if b.Broken || b.Account != account {
				continue
			}
			own |= maskOn(b.Slots, s.Workers[sl.Worker])
		}
		if sl.Mask&^own != 0 {
			return false
		}
	}
	return true
}

// reclassify derives which of the account's placed jobs are guaranteed, for
// the jobs on its blocks and on the other blocks given.
func (s *State) reclassify(a *Account, old ...*Block) {
	for _, list := range [][]*Block{a.Blocks, old} {
		for _, b := range list {
			for _, sl := range b.Slots {
				for _, t := range s.Workers[sl.Worker].Tasks {
					j := t.Job
					if j.Spec.Account == a.Name && t.Token == j.Token && (j.Phase == JobHolding || j.Phase == JobRunning) {
						s.classify(j)
					}
				}
			}
		}
	}
}

// classify derives whether a placed job is guaranteed.
func (s *State) classify(j *Job) {
	now := s.covered(j.Spec.Account, j.Slots)
	if now == j.Guaranteed {
		return
	}
	j.Guaranteed = now
	for _, sl := range j.Slots {
		s.touched(s.Workers[sl.Worker])
	}
}
