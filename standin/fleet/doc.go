// Package fleet runs the stand-ins of a whole deployment, the platform and all
// workers, in one process. A YAML file describes the deployment.
package fleet
