package tablecsv

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/nutmegweir/nutmegweir/internal/table"
)

const head = "customer,domain,kind,server,weight,concurrency,rate,queue_bound,deadline_ms,state,version\r\n"

func TestReadSpreadsheetForms(t *testing.T) {
	plain := head + "a,*,*,,2.5,10,,,,,3\r\n,,,b1,,,,,,drained,\r\n"
	cases := []struct{ name, in string }{
		{"plain", plain},
		{"byte order mark", byteOrderMark + plain},
		{"LF", strings.ReplaceAll(plain, "\r\n", "\n")},
		{"semicolons", strings.ReplaceAll(plain, ",", ";")},
		{"tabs", strings.ReplaceAll(plain, ",", "\t")},
		{"quotes", head + "\"a\",\"*\",\"*\",\"\",\"2.5\",\"10\",,,,,3\r\n,,,\"b1\",,,,,,drained,\r\n"},
		{"empty lines at the end", plain + ",,,,,,,,,,\r\n\r\n"},
		{"blanks and capitals", strings.ReplaceAll(strings.Replace(plain, "customer", "Customer ", 1), "a,*", " a ,*")},
		{"other column order", "version,state,customer,domain,kind,server,weight,concurrency\n3,,a,*,*,,2.5,10\n,drained,,,,b1,,\n"},
	}
	want, err := Read([]byte(plain))
	if err != nil || len(want) != 2 || *want[0].Weight != 2.5 || *want[0].Concurrency != 10 || want[0].Version != 3 || want[1].State != table.StateDrained {
		t.Fatalf("rows %+v, error %v", want, err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := Read([]byte(c.in))
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("rows %+v, error %v", got, err)
			}
		})
	}
}

func TestReadNamesFaults(t *testing.T) {
	cases := []struct {
		name, in string
		line     int
		column   table.Column
		word     string
	}{
		{"decimal comma in quotes", head + "a,*,*,,\"2,5\",,,,,,\r\n", 2, table.ColWeight, "point"},
		{"decimal comma with semicolons", strings.ReplaceAll(head, ",", ";") + "a;*;*;;2,5;;;;;;\r\n", 2, table.ColWeight, "point"},
		{"decimal comma splits the field", head + "a,*,*,,2,5,,,,,,\r\n", 2, "", "point"},
		{"word for a number", head + "a,*,*,,much,,,,,,\r\n", 2, table.ColWeight, "number"},
		{"fraction of a task", head + "a,*,*,,,1.5,,,,,\r\n", 2, table.ColConcurrency, "whole number"},
		{"bad version", head + "a,*,*,,1,,,,,,x\r\n", 2, table.ColVersion, "export"},
		{"row twice", head + "a,*,*,,1,,,,,,\r\nb,*,*,,1,,,,,,\r\na,*,*,,2,,,,,,\r\n", 4, table.ColCustomer, "keep one"},
		{"unknown column", "customer,domain,kind,version,wait\n", 1, "wait", "columns"},
		{"missing column", "customer,domain,kind,weight\n", 1, table.ColVersion, "export"},
		{"column twice", "customer,domain,kind,version,kind\n", 1, table.ColKind, "remove"},
		{"empty file", "", 1, "", "column names"},
		{"open quote", head + "\"a,*,*,,1,,,,,,\r\n", 2, "", "quote"},
		{"Latin-1", head + "caf\xe9,*,*,,1,,,,,,\r\n", 1, "", "UTF-8"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Read([]byte(c.in))
			var inv *table.InvalidError
			if !errors.As(err, &inv) || len(inv.Faults) != 1 {
				t.Fatalf("error %v", err)
			}
			f := inv.Faults[0]
			if f.Line != c.line || f.Column != c.column || !strings.Contains(f.String(), c.word) {
				t.Fatalf("fault %v", f)
			}
		})
	}
}

func TestChanges(t *testing.T) {
	file := head + "a,*,*,,2,,,,,,1\r\nb,*,*,,3,,,,,,1\r\nc,*,*,,4,,,,,,\r\n"
	rows, err := Read([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	old := 1.0
	changed := rows[1]
	changed.Values = table.Values{Weight: &old}
	missing := table.Row{Key: table.Key{Customer: "d", Domain: "*", Kind: "*"}, Values: changed.Values, Version: 1}
	current := table.NewSnapshot(1, []table.Row{rows[0], changed, missing})
	kept := Changes(current, rows, KeepMissing)
	if len(kept) != 2 || kept[0].Key != rows[1].Key || kept[1].Base != 0 {
		t.Fatalf("changes %+v", kept)
	}
	removed := Changes(current, rows, RemoveMissing)
	if len(removed) != 3 || removed[2].Key != missing.Key || removed[2].After != nil {
		t.Fatalf("changes %+v", removed)
	}
}

// FuzzRead checks that rows survive a write and another read unchanged, and that
// every rejection reports a fault.
func FuzzRead(f *testing.F) {
	f.Add([]byte(head + "a,*,*,,2.5,10,,,,,3\r\n,,,b1,,,,,,drained,\r\n"))
	f.Add([]byte(byteOrderMark + strings.ReplaceAll(head, ",", ";") + "\"a;\"\"b\";*;*;;2,5;;;;;;\n"))
	f.Add([]byte(head + "\"a \"\"b\"\", \n c\",*,*,,1,,,,,,3\r\n"))
	f.Add([]byte("version\tcustomer\tdomain\tkind\n\t\"a\nb\"\t*\t*\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		rows, err := Read(in)
		if err != nil {
			var inv *table.InvalidError
			if !errors.As(err, &inv) || len(inv.Faults) == 0 {
				t.Fatalf("error %v", err)
			}
			return
		}
		var out bytes.Buffer
		if err := Write(&out, rows); err != nil {
			t.Fatal(err)
		}
		again, err := Read(out.Bytes())
		if err != nil || !reflect.DeepEqual(rows, again) {
			t.Fatalf("rows %+v, read back %+v, error %v", rows, again, err)
		}
	})
}
