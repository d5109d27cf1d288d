// Package caller implements the API for callers. It routes requests to backend
// servers, submits and cancels jobs, and reports the outcome of each (done,
// notrun or unknown) with a reason.
//
// Router combines the choice of a server (package route), the client for
// backend servers (package backend) and the claims in the log, which let a
// non-repeatable request run at most once. Jobs submits and cancels jobs
// through the log. API serves both over HTTP.
package caller
