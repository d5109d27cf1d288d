// Package snapshot stores snapshots of the replicated state in the log. It
// encodes a state and splits it into chunks, assembles and verifies chunks, and
// finds the newest complete snapshot in the log. Instances have no disks, so
// they need a snapshot to load the state after older log entries have expired.
package snapshot
