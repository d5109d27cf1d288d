package state

// Reason says why a record was refused; the empty reason means accepted.
type Reason string

// Reasons for refusal.
const (
	ReasonCorrupt    Reason = "corrupt"    // the body cannot be decoded
	ReasonKind       Reason = "kind"       // unknown kind of record
	ReasonDuplicate  Reason = "duplicate"  // this sequence number was applied before
	ReasonSequence   Reason = "sequence"   // sequence number out of order
	ReasonFenced     Reason = "fenced"     // the writer was evicted
	ReasonStale      Reason = "stale"      // based on something older than the state
	ReasonConflict   Reason = "conflict"   // another version was published first
	ReasonUpgrade    Reason = "upgrade"    // needs a newer program than some instance runs
	ReasonField      Reason = "field"      // a field is not valid; the detail names it
	ReasonUnknown    Reason = "unknown"    // names an account, job, worker or member that does not exist
	ReasonExists     Reason = "exists"     // the id is in use with other content
	ReasonInfeasible Reason = "infeasible" // the guarantees cannot all be met at once
	ReasonImpossible Reason = "impossible" // the job can never run
	ReasonShare      Reason = "share"      // more cores or memory than the accelerators' share
	ReasonQuota      Reason = "quota"      // beyond the account's quota
	ReasonBusy       Reason = "busy"       // accelerators are held by others
	ReasonGuarantee  Reason = "guarantee"  // would take a guarantee that must stay reclaimable
	ReasonWorker     Reason = "worker"     // a worker is not ready
	ReasonPhase      Reason = "phase"      // not in the phase that this needs
	ReasonToken      Reason = "token"      // token of an older grant
	ReasonClaimed    Reason = "claimed"    // the request was claimed before
	ReasonExpired    Reason = "expired"    // the request's id is older than claims are kept
	ReasonOwner      Reason = "owner"      // only the claimant may do this
	ReasonFull       Reason = "full"       // a table is at its limit
)
