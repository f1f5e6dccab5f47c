// Package plugs is the list of all plug-ins. Importing it registers them with
// the kernel.
package plugs
