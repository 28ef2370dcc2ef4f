// Package stages decides how many model engines of a service read prompts and how
// many generate, and has engines change their role. One host at a time gives these
// orders, under a term with a fencing token.
package stages
