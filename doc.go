// Package zinniapond is the root package of a scheduler for agent programs. It
// defines the core types, the messages between hosts, the errors and the
// interfaces of the exchangeable components. Implementations are in packages
// below internal/ and register themselves with the kernel.
package zinniapond
