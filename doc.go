// Package zinniapond is the root of a scheduler for agent programs. It holds
// the core types, the messages between hosts, the errors, and the interfaces
// of everything that varies. Implementations live below internal/ and register
// themselves with the kernel.
package zinniapond
