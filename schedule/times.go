package schedule

import (
	"math"

	"jasminelane.example/lane/state"
)

// DefaultRun is the expected run time in milliseconds of a job without a
// declared one whose kind has not finished yet. Most jobs run for hours.
const DefaultRun = 60 * 60_000

// Times holds run times learned per account and kind. The zero value has
// learned nothing.
type Times struct {
	kinds map[kindKey]*runTime
}

type kindKey struct{ account, kind string }

// runTime is a moving mean and deviation in milliseconds.
type runTime struct {
	mean, deviation float64
	count           int
}

// timeGain is the weight of a new run time, so that about the last ten count.
const timeGain = 0.2

// declaredCount is how many finished jobs outweigh declared values.
const declaredCount = 3

// Learn takes over the run time in milliseconds of a finished job.
func (t *Times) Learn(account, kind string, ran int64) {
	if ran < 0 {
		return
	}
	if t.kinds == nil {
		t.kinds = map[kindKey]*runTime{}
	}
	k := kindKey{account, kind}
	r := t.kinds[k]
	if r == nil {
		r = &runTime{mean: float64(ran), deviation: float64(ran) / 2}
		t.kinds[k] = r
	}
	r.count++
	gain := max(timeGain, 1/float64(r.count))
	diff := float64(ran) - r.mean
	r.mean += gain * diff
	r.deviation += gain * (math.Abs(diff) - r.deviation)
}

// Expect returns the expected run time and a cautious upper estimate, in
// milliseconds. A declared value counts only until a few jobs of the account
// and kind have finished.
func (t *Times) Expect(account, kind string, declared int64) (mean, upper int64) {
	r := t.kinds[kindKey{account, kind}]
	if r == nil {
		if declared <= 0 {
			declared = DefaultRun
		}
		return declared, 2 * declared
	}
	m, d := r.mean, r.deviation
	if declared > 0 && r.count < declaredCount {
		w := float64(r.count) / declaredCount
		m = w*m + (1-w)*float64(declared)
		d = max(d, (1-w)*float64(declared))
	}
	return int64(m), int64(m + 2*d)
}

// end estimates when a placed job ends.
func (t *Times) end(j *state.Job, now int64) int64 {
	mean, _ := t.Expect(j.Spec.Account, j.Spec.Kind, j.Spec.ExpectedMs)
	left := int64(float64(mean) * (1 - j.Progress))
	if j.Phase != state.JobRunning {
		return now + left
	}
	// A job beyond its estimate is expected to need half as long again as it
	// has run.
	if over := j.StartedAt + left; over > now {
		return over
	}
	return now + (now-j.StartedAt)/2
}
