// Package fleettest has in-memory fakes of the platform's log and workers, and
// a checker of the scheduler's guarantees by what the workers observe. Tests in
// virtual time and tests with real processes use it.
package fleettest
