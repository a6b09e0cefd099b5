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
	// MaxFileBytes bounds a sheet, also after XLSX decompression.
	MaxFileBytes = 64 << 20
	planTabName      = "plan"
)

// row is a row of cells that is not blank.
type row struct {
	number int
	cells  []cell
	// fromCsv tells that the cells come from a CSV line.
	fromCsv bool
}

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

var (
	zipMagic   = []byte("PK\x03\x04")
	xlsMagic = []byte("\xd0\xcf\x11\xe0")
	utf8Bom    = []byte("\xef\xbb\xbf")
	utf16Boms  = [][]byte{[]byte("\xff\xfe"), []byte("\xfe\xff")}
)

// readRows reads the rows that are not blank. The format is told by the
// content, not by the file's name.
func readRows(data []byte) ([]row, Faults) {
	switch {
	case len(data) > MaxFileBytes:
		return nil, fileFault("the file is too large", "up to 64 MB")
	case bytes.HasPrefix(data, zipMagic):
		return readXlsx(data)
	case bytes.HasPrefix(data, xlsMagic):
		return nil, fileFault("this is an old Excel file", "XLSX, or CSV in UTF-8")
	case bytes.HasPrefix(data, utf16Boms[0]), bytes.HasPrefix(data, utf16Boms[1]), bytes.IndexByte(data, 0) >= 0:
		return nil, fileFault("the file is in UTF-16 or is no text", "XLSX, or CSV in UTF-8")
	default:
		return readCsv(bytes.TrimPrefix(data, utf8Bom))
	}
}

func fileFault(problem, allowed string) Faults {
	return Faults{
		{
			Problem: problem,
			Allowed: allowed,
		},
	}
}

// readCsv reads a CSV file. A byte order mark at the start and CRLF line ends
// are accepted, because spreadsheet programs write them.
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
		read := row{
			number:    line,
			fromCsv: true,
		}
		for _, field := range fields {
			read.cells = append(read.cells, cell{
				text: strings.TrimSpace(field),
			})
		}
		if !read.isBlank() {
			rows = append(rows, read)
		}
	}
}

// detectSeparator takes the separator that the header has most of. Spreadsheet
// programs write a semicolon where the decimal sign is a comma.
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
	var parse *csv.ParseError
	if !errors.As(err, &parse) {
		return Fault{
			Problem: err.Error(),
		}
	}
	return Fault{
		Row:     parse.StartLine,
		Problem: "the quotes of the row are wrong: " + parse.Err.Error(),
		Allowed: `cells with a separator, a line end or quotes in "...", quotes doubled`,
	}
}

// readXlsx reads the tab named plan, or the only one.
func readXlsx(data []byte) (rows []row, faults Faults) {
	file, err := excelize.OpenReader(bytes.NewReader(data), excelize.Options{
		RawCellValue:      true,
		UnzipSizeLimit:    MaxFileBytes,
		UnzipXMLSizeLimit: MaxFileBytes,
	})
	if err != nil {
		return nil, fileFault("the XLSX file can't be read: "+err.Error(), "a whole XLSX file without a password")
	}
	defer func() {
		closed := file.Close()
		if closed != nil && len(faults) == 0 {
			faults = fileFault("the XLSX file can't be closed: "+closed.Error(), "")
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
		read := row{
			number: number,
			cells:  xlsxCells(file, tab, number, columns),
		}
		if !read.isBlank() {
			rows = append(rows, read)
		}
	}
	if err := iterator.Error(); err != nil {
		return nil, fileFault("the tab can't be read: "+err.Error(), "")
	}
	return rows, nil
}

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

func xlsxCells(file *excelize.File, tab string, number int, columns []string) []cell {
	cells := make([]cell, 0, len(columns))
	for i, text := range columns {
		read := cell{
			text: strings.TrimSpace(text),
		}
		name, err := excelize.CoordinatesToCellName(i+1, number)
		if err == nil {
			// A cell that has no formula and one that can't be read are the
			// same here: the text is checked anyway.
			read.formula, _ = file.GetCellFormula(tab, name)
		}
		cells = append(cells, read)
	}
	return cells
}

// encodingProblem says what is wrong with the characters of a text, or
// nothing.
func encodingProblem(text string) string {
	switch {
	case !utf8.ValidString(text):
		return "the cell is not in UTF-8, unlike the rest of the file"
	case strings.ContainsRune(text, utf8.RuneError):
		return "the cell has characters that were lost in a conversion"
	case strings.ContainsRune(text, '\ufeff'):
		return "the cell has a byte order mark, as in files that were joined"
	case strings.ContainsAny(text, "\r\n"):
		return "the cell has a line end"
	default:
		return ""
	}
}
