// Package quota enforces the quotas of customers over all hosts together.
package quota
