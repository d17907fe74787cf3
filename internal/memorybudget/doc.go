// Package memorybudget bounds the bytes of messages that a process holds.
//
// It answers a load of large messages: bodies that clients send, responses that clients read
// slowly, and responses without end. Each is harmless alone, but the process is killed by its
// machine if their sum exceeds the memory, and all other requests fail with it.
//
// A Budget is a share of the process's memory. A Reservation grows as the bytes of a message are
// received and is released once they are no longer referenced, so that the sum is exact and as
// old as the last byte. Limits decides: as in a memory pool with a reserve, a message that does
// not fit is refused at once rather than queued, and what remains is granted by the work that a
// refusal would waste. New large messages are refused first, then responses to requests that have
// run, and small messages last, so that small requests are served while large ones are refused.
//
// Before a request runs, room is reserved for the usual size of its route's responses
// (ResponseSizes), so that a request is refused rather than run in vain.
package memorybudget
