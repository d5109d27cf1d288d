// Package intake handles the requests of callers: to submit a job, to cancel
// one and to ask for its phase. A submission or a cancellation is acknowledged
// only after its record is in the log.
package intake
