package settings

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// ErrUnreadable is returned where the settings file can't be read at all.
var ErrUnreadable = eris.New("settings can't be read")

// Error is one fault of a settings file.
type Error struct {
	File string
	// Line is 0 where no line can be named.
	Line int
	Key  string
	Text string
}

// Error returns "file:line: key: text".
func (settingsError *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", settingsError.File, settingsError.Line, settingsError.Key, settingsError.Text)
}

// Fault is what a validation finds: a key in YAML path form without the
// leading "$.", and what is wrong with its value.
type Fault struct {
	Key  string
	Text string
}

// Validator is implemented by settings that check their values.
type Validator interface {
	// Validate returns the first fault, or nil.
	Validate() *Fault
}

// Load reads and validates the settings in file. Keys that are missing keep
// the values of defaults. The error is an *Error or wraps ErrUnreadable.
func Load[Settings any](file string, defaults Settings) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return defaults, eris.Wrap(ErrUnreadable, err.Error())
	}
	return Decode(file, data, defaults)
}

// Decode is Load for the content of a file. The error is an *Error.
func Decode[Settings any](file string, data []byte, defaults Settings) (Settings, error) {
	decoded := defaults
	if err := yaml.UnmarshalWithOptions(data, &decoded, yaml.Strict()); err != nil {
		return defaults, newDecodeError(file, err)
	}
	validator, isValidator := any(&decoded).(Validator)
	if !isValidator {
		return decoded, nil
	}
	if fault := validator.Validate(); fault != nil {
		return defaults, &Error{
			File: file,
			Line: lineOfKey(data, fault.Key),
			Key:  fault.Key,
			Text: fault.Text,
		}
	}
	return decoded, nil
}

var (
	quotedKeyPattern = regexp.MustCompile(`"([^"]+)"`)
	positionPattern  = regexp.MustCompile(`^\[(\d+):\d+\] (.*)`)
)

func newDecodeError(file string, err error) error {
	settingsError := &Error{
		File: file,
		Key:  "document",
		Text: yaml.FormatError(err, false, false),
	}
	if match := positionPattern.FindStringSubmatch(settingsError.Text); match != nil {
		settingsError.Line, _ = strconv.Atoi(match[1])
		settingsError.Text = match[2]
	}
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		if match := quotedKeyPattern.FindStringSubmatch(settingsError.Text); match != nil {
			settingsError.Key = match[1]
		}
	}
	return settingsError
}

// lineOfKey returns the line of a key, of its nearest parent where the key is
// missing, or 1.
func lineOfKey(data []byte, key string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 1
	}
	for key != "" {
		if line, known := findLine(file, key); known {
			return line
		}
		key = parentKey(key)
	}
	return 1
}

func findLine(file *ast.File, key string) (int, bool) {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0, false
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0, false
	}
	return node.GetToken().Position.Line, true
}

func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
