package schedule

import (
	"math"

	"jasminelane.example/lane/state"
)

// DefaultRunTimeMs is the expected run time of a job that declares none and of
// whose account and kind no job has finished yet. Most jobs run for hours.
const DefaultRunTimeMs = 60 * 60_000

// RunTimes estimates the run times of jobs by account and kind from those of
// finished jobs. The zero value has no data.
type RunTimes struct {
	kinds map[kindKey]*runTime
}

type kindKey struct{ account, kind string }

// runTime is an exponential moving average of run times and of their absolute
// deviation, in milliseconds.
type runTime struct {
	mean, deviation float64
	count           int
}

// runTimeWeight is the weight of a new run time in the moving average, with which
// about the last ten run times count.
const runTimeWeight = 0.2

// minFinishedJobs is the number of finished jobs from which on declared run times
// no longer count.
const minFinishedJobs = 3

// Add adds the run time in milliseconds of a finished job.
func (t *RunTimes) Add(account, kind string, ran int64) {
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
	gain := max(runTimeWeight, 1/float64(r.count))
	diff := float64(ran) - r.mean
	r.mean += gain * diff
	r.deviation += gain * (math.Abs(diff) - r.deviation)
}

// Estimate returns the expected run time and a conservative upper estimate, in
// milliseconds. A declared run time counts only until minFinishedJobs jobs of the
// account and kind have finished.
func (t *RunTimes) Estimate(account, kind string, declared int64) (mean, upper int64) {
	r := t.kinds[kindKey{account, kind}]
	if r == nil {
		if declared <= 0 {
			declared = DefaultRunTimeMs
		}
		return declared, 2 * declared
	}
	m, d := r.mean, r.deviation
	if declared > 0 && r.count < minFinishedJobs {
		w := float64(r.count) / minFinishedJobs
		m = w*m + (1-w)*float64(declared)
		d = max(d, (1-w)*float64(declared))
	}
	return int64(m), int64(m + 2*d)
}

// estimateEnd returns the expected end of a placed job, in Unix milliseconds.
func (t *RunTimes) estimateEnd(j *state.Job, now int64) int64 {
	mean, _ := t.Estimate(j.Spec.Account, j.Spec.Kind, j.Spec.ExpectedMs)
	remaining := int64(float64(mean) * (1 - j.Progress))
	if j.Phase != state.JobRunning {
		return now + remaining
	}
	// A job that has exceeded its estimate is expected to run for another half
	// of the time that it has run so far.
	if end := j.StartedAt + remaining; end > now {
		return end
	}
	return now + (now-j.StartedAt)/2
}
