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

// ErrUnreadable is wrapped by the error of Load if the file can't be read.
var ErrUnreadable = eris.New("settings file can't be read")

// Error describes an invalid key or value in a settings file.
type Error struct {
	File string
	// Line is the line number from 1, or 0 if it is not known.
	Line int
	// Key is the key in YAML path form without the leading "$.", or "document" if
	// the error can't be attributed to a key.
	Key string
	// Text says what is wrong.
	Text string
}

// Error returns "file:line: key: text".
func (settingsError *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", settingsError.File, settingsError.Line, settingsError.Key, settingsError.Text)
}

// Fault describes an invalid value that a validation found: its key in YAML path
// form without the leading "$.", and what is wrong with the value.
type Fault struct {
	Key  string
	Text string
}

// Validator is implemented by settings that validate their values.
type Validator interface {
	// Validate returns the first fault, or nil if all values are valid.
	Validate() *Fault
}

// Load reads, decodes and validates a settings file. Missing keys keep the values
// of defaults. Settings whose pointer implements Validator are validated. The error
// is an *Error or wraps ErrUnreadable; with an error, Load returns defaults.
func Load[Settings any](file string, defaults Settings) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return defaults, eris.Wrap(ErrUnreadable, err.Error())
	}
	return Decode(file, data, defaults)
}

// Decode is like Load for data that was already read from the file. The name of
// the file is only used in errors, which are of type *Error.
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

// newDecodeError returns the *Error for an error of the YAML decoder. The decoder
// reports the line and the key only in its text, as "[line:column] text".
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

// lineOfKey returns the line of a key. If the file does not contain the key, it
// returns the line of the nearest parent key that the file contains, or 1.
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

// findLine returns the line of a key, and whether the file contains the key.
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

// parentKey returns the key without its last element, or "" if it has only one.
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}
