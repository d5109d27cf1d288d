package trace

import "jasminelane.example/lane/shape"

// Trace is a workload with its fleet, its faults and the expected outcomes.
// Times are milliseconds since the start of the trace, durations milliseconds.
type Trace struct {
	Head     Head
	Racks    []Rack
	Accounts []Account
	Services []Service
	Jobs     []Job
	Requests []Request
	Cancels  []Cancel
	Faults   []Fault
	Expects  []Expect
}

// Head is the first line of a trace.
type Head struct {
	Kind      string  `json:"kind"` // "trace"
	Name      string  `json:"name"`
	User      string  `json:"user"` // chirakkal or sandalwood
	Seed      uint64  `json:"seed"`
	Length    int64   `json:"length"`    // last submission or fault, milliseconds
	Instances int     `json:"instances"` // entry instances
	Urgent    string  `json:"urgent"`    // type of request to which the target urgentratio applies
	Long      string  `json:"long"`      // type of job to which the target longratio applies
	Weight    float64 `json:"weight"`    // of fragmentation against completion time, 0 to 1
}

// Rack is a rack of identical workers, named NAME-w0, NAME-w1 and so on.
type Rack struct {
	Kind    string  `json:"kind"` // "rack"
	Name    string  `json:"name"`
	Domain  string  `json:"domain"`
	Workers int     `json:"workers"`
	GPUs    int     `json:"gpus"` // of each worker
	Cores   float64 `json:"cores"`
	Memory  float64 `json:"memory"` // GB
}

// Account is a client account.
type Account struct {
	Kind       string      `json:"kind"` // "account"
	Name       string      `json:"name"`
	Weight     float64     `json:"weight"`
	Quota      int         `json:"quota,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
}

// Guarantee is a shape that is guaranteed to an account Count times.
type Guarantee struct {
	Shape string `json:"shape"`
	Count int    `json:"count"`
}

// Service is a service with identical backend servers, which are distributed
// round-robin over the failure domains.
type Service struct {
	Kind        string `json:"kind"` // "service"
	Name        string `json:"name"`
	Servers     int    `json:"servers"`
	Slots       int    `json:"slots"`       // of each server
	Connections int    `json:"connections"` // of each server
}

// Job is the submission of a job, with its true run time and its outcome if
// nothing interrupts it.
type Job struct {
	Kind       string  `json:"kind"` // "job"
	At         int64   `json:"at"`
	ID         string  `json:"id"`
	Account    string  `json:"account"`
	Type       string  `json:"type"` // for example sheet
	Shape      string  `json:"shape"`
	Run        int64   `json:"run"`      // true run time
	Declared   int64   `json:"declared"` // declared run time
	Outcome    string  `json:"outcome"`  // true outcome, done or failed
	Urgent     bool    `json:"urgent,omitempty"`
	Once       bool    `json:"once,omitempty"`
	Checkpoint bool    `json:"checkpoint,omitempty"`
	Cores      float64 `json:"cores,omitempty"`  // declared for each accelerator
	Memory     float64 `json:"memory,omitempty"` // declared for each accelerator, GB

	parsed shape.Shape
}

// Request is one request to a service, or Count requests at intervals of Gap
// with the ids ID-0, ID-1 and so on.
type Request struct {
	Kind     string `json:"kind"` // "request"
	At       int64  `json:"at"`
	ID       string `json:"id"`
	Account  string `json:"account"`
	Service  string `json:"service"`
	Type     string `json:"type"`             // for example name
	Class    string `json:"class"`            // urgent, normal or bulk
	Run      int64  `json:"run"`              // service time on the backend server
	Deadline int64  `json:"deadline"`         // after At; 0 means none
	Once     bool   `json:"once,omitempty"`   // not repeatable: must not run twice
	Resend   int64  `json:"resend,omitempty"` // delay after which the caller sends it once more through another instance; 0 means never
	Count    int    `json:"count,omitempty"`  // 0 means 1
	Gap      int64  `json:"gap,omitempty"`    // milliseconds
}

// Cancel is a caller's cancellation of a job.
type Cancel struct {
	Kind string `json:"kind"` // "cancel"
	At   int64  `json:"at"`
	Job  string `json:"job"`
}

// Types of faults.
const (
	FaultWorker  = "worker"  // the worker Target is lost
	FaultRack    = "rack"    // all workers of the rack Target are lost
	FaultDomain  = "domain"  // all workers and backend servers of the domain Target are lost
	FaultFailing = "failing" // every task on the worker Target fails
	FaultLog     = "log"     // the log is down; the append in flight takes effect but its response is lost
	FaultRestart = "restart" // every instance ends at At; new incarnations join at Until
)

// Fault is a fault that begins at At and ends at Until.
type Fault struct {
	Kind   string `json:"kind"` // "fault"
	At     int64  `json:"at"`
	Until  int64  `json:"until"`
	Type   string `json:"type"`
	Target string `json:"target,omitempty"`
}

// Expect is an expected outcome of the replay: either bounds of a measure (see
// Result.Values for the names), or how one job ends.
type Expect struct {
	Kind    string   `json:"kind"` // "expect"
	Measure string   `json:"measure,omitempty"`
	Least   *float64 `json:"least,omitempty"`
	Most    *float64 `json:"most,omitempty"`
	Job     string   `json:"job,omitempty"`
	End     string   `json:"end,omitempty"`    // done, failed, cancelled or refused
	Reason  string   `json:"reason,omitempty"` // of a refusal
}
