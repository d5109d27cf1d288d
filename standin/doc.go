// Package standin has in-memory stand-ins for the systems that the scheduler
// depends on: the platform's log and instance list, workers and backend servers.
// Each injects faults of the real system, which POST /fault sets. They are meant
// for tests and demonstrations.
package standin
