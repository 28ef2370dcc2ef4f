// Package orders brings model engines to what the pools table asks for: model,
// adapter, version and role.
//
// Orders are absolute and idempotent. For each pool and availability zone one host
// holds a lease and sends them, with the lease's term as the fencing number. Loads
// take turns and never take a pool below its serving minimum. Roles follow the
// measured load with hysteresis, by edits of the pool's row.
package orders
