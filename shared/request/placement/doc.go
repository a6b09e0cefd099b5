// Package placement decides which waiting task goes to which idle slot, and
// when.
//
// A Scheduler holds the waiting tasks and the slots of the upstreams that one
// entry VM may use. The rule is a Policy, a sealed interface handled by type
// switches. The package reads no clock and opens no socket.
package placement
