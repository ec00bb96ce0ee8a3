package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

func (c *cli) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stdout, format, args...)
}

func (c *cli) printJSON(v any) error {
	e := json.NewEncoder(c.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows with aligned columns.
type table struct {
	w *tabwriter.Writer
}

func (c *cli) table(headings ...string) *table {
	t := &table{w: tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)}
	t.row(headings...)
	return t
}

func (t *table) row(cells ...string) {
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }
