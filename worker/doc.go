// Package worker is the client side of the protocol between instances and
// workers. It renews the leases of workers, starts gangs (jobs whose members
// run on several workers at once), and proposes what the workers' answers
// change as report and health records.
//
// An instance sends each worker a sync: all grants that the state has for the
// worker, as of a log offset, with a lease. The worker answers with the status
// of each task. LeaseKeeper syncs workers periodically and after each change;
// GangStarter syncs the members of a gang until all of them run.
package worker
