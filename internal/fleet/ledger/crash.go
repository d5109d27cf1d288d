package ledger

const (
	// minCrashes is the number of workers that crash under a task before its job
	// fails, if minPromptCrashes of them did so right after they had accepted it.
	// Other tasks crash along with their worker as well, rarely so often. A job
	// whose task lasts never fails; its task waits longer before each run.
	minCrashes       = 3
	minPromptCrashes = 2

	// maxCrashes is the number of workers that crash, or may have crashed, under a
	// task before its job fails in any case.
	maxCrashes = 5

	// crashBlameTime is the time in ms for which a task must have run to be
	// cleared: neither that crash nor the earlier ones are blamed on it.
	crashBlameTime = 10 * 60 * 1000
)

// CrashCount is the number of workers that crashed, perhaps because of a task.
type CrashCount struct {
	Total  int `cbor:"1,keyasint,omitempty"`
	Prompt int `cbor:"2,keyasint,omitempty"` // of these, right after they had accepted the task
}

// excessive reports whether the task must not be started again.
func (c CrashCount) excessive() bool {
	return c.Total >= minCrashes && c.Prompt >= minPromptCrashes || c.Total >= maxCrashes
}

// countCrash counts a worker that crashed under a member of the current run.
func (u *Unit) countCrash(r End) {
	if r.At-u.RunStartedAt > crashBlameTime {
		return
	}
	for len(u.Crashes) <= r.Member {
		u.Crashes = append(u.Crashes, CrashCount{})
	}
	c := &u.Crashes[r.Member]
	c.Total++
	if r.Prompt {
		c.Prompt++
	}
	if i := u.lostIndex(r.Run, r.Member); i >= 0 {
		u.Lost[i].Crash, u.Lost[i].Prompt = true, r.Prompt
	}
}

// CrashSuspect reports whether a worker crashed under the unit lately, perhaps
// because of it.
func (u *Unit) CrashSuspect() bool { return len(u.Crashes) > 0 }

// crashesWorkers reports whether a task of the unit crashed so many workers that
// it must not be started again.
func (u *Unit) crashesWorkers() bool {
	for _, c := range u.Crashes {
		if c.excessive() {
			return true
		}
	}
	return false
}
