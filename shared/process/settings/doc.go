// Package settings reads the YAML settings of the programs: strictly decoded,
// validated, and with errors that name file, line and key.
package settings
