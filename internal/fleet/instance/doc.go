// Package instance runs one instance of the system. It connects the feed, the
// intake, the leader and the HTTP listeners, and shuts them down gracefully.
package instance
