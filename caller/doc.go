// Package caller serves callers: it routes requests to backend servers,
// submits and cancels jobs, and tells the fate of each (done, notrun,
// unknown) with a reason.
//
// The Router ties the choice of server (package route), the client to backend
// servers (package backend) and the claims in the log together. The API is
// its HTTP side.
package caller
