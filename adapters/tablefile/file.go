package tablefile

import (
	"errors"
	"fmt"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/tables"
)

// Error is a fault in a table file.
type Error = strictyaml.Error

// File is the content of a table file.
type File struct {
	// Revision is the revision at which the rows were read. Where it is set, a
	// row that has changed since then is a conflict. "tables get" writes it.
	Revision domain.Revision `yaml:"revision,omitempty"`
	Routes   []domain.Route  `yaml:"routes"`
	Pools    []domain.Pool   `yaml:"pools"`
}

// Load reads and checks a table file. Faults are *Error.
func Load(path string) (*File, error) {
	data, err := strictyaml.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse reads and checks table rows. The name stands for the file in errors.
func Parse(name string, data []byte) (*File, error) {
	doc, err := strictyaml.Parse(name, data)
	if err != nil {
		return nil, err
	}
	f := new(File)
	if err := doc.Decode(f); err != nil {
		return nil, err
	}
	if fault := check(doc, f); fault != nil {
		return nil, fault
	}
	return f, nil
}

// check returns the first fault of decoded rows, or nil.
func check(doc *strictyaml.Document, f *File) *Error {
	if f.Revision < 0 {
		return doc.ErrorAt("revision", "the revision is negative", `keep the number that "tables get" wrote`)
	}
	seenRoutes := make(map[domain.RouteName]bool)
	for i, route := range f.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		if fault := checkName(doc, at, string(route.Name), seenRoutes[route.Name]); fault != nil {
			return fault
		}
		seenRoutes[route.Name] = true
		if fault := invalid(doc, at, tables.ValidateRoute(route)); fault != nil {
			return fault
		}
	}
	seenPools := make(map[domain.PoolName]bool)
	for i, pool := range f.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		if fault := checkName(doc, at, string(pool.Name), seenPools[pool.Name]); fault != nil {
			return fault
		}
		seenPools[pool.Name] = true
		if fault := invalid(doc, at, tables.ValidatePool(pool)); fault != nil {
			return fault
		}
	}
	return nil
}

// invalid turns the error about a row's value into one with its line.
func invalid(doc *strictyaml.Document, at string, err error) *Error {
	var row *tables.InvalidRowError
	if errors.As(err, &row) {
		return doc.ErrorAt(at+"."+row.Field, row.Message, row.Remedy)
	}
	return nil
}

func checkName(doc *strictyaml.Document, at, name string, seen bool) *Error {
	if name == "" {
		return doc.ErrorAt(at+".name", "the value is missing", "give the row a name")
	}
	if seen {
		return doc.ErrorAt(at+".name", fmt.Sprintf("the name %q is used twice", name), "keep one of the two rows")
	}
	return nil
}
