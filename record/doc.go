// Package record defines the entries that instances append to the platform's
// log: batches of typed records, their CBOR and JSON encodings and their size
// limits.
package record
