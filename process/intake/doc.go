// Package intake bounds what a process holds for the connections that it accepts: header
// sections and bodies that are being read, and the number of connections. The bounds
// derive from the memory and descriptors of the VM. It also bounds what servers send: the
// unfinished responses that an entry holds, and the heads of responses.
//
// A Ledger is pure accounting; a Guard applies two of them, and a bound of connections, to
// all HTTP servers of a process. No lock of the package is taken while another is held.
package intake
