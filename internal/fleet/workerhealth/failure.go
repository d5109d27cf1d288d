package workerhealth

import (
	"math"
	"slices"
	"time"
)

const (
	// recordHalfLife is the time after which a success or a failure counts half. The
	// faults of workers that callers see last for tens of seconds.
	recordHalfLife = 20 * time.Second

	// maxRecordAge is the age from which on a failure does not count.
	maxRecordAge = 6 * recordHalfLife

	// maxFailures bounds the failures that are remembered of a worker, the newest ones.
	maxFailures = 16

	// basePrior is the number of runs that the assumption of baseRisk counts as.
	// domainRunPrior, rackRunPrior and workerRunPrior are the numbers of runs that the
	// risk of the next wider place counts as.
	basePrior      = 20
	baseRisk       = 0.01
	domainRunPrior = 20
	rackRunPrior   = 10
	workerRunPrior = 5
)

// record is what is known of the runs of one incarnation of a worker.
type record struct {
	place     Place
	successes float64 // weighted by age, at the last update
	failures  []failure
	seenAt    time.Time
	risk      float64 // at the last update
}

// failure is the failures of a job on a worker.
type failure struct {
	job    string
	at     time.Time // of the newest one
	weight float64   // the first one counts 1, each further one half of the one before
}

// jobRecord is on which workers runs of a job have ended.
type jobRecord struct {
	done, failed map[string]bool
	seenAt       time.Time
}

// Failures estimates the probability that a run on a worker fails because of the
// worker. The zero value is ready for use.
type Failures struct {
	workers   map[string]*record
	jobs      map[string]*jobRecord
	racks     map[string]float64 // risks
	domains   map[string]float64 // risks
	base      float64            // risk of all workers
	updatedAt time.Time
}

// recordOf returns the records of a worker and of a job of which a run has ended.
func (f *Failures) recordOf(job string, at Place, now time.Time) (*record, *jobRecord) {
	if f.workers == nil {
		f.workers, f.jobs = make(map[string]*record), make(map[string]*jobRecord)
	}
	r, j := f.workers[at.Worker], f.jobs[job]
	if r == nil {
		r = &record{}
		f.workers[at.Worker] = r
	}
	if j == nil {
		j = &jobRecord{done: make(map[string]bool), failed: make(map[string]bool)}
		f.jobs[job] = j
	}
	r.place, r.seenAt, j.seenAt = at, now, now
	return r, j
}

// Done adds a run that has ended as done.
func (f *Failures) Done(job string, at Place, now time.Time) {
	r, j := f.recordOf(job, at, now)
	r.successes++
	j.done[at.Worker] = true
}

// Failed adds a run that has failed. The failures of one job on a worker count twice
// at most, however many there are.
func (f *Failures) Failed(job string, at Place, now time.Time) {
	r, j := f.recordOf(job, at, now)
	sum := 1.0
	r.failures = slices.DeleteFunc(r.failures, func(o failure) bool {
		if o.job == job {
			sum += o.weight / 2
		}
		return o.job == job
	})
	if len(r.failures) >= maxFailures {
		r.failures = slices.Delete(r.failures, 0, 1)
	}
	r.failures = append(r.failures, failure{job, now, sum})
	j.failed[at.Worker] = true
}

// Restart forgets what is known of a worker: its record is that of an incarnation.
func (f *Failures) Restart(worker string) { delete(f.workers, worker) }

// blame returns the share of a failure of the job that counts against the worker. A
// job that fails on many workers and is done on few is itself at fault.
func (j *jobRecord) blame() float64 {
	if j == nil || len(j.failed) == 0 {
		return 1
	}
	return min(1, float64(len(j.done)+1)/float64(len(j.done)+len(j.failed)))
}

// counts adds up failures and runs.
type counts struct{ failed, runs float64 }

// risk returns the share of failed runs, with a number of runs that fail at the rate
// of the prior.
func (c counts) risk(prior, runs float64) float64 { return (c.failed + prior*runs) / (c.runs + runs) }

// Update estimates all risks again.
func (f *Failures) Update(now time.Time) {
	keep := 1.0
	if !f.updatedAt.IsZero() {
		keep = weight(now.Sub(f.updatedAt))
	}
	f.updatedAt = now
	for id, j := range f.jobs {
		if now.Sub(j.seenAt) > maxRecordAge {
			delete(f.jobs, id)
		}
	}
	var all counts
	own := make(map[*record]counts, len(f.workers))
	racks, domains := make(map[string]counts), make(map[string]counts)
	for id, r := range f.workers {
		if now.Sub(r.seenAt) > maxRecordAge {
			delete(f.workers, id)
			continue
		}
		c := r.count(f.jobs, keep, now)
		own[r] = c
		all = all.add(c)
		racks[r.place.Rack] = racks[r.place.Rack].add(c)
		domains[r.place.Domain] = domains[r.place.Domain].add(c)
	}
	f.base = all.risk(baseRisk, basePrior)
	f.domains, f.racks = make(map[string]float64, len(domains)), make(map[string]float64, len(racks))
	for name, c := range domains {
		f.domains[name] = c.risk(f.base, domainRunPrior)
	}
	for r := range own {
		if _, ok := f.racks[r.place.Rack]; !ok {
			f.racks[r.place.Rack] = racks[r.place.Rack].risk(f.domains[r.place.Domain], rackRunPrior)
		}
	}
	for r, c := range own {
		r.risk = c.risk(f.racks[r.place.Rack], workerRunPrior)
	}
}

// count returns the weighted runs of the record, and lets its successes age.
func (r *record) count(jobs map[string]*jobRecord, keep float64, now time.Time) counts {
	r.successes *= keep
	r.failures = slices.DeleteFunc(r.failures, func(o failure) bool { return now.Sub(o.at) > maxRecordAge })
	c := counts{runs: r.successes}
	for _, o := range r.failures {
		v := o.weight * weight(now.Sub(o.at)) * jobs[o.job].blame()
		c.failed += v
		c.runs += v
	}
	return c
}

// add returns the sum.
func (c counts) add(o counts) counts { return counts{c.failed + o.failed, c.runs + o.runs} }

// weight returns how much a run counts after the time.
func weight(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / recordHalfLife.Seconds())
}

// Risk returns the probability that a run on the worker fails because of the worker.
func (f *Failures) Risk(at Place) float64 {
	if r := f.workers[at.Worker]; r != nil {
		return r.risk
	}
	if v, ok := f.racks[at.Rack]; ok {
		return v
	}
	return f.DomainRisk(at.Domain)
}

// DomainRisk returns the probability that a run in the failure domain fails because of
// its worker.
func (f *Failures) DomainRisk(domain string) float64 {
	if v, ok := f.domains[domain]; ok {
		return v
	}
	return f.base
}
