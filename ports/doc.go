// Package ports declares the interfaces through which the decisions of this
// module reach everything outside them: model engines, plain services, the
// platform's table service, object store and host list, other entry hosts and
// the wall clock. Implementations live in adapters and standin.
//
// Timers and timeouts use package time directly, so that tests run them under
// virtual time with testing/synctest. Clock is only for wall clock readings that
// are compared between hosts or stored.
package ports
