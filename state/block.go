package state

import (
	"fmt"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
)

// checkBlock returns why the block cannot be reserved, or an empty reason. A
// block must have its shape, lie on ready workers and be disjoint from all
// other blocks, except broken ones and those that ignore accepts. Work on it
// must belong to its own account or be evictable.
func (s *State) checkBlock(b *Block, ignore func(*Block) bool) (Reason, string) {
	if detail := s.checkSlots(b.Shape, b.Slots); detail != "" {
		return ReasonField, detail
	}
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		if !w.Ready() {
			return ReasonWorker, w.Name
		}
		for _, o := range w.Blocks {
			if o.Broken || ignore(o) {
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

// checkSlots returns why the slots are not a placement of the shape, or "".
func (s *State) checkSlots(sh shape.Shape, slots []shape.Slot) string {
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

// sameUnit reports whether two workers lie in the same unit of the level: the
// worker itself, its rack or its failure domain.
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

// linkBlock adds the block to its workers.
func (s *State) linkBlock(b *Block) {
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		w.Blocks = append(w.Blocks, b)
		s.updateMasks(w)
	}
}

// unlinkBlock removes the block from its workers.
func (s *State) unlinkBlock(b *Block) {
	for _, sl := range b.Slots {
		w := s.Workers[sl.Worker]
		w.Blocks = slices.DeleteFunc(w.Blocks, func(x *Block) bool { return x == b })
		s.updateMasks(w)
	}
}

// refreshBlock updates Broken after one of the block's workers has changed. A
// broken block is restored only if its accelerators have not been taken
// meanwhile.
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
		s.updateMasks(s.Workers[sl.Worker])
	}
	if a := s.Accounts[b.Account]; a != nil {
		a.Revision = s.entryToken()
		s.updateAccountJobs(a)
	}
}

// reserve applies record.Reserve, which moves a block to other accelerators.
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
	// Moving the block would turn its guaranteed work into evictable work.
	if !b.Broken && s.hasGuaranteedWork(b) {
		return ReasonGuarantee, "block holds guaranteed work"
	}
	s.unlinkBlock(b)
	b.Slots, b.Broken = next.Slots, false
	s.linkBlock(b)
	a.Revision = s.entryToken()
	s.updateAccountJobs(a)
	return "", ""
}

// hasGuaranteedWork reports whether a guaranteed job is placed on the block.
func (s *State) hasGuaranteedWork(b *Block) bool {
	for _, sl := range b.Slots {
		for _, t := range s.Workers[sl.Worker].Tasks {
			if t.Mask&sl.Mask != 0 && t.Job.Guaranteed && t.Token == t.Job.Token {
				return true
			}
		}
	}
	return false
}

// inOwnBlocks reports whether all of the slots lie in blocks of the account
// that are not broken.
func (s *State) inOwnBlocks(account string, slots []shape.Slot) bool {
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

// updateAccountJobs updates Guaranteed of the account's placed jobs on its
// current blocks and on its old blocks.
func (s *State) updateAccountJobs(a *Account, old ...*Block) {
	for _, list := range [][]*Block{a.Blocks, old} {
		for _, b := range list {
			for _, sl := range b.Slots {
				for _, t := range s.Workers[sl.Worker].Tasks {
					j := t.Job
					if j.Spec.Account == a.Name && t.Token == j.Token && (j.Phase == JobHolding || j.Phase == JobRunning) {
						s.updateGuaranteed(j)
					}
				}
			}
		}
	}
}

// updateGuaranteed updates Guaranteed of a placed job and notifies the
// listener of its workers if it has changed.
func (s *State) updateGuaranteed(j *Job) {
	guaranteed := s.inOwnBlocks(j.Spec.Account, j.Slots)
	if guaranteed == j.Guaranteed {
		return
	}
	j.Guaranteed = guaranteed
	for _, sl := range j.Slots {
		s.workerChanged(s.Workers[sl.Worker])
	}
}
