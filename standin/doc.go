// Package standin holds small stand-ins for the systems around the project:
// the platform's log and instance list, workers and backend servers. Each
// injects the failures that the real system can have, set through POST /fault.
// They keep everything in memory and are meant for tests and demonstrations.
package standin
