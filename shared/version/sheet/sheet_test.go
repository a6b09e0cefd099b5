package sheet_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/xuri/excelize/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"tanagerfall/shared/process/settings"
	"tanagerfall/shared/version/plan"
	"tanagerfall/shared/version/sheet"
)

// loadCatalogue loads the catalogue of the test sheets.
func loadCatalogue(t testing.TB) sheet.Catalogue {
	loaded, err := settings.Load("testdata/catalogue.yaml", sheet.Catalogue{})
	assert.NilError(t, err)
	return loaded
}

// parseReport parses a sheet and returns the content of its golden file: the
// faults, or else the plan as a CSV sheet.
func parseReport(t testing.TB, data []byte) string {
	parsed, err := sheet.Parse(data, loadCatalogue(t))
	var text bytes.Buffer
	if err != nil {
		var faults sheet.Faults
		assert.Assert(t, errors.As(err, &faults))
		text.WriteString(faults.Error() + "\n")
		return text.String()
	}
	assert.NilError(t, sheet.Write(&text, parsed))
	return text.String()
}

// Guards against faults that are missed, reported one at a time, or reported
// without the row, the column, the value and what is allowed.
func TestParseCsv(t *testing.T) {
	files, err := filepath.Glob("testdata/*.csv")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 10)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			golden.Assert(t, parseReport(t, data), name+".golden")
		})
	}
}

// workbook returns an XLSX file with the given tabs, and a function that returns
// its content.
func workbook(t *testing.T, tabs ...string) (*excelize.File, func() []byte) {
	file := excelize.NewFile()
	assert.NilError(t, file.SetSheetName("Sheet1", tabs[0]))
	for _, tab := range tabs[1:] {
		_, err := file.NewSheet(tab)
		assert.NilError(t, err)
	}
	return file, func() []byte {
		var buffer bytes.Buffer
		assert.NilError(t, file.Write(&buffer))
		return buffer.Bytes()
	}
}

func setRow(t *testing.T, file *excelize.File, tab, from string, values ...any) {
	assert.NilError(t, file.SetSheetRow(tab, from, &values))
}

func header() []any {
	var names []any
	for _, name := range sheet.Columns() {
		names = append(names, name)
	}
	return names
}

// Guards against an XLSX sheet that is parsed differently from the same CSV sheet,
// because of typed cells, blank rows, formulas, date cells or several tabs.
func TestParseXlsx(t *testing.T) {
	validRow := []any{"showroom", "quote", "ege-izmir", 1.5, 80, nil, nil, nil, true, 2000, 3, "no"}
	cases := []struct {
		name  string
		build func(t *testing.T) []byte
	}{
		{name: "xlsx-good", build: func(t *testing.T) []byte {
			file, data := workbook(t, "notes", "Plan")
			setRow(t, file, "Plan", "A1", header()...)
			setRow(t, file, "Plan", "A4", validRow...)
			return data()
		}},
		{name: "xlsx-faults", build: func(t *testing.T) []byte {
			file, data := workbook(t, "plan")
			setRow(t, file, "plan", "A1", header()...)
			setRow(t, file, "plan", "A2", validRow...)
			assert.NilError(t, file.SetCellFormula("plan", "E2", "40+40"))
			setRow(t, file, "plan", "A3", "kiosk", "quote", "ege-izmir", 1, nil, nil, nil, nil, "no", 1000)
			assert.NilError(t, file.SetCellFormula("plan", "M3", "NOW()"))
			assert.NilError(t, file.SetCellValue("plan", "M2", 46361.25))
			assert.NilError(t, file.SetCellValue("plan", "O2", "a remark"))
			return data()
		}},
		{name: "xlsx-tabs", build: func(t *testing.T) []byte {
			_, data := workbook(t, "one", "two")
			return data()
		}},
		{name: "xlsx-damaged", build: func(t *testing.T) []byte {
			_, data := workbook(t, "plan")
			return data()[:200]
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			golden.Assert(t, parseReport(t, test.build(t)), test.name+".golden")
		})
	}
}

// Guards against a written plan that Parse reads back as a different plan.
func TestParseReadsBackWrittenPlan(t *testing.T) {
	catalogue := loadCatalogue(t)
	rapid.Check(t, func(t *rapid.T) {
		rules := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) plan.Rule {
			return plan.Rule{
				Team:          rapid.StringMatching(`[a-z]{1,3}`).Draw(t, "team"),
				Kind:          "quote",
				Domain:        rapid.SampledFrom([]string{"ege-izmir", "ege-aydin"}).Draw(t, "domain"),
				Share:         rapid.Float64Range(0.001, 1e6).Draw(t, "share"),
				Cap:           rapid.IntRange(0, 128).Draw(t, "cap"),
				Cores:         rapid.IntRange(0, 16).Draw(t, "cores"),
				Idempotent:    rapid.Bool().Draw(t, "idempotent"),
				DeadlineMs:    rapid.Int64Range(1, plan.MaxDeadlineMs).Draw(t, "deadline"),
				Priority:      rapid.IntRange(-1000, 1000).Draw(t, "priority"),
				Spill:         rapid.Bool().Draw(t, "spill"),
				InForceFromMs: rapid.Int64Range(0, plan.MaxTimeMs).Draw(t, "from"),
			}
		}), 1, 8, plan.Rule.Key).Draw(t, "rules")
		written := plan.Canonical(&plan.Plan{
			Format:  plan.Format,
			Rules:   rules,
			Domains: plan.Domains{"ege-izmir", "ege-manisa", "ege-aydin"},
		})
		var text bytes.Buffer
		if err := sheet.Write(&text, written); err != nil {
			t.Fatal(err)
		}
		parsed, err := sheet.Parse(text.Bytes(), catalogue)
		if err != nil {
			t.Fatal(err)
		}
		if plan.DigestOf(parsed) != plan.DigestOf(written) {
			t.Fatalf("wrote %+v, read %+v", written, parsed)
		}
	})
}

// Guards against a sheet on which Parse panics or fails without a fault, and
// against an invalid plan that Parse returns.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.csv")
	assert.NilError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	catalogue := loadCatalogue(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := sheet.Parse(data, catalogue)
		if err != nil {
			var faults sheet.Faults
			assert.Assert(t, errors.As(err, &faults) && len(faults) > 0)
			return
		}
		assert.NilError(t, plan.Validate(parsed))
	})
}
