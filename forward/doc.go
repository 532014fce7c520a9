// Package forward forwards callers' requests to upstreams. An upstream receives the
// method, path, headers and body as the caller sent them, except for headers that
// concern one connection or that only this system sets. The caller receives the
// upstream's answer byte for byte.
//
// A request is identified, admitted, sent to a chosen upstream, relayed and accounted
// for. These steps are methods of exchange, the state of one request, and each step
// has its own file. A Codec defines the header names, package routing chooses the
// upstream, and packages admission and retry define the limits.
package forward
