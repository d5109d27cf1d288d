// Package stream provides HTTP clients of the platform's append-only log and of
// its list of instances. The format of both is that of package standin, the
// project's own stand-ins for the platform.
package stream
