package placement

import (
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// ownBlocksCache keeps what was counted in the blocks of one account until a
// worker of these blocks changes.
type ownBlocksCache struct {
	account       *state.Account // the state has a new pointer once the account is published again
	fits          map[jobNeed]int
	available     int // accelerators of the blocks that are free or can be reclaimed; -1 if not counted yet
	guaranteedUse int // accelerators of the blocks that hold guaranteed work; -1 if not counted yet
}

// jobNeed holds the attributes of a job that decide which of its account's
// blocks it fits.
type jobNeed struct {
	shape         shape.Shape
	cores, memory float64
}

// OwnBlockFits returns how many jobs like this one fit now into whole blocks
// of its account, by eviction where needed.
func (x *Index) OwnBlockFits(j *state.Job) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	a := x.state.Accounts[j.Spec.Account]
	if a == nil || !fillsBlocks(a, j.Spec.Shape.TotalGPUs()) {
		return 0
	}
	if x.heldWorkers > 0 || len(j.FailedOn) > 0 {
		return x.countOwnBlockFits(j, a)
	}
	c := x.ownBlocksCache(a)
	k := jobNeed{j.Spec.Shape, j.Spec.Cores, j.Spec.Memory}
	n, ok := c.fits[k]
	if !ok {
		n = x.countOwnBlockFits(j, a)
		c.fits[k] = n
	}
	return n
}

// ownBlocksCache returns the cache of the account, an empty one if the account
// was published again.
func (x *Index) ownBlocksCache(a *state.Account) *ownBlocksCache {
	c := x.blockFits[a.Name]
	if c == nil || c.account != a {
		c = &ownBlocksCache{a, map[jobNeed]int{}, -1, -1}
		x.blockFits[a.Name] = c
	}
	return c
}

// ownAvailable returns how many accelerators of the account's blocks are free or
// can be reclaimed, regardless of Hold.
func (x *Index) ownAvailable(a *state.Account) int {
	if len(a.Blocks) == 0 {
		return 0
	}
	c := x.ownBlocksCache(a)
	if c.available >= 0 {
		return c.available
	}
	c.available = 0
	for _, b := range a.Blocks {
		if b.Broken {
			continue
		}
		for _, sl := range b.Slots {
			c.available += (sl.Mask & x.workers[sl.Worker].reclaimable).Count()
		}
	}
	return c.available
}

// Borrowed returns how many accelerators the account uses beyond its
// guarantees: outside its blocks, or in them without a guarantee.
func (x *Index) Borrowed(a *state.Account) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.update()
	if len(a.Blocks) == 0 {
		return a.Used
	}
	c := x.ownBlocksCache(a)
	if c.guaranteedUse < 0 {
		c.guaranteedUse = 0
		for _, b := range a.Blocks {
			for _, sl := range b.Slots {
				for _, t := range x.state.Workers[sl.Worker].Tasks {
					if t.Job.Guaranteed && t.Token == t.Job.Token && t.Job.Spec.Account == a.Name {
						c.guaranteedUse += (t.Mask & sl.Mask).Count()
					}
				}
			}
		}
	}
	return max(0, a.Used-c.guaranteedUse)
}

// countOwnBlockFits counts OwnBlockFits without the cache.
func (x *Index) countOwnBlockFits(j *state.Job, a *state.Account) int {
	n, sh := 0, j.Spec.Shape
	parts := x.blockParts(j, a)
	for _, q := range parts {
		if !q.shared && q.available == q.block.Shape.TotalGPUs() && q.available == sh.TotalGPUs() && fillShape(sh, q.offers) != nil {
			n++
		}
	}
	if n == 0 {
		eachWholeBlockGroup(parts, sh, func(group []blockPart) {
			if slots, _, _ := x.combineParts(sh, group); slots != nil {
				n += len(group) * group[0].available / sh.TotalGPUs()
			}
		})
	}
	return n
}

// fillsBlocks reports whether n accelerators could fill whole blocks of the
// account.
func fillsBlocks(a *state.Account, n int) bool {
	for _, b := range a.Blocks {
		if n%b.Shape.TotalGPUs() == 0 {
			return true
		}
	}
	return false
}
