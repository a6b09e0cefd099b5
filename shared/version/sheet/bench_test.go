package sheet_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/xuri/excelize/v2"
	"gotest.tools/v3/assert"

	"tanagerfall/shared/version/plan"
	"tanagerfall/shared/version/sheet"
)

// BenchmarkParse measures parsing a CSV and an XLSX sheet with a row for each of
// 180 teams, 12 failure domains and 10 kinds.
func BenchmarkParse(b *testing.B) {
	catalogue := sheet.Catalogue{}
	content := &plan.Plan{
		Format: plan.Format,
	}
	for domain := range 12 {
		catalogue.Domains = append(catalogue.Domains, sheet.Domain{
			Name:  fmt.Sprintf("region-domain-%02d", domain),
			Slots: 400,
		})
	}
	for kind := range 10 {
		catalogue.Kinds = append(catalogue.Kinds, sheet.Kind{
			Name: fmt.Sprintf("kind-%02d", kind),
		})
	}
	for i := range 21_600 {
		content.Rules = append(content.Rules, plan.Rule{
			Team:       fmt.Sprintf("team-%03d", i/120),
			Kind:       catalogue.Kinds[i%10].Name,
			Domain:     catalogue.Domains[i/10%12].Name,
			Share:      1.5,
			Cap:        1 + i%400,
			DeadlineMs: 2000,
		})
	}
	var text bytes.Buffer
	assert.NilError(b, sheet.Write(&text, content))
	b.Run("csv/rows=21600", func(b *testing.B) {
		for b.Loop() {
			_, err := sheet.Parse(text.Bytes(), catalogue)
			assert.NilError(b, err)
		}
	})
	file := excelize.NewFile()
	names := sheet.Columns()
	assert.NilError(b, file.SetSheetRow("Sheet1", "A1", &names))
	for i, rule := range content.Rules {
		cells := []any{rule.Team, rule.Kind, rule.Domain, rule.Share, rule.Cap, nil, nil, nil, "no", rule.DeadlineMs}
		assert.NilError(b, file.SetSheetRow("Sheet1", fmt.Sprintf("A%d", i+2), &cells))
	}
	var workbook bytes.Buffer
	assert.NilError(b, file.Write(&workbook))
	b.Run("xlsx/rows=21600", func(b *testing.B) {
		for b.Loop() {
			_, err := sheet.Parse(workbook.Bytes(), catalogue)
			assert.NilError(b, err)
		}
	})
}
