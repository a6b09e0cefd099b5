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

// The columns of a sheet, in the order in which they are exported.
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

// Columns returns the names of the columns.
func Columns() []string {
	return []string{
		columnTeam, columnKind, columnDomain, columnShare, columnCap, columnCores, columnMemory,
		columnAccelerators, columnIdempotent, columnDeadline, columnPriority, columnSpill, columnInForce,
	}
}

// timeLayouts are the forms of in-force-from: RFC 3339, seconds optional.
var timeLayouts = []string{time.RFC3339, "2006-01-02T15:04Z07:00"}

// Parse reads a CSV or XLSX sheet. The plan is canonical and valid, lists the
// catalogue's failure domains and has no guards switched off. The error is
// Faults, with all faults at once.
func Parse(data []byte, catalogue Catalogue) (*plan.Plan, error) {
	rows, faults := readRows(data)
	parser := parser{
		catalogue: catalogue,
		faults:    faults,
		firstRowByKey:      make(map[plan.Key]int),
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

func compareFaults(one, other Fault) int {
	return cmp.Or(
		cmp.Compare(one.Row, other.Row),
		cmp.Compare(len(one.Letter), len(other.Letter)),
		cmp.Compare(one.Letter, other.Letter),
	)
}

type parser struct {
	catalogue Catalogue
	faults    Faults
	// columnIndex maps a column's name to its index.
	columnIndex map[string]int
	headerWidth   int
	firstRowByKey    map[plan.Key]int
}

func (parser *parser) parse(rows []row) []plan.Rule {
	if len(rows) == 0 {
		if len(parser.faults) == 0 {
			parser.faults = fileFault("the sheet is empty", "a header and at least one row")
		}
		return nil
	}
	parser.parseHeader(rows[0])
	if len(rows) == 1 && len(parser.faults) == 0 {
		parser.faults = append(parser.faults, fileFault("the sheet has a header and no rows", "at least one row")...)
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

// parseHeader finds the columns, in any order.
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
		_, repeated := parser.columnIndex[name]
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
		case repeated:
			fault.Problem = "repeated column"
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

func columnLetter(index int) string {
	name, err := excelize.ColumnNumberToName(index + 1)
	if err != nil {
		return strconv.Itoa(index + 1)
	}
	return name
}

// parseRule reads one row. Faults go to parser.faults.
func (parser *parser) parseRule(row row) plan.Rule {
	if !parser.checkWidth(row) {
		return plan.Rule{}
	}
	domainName := parser.parseName(row, columnDomain, parser.catalogue.domainNames())
	domain, known := parser.catalogue.domain(domainName)
	if !known {
		domain = Domain{
			Slots:        plan.MaxCap,
			Cores:        plan.MaxCores,
			MemoryMb:     plan.MaxMemoryMb,
			Accelerators: plan.MaxCores,
		}
	}
	of := ""
	if known {
		of = " of " + domain.Name
	}
	rule := plan.Rule{
		Team:          parser.parseName(row, columnTeam, nil),
		Kind:          parser.parseName(row, columnKind, parser.catalogue.kindNames()),
		Domain:        domainName,
		Share:         parser.parseShare(row),
		Cap:           int(parser.parseInteger(row, columnCap, 0, int64(domain.Slots), "the slots"+of)),
		Cores:         int(parser.parseInteger(row, columnCores, 0, int64(domain.Cores), "the largest upstream"+of)),
		MemoryMb:      int(parser.parseInteger(row, columnMemory, 0, int64(domain.MemoryMb), "the largest upstream"+of)),
		Accelerators:  int(parser.parseInteger(row, columnAccelerators, 0, int64(domain.Accelerators), "the largest upstream"+of)),
		Idempotent:    parser.parseIdempotent(row),
		DeadlineMs:    parser.parseInteger(row, columnDeadline, 1, plan.MaxDeadlineMs, "a day"),
		Priority:      int(parser.parseInteger(row, columnPriority, -plan.MaxPriority, plan.MaxPriority, "")),
		Spill:         parser.parseFlag(row, columnSpill),
		InForceFromMs: parser.parseTime(row),
	}
	parser.checkUnique(row, rule.Key())
	return rule
}

// checkWidth reports cells beyond the header. In CSV even a blank one means that
// the cells before it may have moved, as after a decimal comma; the rest of
// the row would be misread, and fits is false.
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
			Problem: "the cell has no column in the header",
			Allowed: "no cells beyond the header",
		})
	}
	return true
}

