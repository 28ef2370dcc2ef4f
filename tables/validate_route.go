package tables

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"greengagespoke/domain"
)

const (
	// maxNameBytes bounds the names of rows, upstreams and availability zones.
	maxNameBytes = 128
	// maxRetryPercent bounds the retry budget of a route.
	maxRetryPercent = 100
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	// callMethods lists the methods that entries of non_idempotent may name.
	callMethods = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}
)

// checker records the first problem found in one row.
type checker struct {
	table domain.TableName
	row   string
	err   *InvalidRowError
}

// require records a problem unless the condition holds or an earlier problem is
// recorded.
func (c *checker) require(holds bool, field, message, remedy string) {
	if holds || c.err != nil {
		return
	}
	c.err = &InvalidRowError{Table: c.table, Row: c.row, Field: field, Message: message, Remedy: remedy}
}

func (c *checker) requireName(value, field string) {
	c.require(value != "", field, "is missing", "write a name")
	c.require(namePattern.MatchString(value) && len(value) <= maxNameBytes, field, fmt.Sprintf("%q is not a name", value),
		fmt.Sprintf("use at most %d letters, digits, dots, dashes and underscores, and begin with a letter or digit", maxNameBytes))
}

func (c *checker) requireNonNegative(value int, field string) {
	c.require(value >= 0, field, fmt.Sprintf("%d is negative", value), "write 0 or more")
}

// requireUnset requires that a field has no value because it has no meaning on this
// kind of row.
func (c *checker) requireUnset(unset bool, field, kind string) {
	c.require(unset, field, "has no meaning on "+kind, "remove it")
}

// result returns the problem as an error. It avoids a typed nil pointer in the
// interface.
func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

// ValidateRoute validates a row of the routes table without regard to other rows. The error is
// *InvalidRowError.
func ValidateRoute(route domain.Route) error {
	return checkRoute(string(route.Name), route)
}

// checkRoute validates a route stored under a row name.
func checkRoute(row string, route domain.Route) error {
	c := &checker{table: domain.TableRoutes, row: row}
	c.requireName(string(route.Name), "name")
	c.require(string(route.Name) == row, "name", fmt.Sprintf("%q differs from the row's name %q", route.Name, row), "write the same name")
	c.requireName(string(route.Pool), "pool")
	c.require(route.Model != "" || route.PathPrefix != "", "model", "is missing, and there is no path_prefix", "write the model that callers ask for, or a path_prefix for a service route")
	c.require(route.Model == "" || route.PathPrefix == "", "path_prefix", "stands beside model", "keep one of the two")
	c.require(route.Timeout >= 0, "timeout", "is negative", "write a duration such as 30s, or leave it out for no limit")
	c.require(route.RetryPercent >= 0 && route.RetryPercent <= maxRetryPercent, "retry_percent", fmt.Sprintf("%d is out of range", route.RetryPercent), "write 0 to 100")
	checkWeights(c, route)
	if route.Model != "" {
		checkModelRoute(c, route)
	} else {
		checkServiceRoute(c, route)
	}
	return c.result()
}

func checkWeights(c *checker, route domain.Route) {
	for _, caller := range sortedCallers(route.Weights) {
		weight := route.Weights[caller]
		c.require(weight > 0 && !math.IsInf(weight, 0), fmt.Sprintf("weights.%s", caller), fmt.Sprintf("%v is no weight", weight), "write a number above 0; 1 is the share of callers that are not listed")
	}
}

func sortedCallers(weights map[domain.CallerID]float64) []domain.CallerID {
	callers := make([]domain.CallerID, 0, len(weights))
	for caller := range weights {
		callers = append(callers, caller)
	}
	slices.Sort(callers)
	return callers
}

func checkModelRoute(c *checker, route domain.Route) {
	c.require(route.Class == domain.ClassInteractive || route.Class == domain.ClassPatient, "class", fmt.Sprintf("%q is unknown", route.Class), "write interactive or patient")
	interactive := route.Class == domain.ClassInteractive
	c.require(!interactive || route.FirstToken > 0, "first_token", "is missing on an interactive route", "write the time-to-first-token target, such as 700ms")
	c.require(route.FirstToken >= 0, "first_token", "is negative", "write a duration such as 700ms")
	c.require(route.BetweenTokens >= 0, "between_tokens", "is negative", "write a duration such as 60ms")
	c.require(route.MaxOutputTokens > 0, "max_output_tokens", "is missing or not positive", "write the largest output length that a caller may ask for, in tokens")
	c.requireNonNegative(route.MaxWaitingPerCaller, "max_waiting_per_caller")
	c.requireUnset(len(route.NonIdempotent) == 0, "non_idempotent", "a model route")
}

func checkServiceRoute(c *checker, route domain.Route) {
	const kind = "a service route"
	c.require(strings.HasPrefix(route.PathPrefix, "/"), "path_prefix", fmt.Sprintf("%q does not begin with /", route.PathPrefix), "write a path such as /ledger/")
	known := route.Class == "" || route.Class == domain.ClassInteractive || route.Class == domain.ClassPatient
	c.require(known, "class", fmt.Sprintf("%q is unknown", route.Class), "write interactive or patient, or leave it out")
	c.requireUnset(route.FirstToken == 0, "first_token", kind)
	c.requireUnset(route.BetweenTokens == 0, "between_tokens", kind)
	c.requireUnset(route.MaxOutputTokens == 0, "max_output_tokens", kind)
	c.requireUnset(route.MaxWaitingPerCaller == 0, "max_waiting_per_caller", kind)
	for i, call := range route.NonIdempotent {
		checkCall(c, route, i, call)
	}
}

// checkCall checks one entry of non_idempotent: "METHOD /path" or "METHOD /path*".
func checkCall(c *checker, route domain.Route, i int, call string) {
	field := fmt.Sprintf("non_idempotent[%d]", i)
	method, path, ok := strings.Cut(call, " ")
	c.require(ok && strings.HasPrefix(path, "/"), field, fmt.Sprintf("%q is no call", call), `write "METHOD /path", such as "POST /ledger/closures"`)
	c.require(slices.Contains(callMethods, method), field, fmt.Sprintf("method %q is unknown", method), "write GET, POST, PUT, PATCH or DELETE in capitals")
	star := strings.IndexByte(path, '*')
	c.require(star < 0 || star == len(path)-1, field, "has a * inside the path", "write * at the end only")
	stem := strings.TrimSuffix(path, "*")
	c.require(strings.HasPrefix(stem, route.PathPrefix), field, fmt.Sprintf("path %q lies outside path_prefix %q", path, route.PathPrefix), "write a path below path_prefix, or put the call on its own route")
}
