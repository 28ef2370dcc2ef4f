// Package ports declares the interfaces through which the routing and scheduling
// logic of this module reaches external systems: model engines, plain services,
// the platform's table service, object store and host list, other entry hosts
// and the wall clock. The implementations are in adapters and standin.
//
// Timers and timeouts use package time directly, so that tests can run them
// under virtual time with testing/synctest. Clock is only for wall clock readings
// that are stored or compared between hosts.
package ports
