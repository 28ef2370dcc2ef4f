package docstest

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"greengagespoke/adapters/strictyaml"
)

// source holds the struct types of packages by "package.Type".
type source map[string]*ast.StructType

// parseSource reads the struct types of packages in the module.
func parseSource(t *testing.T, packages ...string) source {
	t.Helper()
	types := make(source)
	for _, name := range packages {
		for _, decl := range declarations(t, name) {
			if spec, ok := decl.(*ast.TypeSpec); ok {
				if structure, ok := spec.Type.(*ast.StructType); ok {
					types[filepath.Base(name)+"."+spec.Name.Name] = structure
				}
			}
		}
	}
	return types
}

// declarations returns the type and constant declarations of a package.
func declarations(t *testing.T, name string) []ast.Spec {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "..", name, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("package %s has no files: %v", name, err)
	}
	var specs []ast.Spec
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			t.Fatal(err)
		}
		for _, decl := range file.Decls {
			if general, ok := decl.(*ast.GenDecl); ok {
				specs = append(specs, general.Specs...)
			}
		}
	}
	return specs
}

// row is one key of a reference page.
type row struct {
	key, kind, text string
}

// rows returns the keys of a struct type and of the structs in it, each with its
// doc comment.
func (s source) rows(t *testing.T, pkg, name, prefix string) []row {
	t.Helper()
	structure, ok := s[pkg+"."+name]
	if !ok {
		t.Fatalf("no struct %s.%s", pkg, name)
	}
	var out []row
	for _, field := range structure.Fields.List {
		tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
		yamlName := strictyaml.FieldName(reflect.StructField{Tag: tag})
		for _, ident := range field.Names {
			key := prefix + yamlName
			kind, inner := s.kind(pkg, field.Type)
			text := strings.Join(strings.Fields(field.Doc.Text()), " ")
			if rest, ok := strings.CutPrefix(text, ident.Name+" "); ok {
				text = "`" + yamlName + "` " + rest
			}
			if inner == "" || prefix != "" || text != "" {
				out = append(out, row{key: key, kind: kind, text: text})
			}
			if inner != "" {
				innerPkg, innerName, _ := strings.Cut(inner, ".")
				out = append(out, s.rows(t, innerPkg, innerName, key+listMark(field.Type)+".")...)
			}
		}
	}
	return out
}

func listMark(expr ast.Expr) string {
	if _, ok := expr.(*ast.ArrayType); ok {
		return "[]"
	}
	return ""
}

// kind describes a field's type and returns the struct type in it, if any.
func (s source) kind(pkg string, expr ast.Expr) (kind, inner string) {
	switch e := expr.(type) {
	case *ast.StarExpr:
		return s.kind(pkg, e.X)
	case *ast.ArrayType:
		of, inner := s.kind(pkg, e.Elt)
		return "list of " + of, inner
	case *ast.MapType:
		of, _ := s.kind(pkg, e.Value)
		return "mapping of text to " + of, ""
	case *ast.SelectorExpr:
		return s.kind(fmt.Sprint(e.X), e.Sel)
	case *ast.Ident:
		return s.named(pkg, e.Name)
	default:
		return "value", ""
	}
}

func (s source) named(pkg, name string) (kind, inner string) {
	if _, ok := s[pkg+"."+name]; ok {
		return "mapping", pkg + "." + name
	}
	switch name {
	case "Duration":
		return "duration", ""
	case "int", "int64", "Revision":
		return "whole number", ""
	case "float64":
		return "number", ""
	case "bool":
		return "true or false", ""
	default:
		return "text", ""
	}
}
