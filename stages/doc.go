// Package stages balances the prefill and decode engines of a model service. It decides
// how many engines should have each role and orders engines to change their role. One
// host at a time sends these orders, under a lease term with a fencing token.
package stages
