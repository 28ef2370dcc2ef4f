// Package urgency decides which requests get the places on upstreams while there are too few.
package urgency
