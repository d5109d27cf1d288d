// Package leader implements the work of the leading instance during one epoch.
//
// The leader keeps a session with every worker, in which it renews the leases
// of the worker's runs and receives its reports. It plans which units start
// and which runs stop. A start is stored in the log before it is requested
// from the worker, and the end of a run is stored before it is acknowledged
// to the worker, which may then forget it.
//
// Lock order: the lock of the feed is taken before Leader.mu. No lock is held
// during I/O.
package leader
