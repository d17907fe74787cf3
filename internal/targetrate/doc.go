// Package targetrate enforces the rate limit that a target announces in its responses.
//
// An overloaded target announces the number of calls per second that it accepts from all
// nodes together; a response without the announcement lifts the limit. Because all calls
// to a target pass through its home, the home alone counts them: a Tracker decides which
// of the announcements is in force, and a Pacer admits calls at that rate. Peers learn the
// limit from the home's replies and from its record in the store. They send it back with
// their calls, so that a restarted home enforces it before the first response.
package targetrate
