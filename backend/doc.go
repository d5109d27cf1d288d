// Package backend sends requests to backend servers over HTTP and matches
// their answers.
//
// A request is POST /run/{service} with the headers Request-Id (the caller's
// id), Attempt-Id (unique for each attempt to send a request), Account,
// Repeatable, and Deadline-Ms (milliseconds until the deadline). The answer
// repeats Request-Id and Attempt-Id, and has the headers Answer-Length and
// Checksum (xxhash64 of the body in hexadecimal), Load (requests running or
// waiting in the server) and, from a server that is leaving, Leaving: true. A
// server that refuses a request before it runs anything answers 503 with Fate:
// notrun and Reason: busy, leaving or deadline. GET /probe answers 204 with Load
// and Leaving.
//
// Each request has a connection of its own while it is in progress. The
// connection is reused only after a complete answer that matches the request.
package backend
