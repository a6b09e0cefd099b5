// Package fleet runs the stand-ins of a whole deployment, the platform and
// all workers, in one process, as one YAML file describes them.
package fleet
