// Package demo runs stand-ins for the surrounding systems and three entry
// instances in one process. It plays the jobs, requests and faults of an input
// against them over HTTP, and checks the outcome of every job and request.
package demo
