package sheet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/xuri/excelize/v2"

	"tanagerfall/shared/version/plan"
)

// The columns of a sheet, in the order in which Write writes them.
const (
	columnTeam         = "team"
	columnKind         = "kind"
	columnDomain       = "failure-domain"
	columnShare        = "share"
	columnCap          = "cap-slots"
	columnCores        = "cores"
	columnMemory       = "memory-mb"
	columnAccelerators = "accelerators"
	columnIdempotent   = "idempotent"
	columnDeadline     = "deadline-ms"
	columnPriority     = "priority"
	columnSpill        = "spill"
	columnInForce      = "in-force-from"
)

// Columns returns the names of all columns, in the order in which Write writes
// them. A sheet may have them in any order.
func Columns() []string {
	return []string{
		columnTeam, columnKind, columnDomain, columnShare, columnCap, columnCores, columnMemory,
		columnAccelerators, columnIdempotent, columnDeadline, columnPriority, columnSpill, columnInForce,
	}
}

// timeLayouts are the formats of in-force-from: RFC 3339, with optional seconds.
var timeLayouts = []string{time.RFC3339, "2006-01-02T15:04Z07:00"}

// Parse reads the content of a CSV or XLSX file. The plan is canonical and valid,
// lists the failure domains of the catalogue and has no guard switched off. The
// error is of type Faults and lists all faults of the sheet.
func Parse(data []byte, catalogue Catalogue) (*plan.Plan, error) {
	rows, faults := readRows(data)
	parser := parser{
		catalogue:     catalogue,
		faults:        faults,
		firstRowByKey: make(map[plan.Key]int),
	}
	rules := parser.parse(rows)
	if len(parser.faults) > 0 {
		slices.SortStableFunc(parser.faults, compareFaults)
		return nil, parser.faults
	}
	parsed := plan.Canonical(&plan.Plan{
		Format:  plan.Format,
		Rules:   rules,
		Domains: catalogue.domainNames(),
	})
	err := plan.Validate(parsed)
	if err != nil {
		return nil, fileFault(err.Error(), "")
	}
	return parsed, nil
}

// compareFaults orders faults by row and column. Shorter letters come first,
// since column AA follows column Z.
func compareFaults(left, right Fault) int {
	return cmp.Or(
		cmp.Compare(left.Row, right.Row),
		cmp.Compare(len(left.Letter), len(right.Letter)),
		cmp.Compare(left.Letter, right.Letter),
	)
}

// parser collects the faults of a sheet while it parses the rows.
type parser struct {
	catalogue Catalogue
	faults    Faults
	// columnIndex maps a column's name to its index.
	columnIndex map[string]int
	// headerWidth is the number of cells in the header.
	headerWidth int
	// firstRowByKey maps a rule's key to the number of the first row with it.
	firstRowByKey map[plan.Key]int
}

// parse parses the header and the rows below it.
func (parser *parser) parse(rows []row) []plan.Rule {
	if len(rows) == 0 {
		if len(parser.faults) == 0 {
			parser.faults = fileFault("the sheet is empty", "a header and at least one row")
		}
		return nil
	}
	parser.parseHeader(rows[0])
	if len(rows) == 1 && len(parser.faults) == 0 {
		parser.faults = append(parser.faults, fileFault("the sheet has a header but no rows", "at least one row")...)
	}
	if len(rows)-1 > plan.MaxRules {
		parser.faults = append(parser.faults, fileFault(fmt.Sprintf("the sheet has %d rows", len(rows)-1), fmt.Sprintf("up to %d", plan.MaxRules))...)
		return nil
	}
	rules := make([]plan.Rule, 0, len(rows)-1)
	for _, row := range rows[1:] {
		rules = append(rules, parser.parseRule(row))
	}
	return rules
}

// parseHeader records the index of each column, in any order.
func (parser *parser) parseHeader(header row) {
	parser.columnIndex = make(map[string]int)
	parser.headerWidth = len(header.cells)
	for i, cell := range header.cells {
		name := strings.ToLower(cell.text)
		fault := Fault{
			Row:    header.number,
			Letter: columnLetter(i),
			Value:  cell.text,
		}
		_, duplicate := parser.columnIndex[name]
		switch {
		case cell.text == "" && cell.formula == "":
			continue
		case cell.formula != "":
			fault.Problem = "the header is a formula"
		case encodingProblem(cell.text) != "":
			fault.Problem = encodingProblem(cell.text)
		case !slices.Contains(Columns(), name):
			fault.Problem = "unknown column"
			fault.Allowed = strings.Join(Columns(), ", ")
		case duplicate:
			fault.Problem = "duplicate column"
		default:
			parser.columnIndex[name] = i
			continue
		}
		parser.faults = append(parser.faults, fault)
	}
	for _, name := range Columns() {
		if _, found := parser.columnIndex[name]; !found {
			parser.faults = append(parser.faults, Fault{
				Row:     header.number,
				Value:   name,
				Problem: "missing column",
			})
		}
	}
}

