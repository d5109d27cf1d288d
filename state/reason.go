package state

// Reason is why a record was refused; it is empty if the record was accepted.
type Reason string

// Reasons for refusal.
const (
	ReasonCorrupt    Reason = "corrupt"    // the body cannot be decoded
	ReasonKind       Reason = "kind"       // unknown kind of record
	ReasonDuplicate  Reason = "duplicate"  // the sequence number has been applied before
	ReasonSequence   Reason = "sequence"   // sequence number out of order
	ReasonFenced     Reason = "fenced"     // the writer has left or was evicted
	ReasonStale      Reason = "stale"      // based on an older revision, or the batch is too old
	ReasonConflict   Reason = "conflict"   // another version has been published since
	ReasonUpgrade    Reason = "upgrade"    // requires a newer program than some instance runs
	ReasonField      Reason = "field"      // an invalid field; the detail names it
	ReasonUnknown    Reason = "unknown"    // names an object that does not exist, such as an account, job, worker or member
	ReasonExists     Reason = "exists"     // the id is in use with different content
	ReasonInfeasible Reason = "infeasible" // the guarantees cannot all be reserved at once
	ReasonImpossible Reason = "impossible" // no rack, domain or worker can ever run the job
	ReasonShare      Reason = "share"      // more cores or memory than the accelerators' share of the worker
	ReasonQuota      Reason = "quota"      // exceeds the account's quota
	ReasonBusy       Reason = "busy"       // in use: accelerators, workers or an account with live jobs
	ReasonGuarantee  Reason = "guarantee"  // would violate a guarantee, or evict a job that cannot be evicted
	ReasonWorker     Reason = "worker"     // a worker is not ready
	ReasonPhase      Reason = "phase"      // the object is in a phase or condition that does not allow this
	ReasonToken      Reason = "token"      // the token of an older placement
	ReasonClaimed    Reason = "claimed"    // the request has been claimed before
	ReasonExpired    Reason = "expired"    // the time in the request's id is too old or too far in the future
	ReasonOwner      Reason = "owner"      // the claim belongs to another writer
	ReasonFull       Reason = "full"       // a table has reached its limit
)
