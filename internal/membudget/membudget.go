// Package membudget bounds the memory that a host holds for requests and responses.
package membudget