// columnLetter returns the letters that spreadsheet programs show for the column
// with an index from 0.
func columnLetter(index int) string {
	name, err := excelize.ColumnNumberToName(index + 1)
	if err != nil {
		return strconv.Itoa(index + 1)
	}
	return name
}

// parseRule parses one row. It adds the faults of the row to parser.faults.
func (parser *parser) parseRule(row row) plan.Rule {
	if !parser.checkWidth(row) {
		return plan.Rule{}
	}
	domainName := parser.parseName(row, columnDomain, parser.catalogue.domainNames())
	domain, listed := parser.catalogue.domain(domainName)
	if !listed {
		domain = Domain{
			Slots:        plan.MaxCap,
			Cores:        plan.MaxCores,
			MemoryMb:     plan.MaxMemoryMb,
			Accelerators: plan.MaxCores,
		}
	}
	domainSuffix := ""
	if listed {
		domainSuffix = " of " + domain.Name
	}
	rule := plan.Rule{
		Team:          parser.parseName(row, columnTeam, nil),
		Kind:          parser.parseName(row, columnKind, parser.catalogue.kindNames()),
		Domain:        domainName,
		Share:         parser.parseShare(row),
		Cap:           int(parser.parseInteger(row, columnCap, 0, int64(domain.Slots), "the slots"+domainSuffix)),
		Cores:         int(parser.parseInteger(row, columnCores, 0, int64(domain.Cores), "the largest upstream"+domainSuffix)),
		MemoryMb:      int(parser.parseInteger(row, columnMemory, 0, int64(domain.MemoryMb), "the largest upstream"+domainSuffix)),
		Accelerators:  int(parser.parseInteger(row, columnAccelerators, 0, int64(domain.Accelerators), "the largest upstream"+domainSuffix)),
		Idempotent:    parser.parseIdempotent(row),
		DeadlineMs:    parser.parseInteger(row, columnDeadline, 1, plan.MaxDeadlineMs, "a day"),
		Priority:      int(parser.parseInteger(row, columnPriority, -plan.MaxPriority, plan.MaxPriority, "")),
		Spill:         parser.parseFlag(row, columnSpill),
		InForceFromMs: parser.parseTime(row),
	}
	parser.checkUnique(row, rule.Key())
	return rule
}

// checkWidth adds faults for cells beyond the header. It returns false for a CSV
// row with more cells than the header, even if these are blank: a decimal comma
// may have shifted the cells, so that the row must not be parsed.
func (parser *parser) checkWidth(row row) bool {
	if row.fromCsv && len(row.cells) > parser.headerWidth {
		parser.faults = append(parser.faults, Fault{
			Row:     row.number,
			Problem: fmt.Sprintf("the row has %d cells, the header has %d", len(row.cells), parser.headerWidth),
			Allowed: "no cells beyond the header; decimal points instead of decimal commas",
		})
		return false
	}
	for i, cell := range row.cells {
		if i < parser.headerWidth || (cell.text == "" && cell.formula == "") {
			continue
		}
		parser.faults = append(parser.faults, Fault{
			Row:     row.number,
			Letter:  columnLetter(i),
			Value:   cell.text,
			Problem: "the cell is in a column without a header",
			Allowed: "no cells beyond the header",
		})
	}
	return true
}

// isRequired reports whether the cells of a column must not be blank.
func isRequired(column string) bool {
	switch column {
	case columnTeam, columnKind, columnDomain, columnShare, columnIdempotent, columnDeadline:
		return true
	default:
		return false
	}
}

// cellText returns the text of a cell. ok is false if the cell is blank or has a
// fault, which is added.
func (parser *parser) cellText(row row, column string) (text string, ok bool) {
	index, found := parser.columnIndex[column]
	if !found {
		return "", false
	}
	var content cell
	if index < len(row.cells) {
		content = row.cells[index]
	}
	switch {
	case content.formula != "":
		parser.addFault(row, column, "="+content.formula, "the cell is a formula", "a value instead of a formula")
	case encodingProblem(content.text) != "":
		parser.addFault(row, column, content.text, encodingProblem(content.text), "UTF-8 text on one line")
	case content.text == "" && isRequired(column):
		parser.addFault(row, column, "", "the cell is blank", "a value")
	default:
		return content.text, content.text != ""
	}
	return "", false
}

func (parser *parser) addFault(row row, column, value, problem, allowed string) {
	parser.faults = append(parser.faults, Fault{
		Row:     row.number,
		Column:  column,
		Letter:  columnLetter(parser.columnIndex[column]),
		Value:   value,
		Problem: problem,
		Allowed: allowed,
	})
}

