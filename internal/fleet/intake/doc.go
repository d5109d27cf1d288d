// Package intake takes in callers' jobs, cancellations and questions. A job or
// a cancellation is acknowledged only when it is in the log.
package intake
