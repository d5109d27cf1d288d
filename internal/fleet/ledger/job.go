package ledger

// Job is a caller's job as it was accepted. Times are in milliseconds.
type Job struct {
	ID       string  `cbor:"1,keyasint"`
	Queue    string  `cbor:"2,keyasint"` // name of the route it came in by
	Account  string  `cbor:"3,keyasint,omitempty"`
	Service  string  `cbor:"4,keyasint"`
	Priority int     `cbor:"5,keyasint,omitempty"` // 0 is the most urgent
	Attempts int     `cbor:"6,keyasint,omitempty"` // failed runs of a unit before the job fails
	Stretch  float64 `cbor:"7,keyasint,omitempty"` // objective: Stretch times its work, and Target more
	Target   int64   `cbor:"8,keyasint,omitempty"`
	Spec     string  `cbor:"9,keyasint,omitempty"`
	Steps    []Step  `cbor:"10,keyasint"`
	Times    int     `cbor:"11,keyasint,omitempty"` // occurrences of a scheduled job; 0 runs once, at once
	First    int64   `cbor:"12,keyasint,omitempty"` // Unix time of occurrence 0
	Period   int64   `cbor:"13,keyasint,omitempty"`
	Accepted int64   `cbor:"14,keyasint,omitempty"` // Unix time at the instance that accepted it
	Node     string  `cbor:"15,keyasint,omitempty"` // instance that accepted it
}

// Step is a part of a job whose tasks are alike.
type Step struct {
	Count          int    `cbor:"1,keyasint"`
	CPU            int64  `cbor:"2,keyasint,omitempty"` // thousandths of a core, for each task
	Memory         int64  `cbor:"3,keyasint,omitempty"` // MiB
	GPU            int64  `cbor:"4,keyasint,omitempty"`
	Estimate       int64  `cbor:"5,keyasint,omitempty"` // declared run time of a task, ms; may be far off
	After          []int  `cbor:"6,keyasint,omitempty"` // steps that must be done first
	Checkpointable bool   `cbor:"7,keyasint,omitempty"`
	Gang           bool   `cbor:"8,keyasint,omitempty"`  // tasks run only together
	SameRack       bool   `cbor:"9,keyasint,omitempty"`  // tasks are slow when spread over racks
	Label          string `cbor:"10,keyasint,omitempty"` // label that a worker must carry
	Rack           string `cbor:"11,keyasint,omitempty"` // rack near the data; elsewhere tasks are slow
	Apart          int    `cbor:"12,keyasint,omitempty"` // at most this many tasks on one worker; 0 is no limit
	Speculative    bool   `cbor:"13,keyasint,omitempty"`
	Lasting        bool   `cbor:"14,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string `cbor:"15,keyasint,omitempty"`
	TailTarget     int64  `cbor:"16,keyasint,omitempty"` // tail latency bound of a lasting task, ms
	Fills          bool   `cbor:"17,keyasint,omitempty"` // uses only processor time that others leave idle
	MayMiss        int    `cbor:"18,keyasint,omitempty"` // tasks that may be away at once by our doing
}

// Occurrences returns how often the job's steps run.
func (j *Job) Occurrences() int {
	return max(j.Times, 1)
}

// Due returns the Unix time in ms before which occurrence k must not start.
func (j *Job) Due(k int) int64 {
	if j.Times <= 0 {
		return 0
	}
	return j.First + int64(k)*j.Period
}
