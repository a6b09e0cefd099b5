// Package settings reads the YAML settings files of the programs. It decodes them
// strictly, so that unknown keys are errors, validates the values, and returns
// errors with the file, line and key.
package settings
