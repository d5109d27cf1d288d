// Package contention learns which kinds of tasks slow each other down on one
// worker, and by how much. It reads no clock, starts no goroutines and sends no
// requests.
//
// A kind is the image that a task runs. The input is, for each report of a worker,
// the progress of each run or the tail latency of each serving task. A run is
// compared with itself while the kinds beside it change, and with tasks of the same
// step that run at the same time on workers with other kinds beside them. What is
// common to all kinds on a worker counts as the speed of the worker.
//
// It is made for some hundred kinds on up to some thousand workers that report about
// once a second, and for effects that change within seconds: what is not seen again
// ceases to count after at most 18 s.
package contention
