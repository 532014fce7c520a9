// Package callerlimits holds tests of entry hosts whose callers exceed limits. The tests run the real programs as
// separate processes on loopback addresses, with stand-ins for the platform's store and the upstreams, and bound the
// resident memory and the open descriptors of the process.
//
// The tests run one at a time and apart from other packages (scripts/test), because load beside them changes when the
// garbage collector runs and thereby the memory that they measure.
package callerlimits
