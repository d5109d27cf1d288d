// Package worker speaks the workers' protocol: it renews leases, starts gangs
// and turns what workers answer into reports and health records.
package worker
