// Package job defines jobs, their tasks and their answers as callers see them.
//
// All JSON forms use kebab-case keys. Times are in milliseconds, memory is in
// megabytes.
package job
