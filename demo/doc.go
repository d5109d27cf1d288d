// Package demo runs stand-ins and three entry instances in one process, plays
// an input through them over HTTP, and checks the fate of every job and
// request.
package demo
