package ledger

// Job is a job as an instance accepted it from a caller. Durations are in
// milliseconds; points in time are Unix times in milliseconds.
type Job struct {
	ID              string  `cbor:"1,keyasint"`
	Queue           string  `cbor:"2,keyasint"` // name of the route that the job was submitted to
	Account         string  `cbor:"3,keyasint,omitempty"`
	Service         string  `cbor:"4,keyasint"`
	Priority        int     `cbor:"5,keyasint,omitempty"` // 0 is the most urgent
	Attempts        int     `cbor:"6,keyasint,omitempty"` // number of failed runs of a unit after which the job fails; 0 is no limit
	Stretch         float64 `cbor:"7,keyasint,omitempty"` // the latency objective is Stretch times the work of the job plus Target
	Target          int64   `cbor:"8,keyasint,omitempty"`
	Spec            string  `cbor:"9,keyasint,omitempty"`
	Steps           []Step  `cbor:"10,keyasint"`
	OccurrenceCount int     `cbor:"11,keyasint,omitempty"` // occurrences of a scheduled job; 0 runs the job once, without delay
	FirstDue        int64   `cbor:"12,keyasint,omitempty"` // due time of occurrence 0
	Period          int64   `cbor:"13,keyasint,omitempty"`
	AcceptedAt      int64   `cbor:"14,keyasint,omitempty"` // by the clock of the accepting instance
	Instance        string  `cbor:"15,keyasint,omitempty"` // name of the accepting instance
	Seen            uint64  `cbor:"16,keyasint,omitempty"` // offset up to which the accepting instance had read the log then
}

// Step is a part of a job that consists of identical tasks.
type Step struct {
	Count          int    `cbor:"1,keyasint"`
	CPU            int64  `cbor:"2,keyasint,omitempty"` // thousandths of a core, per task
	Memory         int64  `cbor:"3,keyasint,omitempty"` // MiB, per task
	GPU            int64  `cbor:"4,keyasint,omitempty"`
	Estimate       int64  `cbor:"5,keyasint,omitempty"` // run time of a task in ms as declared by the caller; may be far off
	After          []int  `cbor:"6,keyasint,omitempty"` // indexes of the steps that must be done before this one starts
	Checkpointable bool   `cbor:"7,keyasint,omitempty"`
	Gang           bool   `cbor:"8,keyasint,omitempty"`  // all tasks must run at the same time
	SameRack       bool   `cbor:"9,keyasint,omitempty"`  // tasks are slow when they are spread over several racks
	Label          string `cbor:"10,keyasint,omitempty"` // label that a worker must have
	Rack           string `cbor:"11,keyasint,omitempty"` // rack close to the data; tasks are slow on other racks
	MaxPerWorker   int    `cbor:"12,keyasint,omitempty"` // greatest number of tasks on one worker; 0 is no limit
	Speculative    bool   `cbor:"13,keyasint,omitempty"`
	LongRunning    bool   `cbor:"14,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string `cbor:"15,keyasint,omitempty"`
	TailTarget     int64  `cbor:"16,keyasint,omitempty"` // bound on the tail latency of a long-running task, ms
	IdleCPUOnly    bool   `cbor:"17,keyasint,omitempty"` // tasks use only CPU time that other tasks leave idle
	MaxUnavailable int    `cbor:"18,keyasint,omitempty"` // greatest number of tasks that the scheduler may interrupt at the same time
}

// units returns the number of units of one occurrence of the step.
func (s *Step) units() int {
	if s.Gang {
		return 1
	}
	return s.Count
}

// Occurrences returns the number of times that the steps of the job run.
func (j *Job) Occurrences() int {
	return max(j.OccurrenceCount, 1)
}

// MaxLateness is how many times its latency objective a job may take before its result
// is of no use to its caller.
const MaxLateness = 3

// Objective returns the latency objective of one occurrence of the job in ms.
func (j *Job) Objective() int64 {
	totalEstimate := int64(0)
	for i := range j.Steps {
		totalEstimate += j.Steps[i].Estimate
	}
	return int64(j.Stretch*float64(totalEstimate)) + j.Target
}

// Due returns the Unix time in ms before which occurrence k must not start. It
// is 0 for a job that is not scheduled.
func (j *Job) Due(k int) int64 {
	if j.OccurrenceCount <= 0 {
		return 0
	}
	return j.FirstDue + int64(k)*j.Period
}
