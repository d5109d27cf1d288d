package placement

import (
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// claimCache keeps the counts of claims of one account until a worker of its
// blocks changes.
type claimCache struct {
	account *state.Account // replaced when the account is published again
	counts  map[claimNeed]int
	room    int // accelerators of the blocks that could be taken; -1 if not counted
	used    int // accelerators of the blocks in guaranteed use; -1 if not counted
}

// claimNeed is what decides which of its account's blocks a job fills.
type claimNeed struct {
	shape         shape.Shape
	cores, memory float64
}

// Claims returns how many jobs like this one its account's blocks could take
// whole now, by eviction where needed.
func (x *Index) Claims(j *state.Job) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	a := x.state.Accounts[j.Spec.Account]
	if a == nil || !fillsBlocks(a, j.Spec.Shape.Total()) {
		return 0
	}
	if x.heldWorkers > 0 || len(j.FailedOn) > 0 {
		return x.countClaims(j, a)
	}
	c := x.claimCache(a)
	k := claimNeed{j.Spec.Shape, j.Spec.Cores, j.Spec.Memory}
	n, ok := c.counts[k]
	if !ok {
		n = x.countClaims(j, a)
		c.counts[k] = n
	}
	return n
}

func (x *Index) claimCache(a *state.Account) *claimCache {
	c := x.claims[a.Name]
	if c == nil || c.account != a {
		c = &claimCache{a, map[claimNeed]int{}, -1, -1}
		x.claims[a.Name] = c
	}
	return c
}

// ownRoom returns how many accelerators of the account's blocks could be taken
// if nothing were on hold.
func (x *Index) ownRoom(a *state.Account) int {
	if len(a.Blocks) == 0 {
		return 0
	}
	c := x.claimCache(a)
	if c.room >= 0 {
		return c.room
	}
	c.room = 0
	for _, b := range a.Blocks {
		if b.Broken {
			continue
		}
		for _, sl := range b.Slots {
			c.room += (sl.Mask & x.nodes[sl.Worker].stoppable).Count()
		}
	}
	return c.room
}

// Borrowed returns how many accelerators the account uses beyond its
// guarantees.
func (x *Index) Borrowed(a *state.Account) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flush()
	if len(a.Blocks) == 0 {
		return a.Used
	}
	c := x.claimCache(a)
	if c.used < 0 {
		c.used = 0
		for _, b := range a.Blocks {
			for _, sl := range b.Slots {
				for _, t := range x.state.Workers[sl.Worker].Tasks {
					if t.Job.Guaranteed && t.Token == t.Job.Token && t.Job.Spec.Account == a.Name {
						c.used += (t.Mask & sl.Mask).Count()
					}
				}
			}
		}
	}
	return max(0, a.Used-c.used)
}

func (x *Index) countClaims(j *state.Job, a *state.Account) int {
	n, sh := 0, j.Spec.Shape
	portions := x.portions(j, a)
	for _, q := range portions {
		if !q.shared && q.room == q.block.Shape.Total() && q.room == sh.Total() && fill(sh, q.offers) != nil {
			n++
		}
	}
	if n == 0 {
		eachMultiple(portions, sh, func(group []portion) {
			if slots, _, _ := x.gather(sh, group); slots != nil {
				n += len(group) * group[0].room / sh.Total()
			}
		})
	}
	return n
}

// fillsBlocks reports whether the accelerators could fill whole blocks of the
// account.
func fillsBlocks(a *state.Account, n int) bool {
	for _, b := range a.Blocks {
		if n%b.Shape.Total() == 0 {
			return true
		}
	}
	return false
}
