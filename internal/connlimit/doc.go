// Package connlimit bounds the connections that a process has accepted, so that descriptors and
// memory remain for the connections that it opens itself.
//
// Callers keep idle connections, or open new ones faster than they use them. Without a bound, the
// process runs out of descriptors and accepts nothing until idle connections time out. A Table
// tracks which connections are idle and selects those to close beyond the bound: the one that has
// been idle longest first, as in the least recently used replacement of caches, since its caller is
// the least likely to use it next. A connection that carries a request is never selected, even if
// the bound is exceeded. The Table reads only the reported states, which are as old as the report.
package connlimit
