// Package fleettest stands in for what surrounds the instances in tests: the
// log, the workers, and a check of the promises from what the workers see. It
// serves tests in virtual time and tests with real processes.
package fleettest