// isRequired says which cells must not be blank.
func isRequired(column string) bool {
	switch column {
	case columnTeam, columnKind, columnDomain, columnShare, columnIdempotent, columnDeadline:
		return true
	default:
		return false
	}
}

// cellText returns the text of a cell. ok is false where the cell is blank or has
// a fault that was reported.
func (parser *parser) cellText(row row, column string) (text string, ok bool) {
	index, found := parser.columnIndex[column]
	if !found {
		return "", false
	}
	var read cell
	if index < len(row.cells) {
		read = row.cells[index]
	}
	switch {
	case read.formula != "":
		parser.addFault(row, column, "="+read.formula, "the cell is a formula", "its value, pasted as such")
	case encodingProblem(read.text) != "":
		parser.addFault(row, column, read.text, encodingProblem(read.text), "UTF-8 on one line")
	case read.text == "" && isRequired(column):
		parser.addFault(row, column, "", "the cell is blank", "a value")
	default:
		return read.text, read.text != ""
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

// parseName reads a name. known lists the names that are allowed; nil means any.
func (parser *parser) parseName(row row, column string, known []string) string {
	text, ok := parser.cellText(row, column)
	if !ok {
		return ""
	}
	if known != nil && !slices.Contains(known, text) {
		parser.addFault(row, column, text, "unknown "+strings.ReplaceAll(column, "-", " "), strings.Join(known, ", "))
		return ""
	}
	if !plan.ValidName(text) {
		parser.addFault(row, column, text, "no valid name",
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
		parser.addFault(row, columnShare, text, "no number", allowed)
	case math.IsNaN(share) || share <= 0 || share > plan.MaxShare:
		parser.addFault(row, columnShare, text, "out of range", allowed)
	}
	return share
}

// parseInteger reads a whole number; a blank cell is 0. limit names what high is.
func (parser *parser) parseInteger(row row, column string, low, high int64, limit string) int64 {
	text, ok := parser.cellText(row, column)
	if !ok {
		return 0
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", low, high)
	if limit != "" {
		allowed += " (" + limit + ")"
	}
	value, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil && strings.ContainsAny(text, ".,"):
		parser.addFault(row, column, text, "decimal or thousands sign", allowed)
	case err != nil:
		parser.addFault(row, column, text, "no whole number", allowed)
	case value > high:
		parser.addFault(row, column, text, "too high", allowed)
	case value < low:
		parser.addFault(row, column, text, "too low", allowed)
	}
	return value
}

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

// parseIdempotent reads the flag and compares it with the catalogue's kind: a
// request that must run at most once can't be made repeatable by a sheet.
func (parser *parser) parseIdempotent(row row) bool {
	idempotent := parser.parseFlag(row, columnIdempotent)
	index, found := parser.columnIndex[columnKind]
	if !idempotent || !found || index >= len(row.cells) {
		return idempotent
	}
	kind, known := parser.catalogue.kind(row.cells[index].text)
	if known && !kind.Idempotent {
		parser.addFault(row, columnIdempotent, row.cells[parser.columnIndex[columnIdempotent]].text,
			"kind "+kind.Name+" must run at most once", "no")
	}
	return idempotent
}

// parseTime reads in-force-from. A zone is required, since VMs and operators may
// be in several.
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
	parser.addFault(row, columnInForce, text, "no time with a zone",
		"blank for at once, or text such as 2026-12-05T06:00:00+03:00 (a date cell has no zone)")
	return 0
}

func (parser *parser) checkUnique(row row, key plan.Key) {
	if key.Team == "" || key.Kind == "" || key.Domain == "" {
		return
	}
	first, repeated := parser.firstRowByKey[key]
	if !repeated {
		parser.firstRowByKey[key] = row.number
		return
	}
	parser.faults = append(parser.faults, Fault{
		Row:     row.number,
		Value:   key.String(),
		Problem: fmt.Sprintf("repeats row %d", first),
		Allowed: "one row for each team, kind, failure domain and in-force-from",
	})
}
