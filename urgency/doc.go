// Package urgency decides which requests get the places on upstreams while there are too few.
//
// The load that it addresses: a customer sends several times its usual load, or a third of the
// engines is gone, and requests of different priorities compete for the memory of the rest. Without
// it the most urgent requests are served worst, as their target latencies are the shortest.
//
// Every host decides alone, by the configuration and by what its own queue shows. The memory of the
// engines is what the hosts share: a less urgent request takes a place only where headroom for more
// urgent ones stays free (trunk reservation), so that these find places at once at every host.
package urgency