// parseName parses a name. allowedNames lists the names that may occur; nil means
// any valid name.
func (parser *parser) parseName(row row, column string, allowedNames []string) string {
	text, ok := parser.cellText(row, column)
	if !ok {
		return ""
	}
	if allowedNames != nil && !slices.Contains(allowedNames, text) {
		parser.addFault(row, column, text, "unknown "+strings.ReplaceAll(column, "-", " "), strings.Join(allowedNames, ", "))
		return ""
	}
	if !plan.ValidName(text) {
		parser.addFault(row, column, text, "invalid name",
			fmt.Sprintf(`up to %d lower-case letters and digits, in parts joined by "-", "." or "_"`, plan.MaxNameBytes))
		return ""
	}
	return text
}

func (parser *parser) parseShare(row row) float64 {
	text, ok := parser.cellText(row, columnShare)
	if !ok {
		return 1
	}
	allowed := fmt.Sprintf("a number above 0 up to %.0f, such as 1.5", plan.MaxShare)
	share, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && strings.Contains(text, ","):
		parser.addFault(row, columnShare, text, "decimal comma", allowed)
	case err != nil:
		parser.addFault(row, columnShare, text, "not a number", allowed)
	case math.IsNaN(share) || share <= 0 || share > plan.MaxShare:
		parser.addFault(row, columnShare, text, "out of range", allowed)
	}
	return share
}

// parseInteger parses a whole number from low to high; a blank cell means 0.
// highMeaning says what high stands for, unless it is empty.
func (parser *parser) parseInteger(row row, column string, low, high int64, highMeaning string) int64 {
	text, ok := parser.cellText(row, column)
	if !ok {
		return 0
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	if highMeaning != "" {
		allowed += " (" + highMeaning + ")"
	}
	value, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil && strings.ContainsAny(text, ".,"):
		parser.addFault(row, column, text, "decimal point or thousands separator", allowed)
	case err != nil:
		parser.addFault(row, column, text, "not a whole number", allowed)
	case value > high:
		parser.addFault(row, column, text, "too high", allowed)
	case value < low:
		parser.addFault(row, column, text, "too low", allowed)
	}
	return value
}

// parseFlag parses yes or no; a blank cell means no.
func (parser *parser) parseFlag(row row, column string) bool {
	text, ok := parser.cellText(row, column)
	if !ok {
		return false
	}
	switch strings.ToLower(text) {
	case "yes", "true", "1":
		return true
	case "no", "false", "0":
		return false
	}
	parser.addFault(row, column, text, "neither yes nor no", "yes, no, true, false")
	return false
}

// parseIdempotent parses the flag and compares it with the kind in the catalogue:
// a sheet can't make a kind idempotent that must run at most once.
func (parser *parser) parseIdempotent(row row) bool {
	idempotent := parser.parseFlag(row, columnIdempotent)
	index, found := parser.columnIndex[columnKind]
	if !idempotent || !found || index >= len(row.cells) {
		return idempotent
	}
	kind, listed := parser.catalogue.kind(row.cells[index].text)
	if listed && !kind.Idempotent {
		parser.addFault(row, columnIdempotent, row.cells[parser.columnIndex[columnIdempotent]].text,
			"kind "+kind.Name+" must run at most once", "no")
	}
	return idempotent
}

// parseTime parses in-force-from and returns the Unix time in ms, or 0 if blank.
// A time zone is required, since VMs and operators may be in several.
func (parser *parser) parseTime(row row) int64 {
	text, ok := parser.cellText(row, columnInForce)
	if !ok {
		return 0
	}
	for _, layout := range timeLayouts {
		parsed, err := time.Parse(layout, text)
		if err == nil && parsed.UnixMilli() >= 0 && parsed.UnixMilli() <= plan.MaxTimeMs {
			return parsed.UnixMilli()
		}
	}
	parser.addFault(row, columnInForce, text, "not a time with a time zone",
		"blank for at once, or text such as 2026-12-05T06:00:00+03:00 (a date cell has no time zone)")
	return 0
}

// checkUnique adds a fault if an earlier row has the same key.
func (parser *parser) checkUnique(row row, key plan.Key) {
	if key.Team == "" || key.Kind == "" || key.Domain == "" {
		return
	}
	firstRow, duplicate := parser.firstRowByKey[key]
	if !duplicate {
		parser.firstRowByKey[key] = row.number
		return
	}
	parser.faults = append(parser.faults, Fault{
		Row:     row.number,
		Value:   key.String(),
		Problem: fmt.Sprintf("duplicate of row %d", firstRow),
		Allowed: "one row for each team, kind, failure domain and in-force-from",
	})
}
