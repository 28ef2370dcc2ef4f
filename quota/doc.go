// Package quota enforces the quotas of customers over all hosts together.
//
// It addresses customers that compete for too little capacity, one of which sends several times its
// usual load. Each quota is split into parts, each of which one host grants: the highest-ranked one
// of an availability zone. Hosts take tokens from granting hosts before they serve requests, and
// give back those that they did not use. A granting host keeps a token bucket and a log of its
// grants, so that the bound holds in each window whatever is given back. A host that cannot know
// that it alone grants a part grants nothing.
package quota
