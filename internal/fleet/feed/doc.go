// Package feed keeps an instance's copy of the ledger: it reads the log, folds
// its records, appends callers' records, and elects the instance that leads.
// The log decides every election: an instance leads once it has read its own
// claim, and the log refuses the appends of earlier epochs from then on.
package feed
