// Package admission bounds what the clients of a process can hold: open
// connections on each listener, and bytes of request bodies in all.
package admission
