package capacity

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// Write writes results of one type as NAME.json and NAME.csv into a directory.
func Write[F any](dir, name string, results []F) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "make the output directory; give a writable one")
	}
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the results")
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write the results; give a writable directory")
	}
	return writeCSV(filepath.Join(dir, name+".csv"), results)
}

func writeCSV[F any](path string, results []F) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write the results; give a writable directory")
	}
	defer func() { err = cmp.Or(err, file.Close()) }()
	w := csv.NewWriter(file)
	var zero F
	if err := w.Write(columnNames(reflect.TypeOf(zero))); err != nil {
		return err
	}
	for _, f := range results {
		if err := w.Write(columnValues(reflect.ValueOf(f))); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// columnNames returns the JSON names of a struct's fields, with embedded structs
// inlined.
func columnNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			names = append(names, columnNames(f.Type)...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func columnValues(v reflect.Value) []string {
	var list []string
	for i := range v.NumField() {
		if v.Type().Field(i).Anonymous {
			list = append(list, columnValues(v.Field(i))...)
			continue
		}
		if f, ok := v.Field(i).Interface().(float64); ok {
			list = append(list, fmt.Sprintf("%.4g", f))
			continue
		}
		list = append(list, fmt.Sprint(v.Field(i).Interface()))
	}
	return list
}
