package tablefile

import (
	"errors"
	"fmt"

	"greengagespoke/adapters/strictyaml"
	"greengagespoke/domain"
	"greengagespoke/tables"
)

// Error is an error in a table file.
type Error = strictyaml.Error

// File is the content of a table file.
type File struct {
	// Revision is the revision at which the rows were read, written by "tables
	// get". If it is set, a row that has changed since then is a conflict.
	Revision domain.Revision `yaml:"revision,omitempty"`
	Routes   []domain.Route  `yaml:"routes"`
	Pools    []domain.Pool   `yaml:"pools"`

	doc *strictyaml.Document
}

// Load reads and validates a table file. It returns an *Error if the file is
// unreadable or invalid.
func Load(path string) (*File, error) {
	data, err := strictyaml.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data)
}

// Parse decodes and validates table rows. The name identifies the file in errors,
// which are *Error.
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
	f.doc = doc
	return f, nil
}

// Locate converts the error of an edit with an invalid row or an unknown pool into
// an *Error with the line in the file. It returns other errors unchanged.
func (f *File) Locate(err error) error {
	var invalidRow *tables.InvalidRowError
	var unknownPool *tables.UnknownPoolError
	switch {
	case f.doc == nil:
		return err
	case errors.As(err, &invalidRow):
		at, found := f.rowPath(invalidRow.Table, invalidRow.Row)
		if found {
			return f.doc.ErrorAt(at+"."+invalidRow.Field, invalidRow.Message, invalidRow.Remedy)
		}
	case errors.As(err, &unknownPool):
		at, found := f.rowPath(domain.TableRoutes, string(unknownPool.Route))
		if found {
			return f.doc.ErrorAt(at+".pool", fmt.Sprintf("pool %q does not exist", unknownPool.Pool),
				"create the pool or correct the name")
		}
	}
	return err
}

// rowPath returns the key path of a row in the file and whether the file has the
// row.
func (f *File) rowPath(table domain.TableName, row string) (string, bool) {
	if table == domain.TableRoutes {
		for i, route := range f.Routes {
			if string(route.Name) == row {
				return fmt.Sprintf("routes[%d]", i), true
			}
		}
		return "", false
	}
	for i, pool := range f.Pools {
		if string(pool.Name) == row {
			return fmt.Sprintf("pools[%d]", i), true
		}
	}
	return "", false
}

// check validates decoded rows and returns the first error, or nil.
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
		if fault := rowError(doc, at, tables.ValidateRoute(route)); fault != nil {
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
		if fault := rowError(doc, at, tables.ValidatePool(pool)); fault != nil {
			return fault
		}
	}
	return nil
}

// rowError converts a validation error of a row into an *Error with the line in the
// file.
func rowError(doc *strictyaml.Document, at string, err error) *Error {
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
