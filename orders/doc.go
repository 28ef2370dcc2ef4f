// Package orders reconciles model engines with the pools table: model, adapter,
// version and role.
//
// Orders are absolute and idempotent. For each pool and availability zone, one
// host holds a lease and sends the orders, with the lease term as the fencing
// token. A pool loads one engine at a time, within the deployment's load slots, and
// never goes below its serving minimum for a load. Roles follow the measured load
// with hysteresis, by edits of the pool's row.
package orders
