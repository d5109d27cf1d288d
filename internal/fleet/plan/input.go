package plan

import "jasminelane.example/lane/internal/fleet/ledger"

// Resources is an amount of a worker's resources.
type Resources struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MiB
	GPU    int64
}

// Fits reports whether r covers the need n in every resource.
func (r Resources) Fits(n Resources) bool {
	return n.CPU <= r.CPU && n.Memory <= r.Memory && n.GPU <= r.GPU
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.Memory, o.Memory), max(r.GPU, o.GPU)}
}

// scale returns r times f.
func (r Resources) scale(f float64) Resources {
	return Resources{int64(f * float64(r.CPU)), int64(f * float64(r.Memory)), int64(f * float64(r.GPU))}
}

// Mul returns n times r.
func (r Resources) Mul(n int64) Resources { return Resources{n * r.CPU, n * r.Memory, n * r.GPU} }

// coresPerGPU is the number of processor cores that a GPU counts as in the cost
// of lost work.
const coresPerGPU = 8

// CoreEquivalents returns the processor cores plus coresPerGPU for each GPU.
// Memory does not count.
func (r Resources) CoreEquivalents() float64 { return float64(r.CPU)/1000 + coresPerGPU*float64(r.GPU) }

// MaxTasks returns how many tasks that need n each fit into r.
func (r Resources) MaxTasks(n Resources) int {
	times := int64(1 << 30)
	for _, d := range [][2]int64{{r.CPU, n.CPU}, {r.Memory, n.Memory}, {r.GPU, n.GPU}} {
		if d[1] > 0 {
			times = min(times, max(d[0], 0)/d[1])
		}
	}
	return int(times)
}

// Worker is a backend server that runs tasks.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	Total   Resources
	Free    Resources
	Suspect bool    // tasks of several jobs failed here recently; used last
	Watched bool    // a crash suspect has just started here; used last
	Speed   float64 // 1 is usual; 0 is unknown and counts as 1

	kept    bool  // for the most urgent work
	peakAge int64 // ms since the demand of that work last needed the worker
	// Contention is the expected cost of a task by its kind: the shares by which it and
	// the tasks that run here slow each other down. It changes as units are placed.
	Contention map[string]float64

	FailureRisk float64 // probability that a run fails there because of the worker

	rank      int            // of the worker for the unit that is being placed, see rankWorkers
	running   []*RunningUnit // units that are not being stopped, in no order until byStopCost
	sorted    bool           // running is in the order of byStopCost
	releasing Resources      // of units that are being stopped
	reserved  Resources      // subtracted from Free for reservations
	level     int            // of the contention for the unit that is being placed
}

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// WaitingUnit is a unit that could start now.
type WaitingUnit struct {
	ID           ledger.UnitID
	Run          int    // number of the run to start
	Kind         string // image of its tasks; empty if there is none
	Service      string
	Account      string
	Priority     int
	ReadySince   int64     // Unix ms from which on it could start
	RoomSince    int64     // Unix ms since which it could run and all rounds found room for it, but for short gaps; 0 if there is none
	NoRoomSince  int64     // Unix ms since which rounds have found no room for it; 0 if the last one did
	TriedAt      int64     // Unix ms of the last round that tried to place it; 0 is never
	AcceptedAt   int64     // Unix ms at which its job was accepted
	Late         bool      // its job can no longer meet its objective
	Age          float64   // time since AcceptedAt, in multiples of the latency objective of its job
	Slack        float64   // greatest factor by which its job can take longer than on usual workers and still meet its objective
	Whole        bool      // it is a gang, and the only unit of its occurrence of the job
	Work         Work      // of its occurrence of the job
	Width        int       // number of tasks
	Need         Resources // of one task
	Label        string
	Rack         string         // rack of its data; empty if there is none
	SameRack     bool           // all tasks should run in one rack
	MaxPerWorker int            // most tasks of its step on one worker; 0 is no limit
	RunningTasks map[string]int // running tasks of its step by worker; shared by the units of the step
	EstimateMs   int64          // estimated run time
	AvoidWorkers []string       // workers on which it failed
	Guaranteed   bool           // within its account's guarantee
	CrashSuspect bool           // a worker crashed under it lately, perhaps because of it
	JobIdle      bool           // no task of its job runs or is about to start
	LastAttempt  bool           // its job fails if this run of it does
	Lasting      bool           // its tasks run until the job is cancelled

	Checkpointable bool // a stop writes a checkpoint, so that little work is lost

	urgency  float64 // see sortWaiting
	anywhere bool    // its preferences count no longer, see placeOverdue
	large    bool    // a task needs more than half of a worker; set only if there are Slowdowns
}

// RunningUnit is a unit with a run that has not ended.
type RunningUnit struct {
	ID          ledger.UnitID
	Priority    int
	Need        Resources // of one task
	Workers     []string  // of the members that have not ended
	UnsavedMs   int64     // work that a stop would lose
	RemainingMs int64     // estimated time until it ends
	Guaranteed  bool      // within its account's guarantee
	Stopping    bool      // a stop has been requested or the run is ending

	Displaces []ledger.UnitID // units whose reserved resources it uses; they may preempt it

	stopCost  float64         // core-seconds that a stop loses
	preempted bool            // by this round
	victimOf  *preemptionPlan // newest plan that chose it
}

// Reservation is an amount of resources on workers that is reserved for a unit
// until it starts.
type Reservation struct {
	Unit          ledger.UnitID
	Priority      int // more urgent units may use the resources
	Need          Resources
	Workers       []string
	NonPreemptive bool  // nothing is stopped for it: the resources are freed by units that end
	Since         int64 // Unix ms since which the unit has had reservations without a gap
}

// Input is the state on which one round of planning decides.
type Input struct {
	Now          int64 // Unix ms
	Workers      []*Worker
	Waiting      []*WaitingUnit
	Running      []*RunningUnit
	Reservations []Reservation

	// UrgentDemand is the recent demand of the most urgent work by service. No headroom
	// is kept in services without an entry.
	UrgentDemand map[string]*DemandHistory
	// Slowdowns has, for each pair of kinds whose tasks slow each other down on one
	// worker, the sum of the shares by which two such tasks take longer. It is nil if
	// there are none.
	Slowdowns map[string]map[string]float64
}

// Placement assigns a unit to workers, one for each task.
type Placement struct {
	Unit      *WaitingUnit
	Workers   []string
	Displaces []ledger.UnitID // units whose reserved resources it uses; their reservations are void
	Contended int             // tasks on workers whose tasks and they are known to slow each other down
}

// Output holds the decisions of one round.
type Output struct {
	Placements   []Placement
	Preemptions  []*RunningUnit // units to stop for the units of Reservations
	Reservations []Reservation
	Waits        []Wait // the units without a placement
	Headroom     int    // number of workers that are kept free for the most urgent work
}
