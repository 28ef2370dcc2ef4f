// Package archtest checks the dependency rules between this module's packages.
// It holds tests only.
package archtest
