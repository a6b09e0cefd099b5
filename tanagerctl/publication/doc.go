// Package publication publishes plans in the plan stream, a log that the
// platform keeps, and reads the history of the plan from it.
//
// A Publisher appends a record that names the version it changes, its base, and
// then reads the stream to find out whether the record was adopted: of several
// publications with the same base, all readers adopt the first one and reject
// the others as conflicts. The version of a plan is the offset of its record.
package publication
