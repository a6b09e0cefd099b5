package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/xuri/excelize/v2"
)

const (
	// MaxFileBytes is the largest size of a file, and of the decompressed content
	// of an XLSX file.
	MaxFileBytes = 64 << 20
	// planTabName is the tab of an XLSX file that holds the sheet, in any case.
	planTabName = "plan"
)

// row is a row of a sheet that is not blank.
type row struct {
	// number is the row in the spreadsheet or the line of the CSV file, from 1.
	number int
	cells  []cell
	// fromCsv is set if the row is from a CSV file.
	fromCsv bool
}

// cell is the trimmed text of a cell, and its formula in XLSX files.
type cell struct {
	text    string
	formula string
}

func (row row) isBlank() bool {
	for _, cell := range row.cells {
		if cell.text != "" || cell.formula != "" {
			return false
		}
	}
	return true
}

// The first bytes by which the format of a file is recognized.
var (
	zipMagic  = []byte("PK\x03\x04")
	xlsMagic  = []byte("\xd0\xcf\x11\xe0")
	utf8Bom   = []byte("\xef\xbb\xbf")
	utf16Boms = [][]byte{[]byte("\xff\xfe"), []byte("\xfe\xff")}
)

// readRows returns the rows that are not blank. It recognizes the format by the
// content, not by the name of the file.
func readRows(data []byte) ([]row, Faults) {
	switch {
	case len(data) > MaxFileBytes:
		return nil, fileFault("the file is too large", "up to 64 MB")
	case bytes.HasPrefix(data, zipMagic):
		return readXlsx(data)
	case bytes.HasPrefix(data, xlsMagic):
		return nil, fileFault("the file is in the old Excel format XLS", "XLSX, or CSV in UTF-8")
	case bytes.HasPrefix(data, utf16Boms[0]), bytes.HasPrefix(data, utf16Boms[1]), bytes.IndexByte(data, 0) >= 0:
		return nil, fileFault("the file is in UTF-16 or is not text", "XLSX, or CSV in UTF-8")
	default:
		return readCsv(bytes.TrimPrefix(data, utf8Bom))
	}
}

// fileFault returns a fault that concerns the file as a whole.
func fileFault(problem, allowed string) Faults {
	return Faults{
		{
			Problem: problem,
			Allowed: allowed,
		},
	}
}

// readCsv reads a CSV file. CRLF line ends are accepted, as is a byte order mark,
// which readRows has removed, because spreadsheet programs write them.
func readCsv(data []byte) ([]row, Faults) {
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = detectSeparator(data)
	reader.FieldsPerRecord = -1
	var rows []row
	var faults Faults
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows, faults
		}
		if err != nil {
			faults = append(faults, csvFault(err))
			continue
		}
		line, _ := reader.FieldPos(0)
		parsed := row{
			number:  line,
			fromCsv: true,
		}
		for _, field := range fields {
			parsed.cells = append(parsed.cells, cell{
				text: strings.TrimSpace(field),
			})
		}
		if !parsed.isBlank() {
			rows = append(rows, parsed)
		}
	}
}

// detectSeparator returns the separator that occurs most often in the header, a
// comma, semicolon or tab. Spreadsheet programs write semicolons in locales whose
// decimal sign is a comma.
func detectSeparator(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	best := ','
	for _, candidate := range []rune{';', '\t'} {
		if bytes.Count(header, []byte(string(candidate))) > bytes.Count(header, []byte(string(best))) {
			best = candidate
		}
	}
	return best
}

func csvFault(err error) Fault {
	var parseErr *csv.ParseError
	if !errors.As(err, &parseErr) {
		return Fault{
			Problem: err.Error(),
		}
	}
	return Fault{
		Row:     parseErr.StartLine,
		Problem: "the row has malformed quotes: " + parseErr.Err.Error(),
		Allowed: `quotes around cells with a separator, a line end or quotes; quotes doubled inside`,
	}
}

// readXlsx reads the tab named plan, or the only tab, of an XLSX file.
func readXlsx(data []byte) (rows []row, faults Faults) {
	file, err := excelize.OpenReader(bytes.NewReader(data), excelize.Options{
		RawCellValue:      true,
		UnzipSizeLimit:    MaxFileBytes,
		UnzipXMLSizeLimit: MaxFileBytes,
	})
	if err != nil {
		return nil, fileFault("the XLSX file can't be read: "+err.Error(), "a complete XLSX file without a password")
	}
	defer func() {
		closeErr := file.Close()
		if closeErr != nil && len(faults) == 0 {
			faults = fileFault("the XLSX file can't be closed: "+closeErr.Error(), "")
		}
	}()
	tab, found := findPlanTab(file.GetSheetList())
	if !found {
		return nil, fileFault("there are several tabs and none is named plan", "one tab, or one named plan")
	}
	iterator, err := file.Rows(tab)
	if err != nil {
		return nil, fileFault("the tab can't be read: "+err.Error(), "")
	}
	for number := 1; iterator.Next(); number++ {
		columns, err := iterator.Columns()
		if err != nil {
			return nil, fileFault("the tab can't be read: "+err.Error(), "")
		}
		parsed := row{
			number: number,
			cells:  xlsxCells(file, tab, number, columns),
		}
		if !parsed.isBlank() {
			rows = append(rows, parsed)
		}
	}
	if err := iterator.Error(); err != nil {
		return nil, fileFault("the tab can't be read: "+err.Error(), "")
	}
	return rows, nil
}

// findPlanTab returns the tab named plan, or the only tab, and whether there is
// one.
func findPlanTab(tabs []string) (string, bool) {
	for _, tab := range tabs {
		if strings.EqualFold(tab, planTabName) {
			return tab, true
		}
	}
	if len(tabs) != 1 {
		return "", false
	}
	return tabs[0], true
}

// xlsxCells returns the cells of the row with a number from 1; columns holds their
// texts.
func xlsxCells(file *excelize.File, tab string, number int, columns []string) []cell {
	cells := make([]cell, 0, len(columns))
	for i, text := range columns {
		parsed := cell{
			text: strings.TrimSpace(text),
		}
		name, err := excelize.CoordinatesToCellName(i+1, number)
		if err == nil {
			// A formula that can't be read is handled like none, since the
			// text of the cell is checked in any case.
			parsed.formula, _ = file.GetCellFormula(tab, name)
		}
		cells = append(cells, parsed)
	}
	return cells
}

// encodingProblem describes what is wrong with the characters of a text. It
// returns an empty string if nothing is.
func encodingProblem(text string) string {
	switch {
	case !utf8.ValidString(text):
		return "the cell is not in UTF-8, unlike the rest of the file"
	case strings.ContainsRune(text, utf8.RuneError):
		return "the cell has replacement characters from a lossy conversion"
	case strings.ContainsRune(text, '\ufeff'):
		return "the cell has a byte order mark, as after joining files"
	case strings.ContainsAny(text, "\r\n"):
		return "the cell has a line break"
	default:
		return ""
	}
}
