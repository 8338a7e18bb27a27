// SPDX-License-Identifier: Apache-2.0

package response_test

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/badgerspoke/badgerspoke/transport/response"
)

// ExampleWriter shows that nothing of a second response gets into the first one.
func ExampleWriter() {
	recorder := httptest.NewRecorder()
	w := response.New(recorder, httptest.NewRequest(http.MethodPost, "/", nil), func(e response.SecondHead) { fmt.Println("refused:", e) })
	body, _ := w.Begin(http.StatusOK, func(h http.Header) { h.Set("Content-Type", "text/plain") })
	fmt.Fprint(body, "first")
	body, err := w.Begin(http.StatusInternalServerError, func(h http.Header) { h.Set("Content-Type", "text/html") })
	fmt.Println(body == nil, err)
	fmt.Println(recorder.Code, recorder.Body, recorder.Header().Get("Content-Type"))
	// Output:
	// refused: head with status 500 after one with status 200
	// true head with status 500 after one with status 200
	// 200 first text/plain
}

func TestBegun(t *testing.T) {
	is := is.New(t)
	w := response.New(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil), func(response.SecondHead) {})
	is.True(!w.Begun())
	is.Equal(w.Status(), 0)
	_, err := w.Begin(http.StatusTeapot, func(http.Header) {})
	is.NoErr(err)
	is.True(w.Begun())
	is.Equal(w.Status(), http.StatusTeapot)
	_, err = w.Begin(http.StatusOK, func(http.Header) {})
	is.True(errors.As(err, new(response.SecondHead)))
	is.Equal(w.Status(), http.StatusTeapot)
}

// TestCloseConnection checks that the header is set before the head and not after it.
func TestCloseConnection(t *testing.T) {
	for _, begun := range []bool{false, true} {
		recorder := httptest.NewRecorder()
		w := response.New(recorder, httptest.NewRequest(http.MethodPost, "/", nil), func(response.SecondHead) {})
		if begun {
			_, _ = w.Begin(http.StatusOK, func(http.Header) {})
		}
		w.CloseConnection()
		is.New(t).Equal(recorder.Header().Get("Connection") == "close", !begun)
	}
}

// TestOnlyThisPackageWritesHeads guards against a router or gateway that responds other than through a Writer: its
// handlers may only pass their http.ResponseWriter to New.
func TestOnlyThisPackageWritesHeads(t *testing.T) {
	for _, dir := range []string{"../../gateway", "../../router"} {
		files, err := filepath.Glob(dir + "/*.go")
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in %s: %v", dir, err)
		}
		used := false
		for _, path := range files {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				t.Fatal(err)
			}
			used = checkFile(t, path, file) || used
		}
		is.New(t).True(used) // the check below has seen the handler
	}
}

// checkFile checks one file and reports whether it defines a handler.
func checkFile(t *testing.T, path string, file *ast.File) (handler bool) {
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if ok && f.Name.Name == "ServeHTTP" {
			handler = true
			checkHandler(t, path, f)
			continue
		}
		ast.Inspect(d, func(n ast.Node) bool {
			if s, ok := n.(*ast.SelectorExpr); ok && writesResponses(s) {
				t.Errorf("%s: %s writes a response without a response.Writer", path, s.Sel.Name)
			}
			return true
		})
	}
	return handler
}

// writesResponses reports whether a selector belongs to the interface of net/http for responses.
func writesResponses(s *ast.SelectorExpr) bool {
	switch s.Sel.Name {
	case "ResponseWriter", "WriteHeader", "NewResponseController":
		return true
	case "Error", "NotFound", "Redirect", "ServeContent", "ServeFile":
		pkg, ok := s.X.(*ast.Ident)
		return ok && pkg.Name == "http"
	}
	return false
}

// checkHandler checks that a handler uses its http.ResponseWriter once, as the argument of response.New.
func checkHandler(t *testing.T, path string, f *ast.FuncDecl) {
	name := f.Type.Params.List[0].Names[0].Name
	uses, passed := 0, 0
	ast.Inspect(f.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "New" && len(n.Args) > 0 {
				if arg, ok := n.Args[0].(*ast.Ident); ok && arg.Name == name {
					passed++
				}
			}
		case *ast.Ident:
			if n.Name == name {
				uses++
			}
		}
		return true
	})
	if uses != 1 || passed != 1 {
		t.Errorf("%s: ServeHTTP uses its http.ResponseWriter %d times, want once, in response.New", path, uses)
	}
}
