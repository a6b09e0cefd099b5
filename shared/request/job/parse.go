package job

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Parse decodes a job from JSON, sets its team and validates it. Unknown fields and
// data after the job are errors. All errors wrap ErrInvalid.
func Parse(body []byte, team string) (Job, error) {
	var job Job
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return job, eris.Wrap(ErrInvalid, "body is not a job: "+err.Error())
	}
	if decoder.More() {
		return job, eris.Wrap(ErrInvalid, "body has data after the job")
	}
	job.Team = team
	return job, job.Validate()
}
