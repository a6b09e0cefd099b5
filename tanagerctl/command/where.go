package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerfall/shared/process/where"
	"tanagerfall/shared/request/cell"
)

// whereOptions holds the flags of the command where.
type whereOptions struct {
	question         where.Question
	jobPath          string
	schedulerControl string
	deadline         time.Duration
}

// whereOutput is the JSON output of where. Scheduler is the answer of the scheduler, if it
// was asked apart from the entry VM.
type whereOutput struct {
	EntryVM   where.Answer  `json:"entry-vm"`
	Scheduler *where.Answer `json:"scheduler,omitempty"`
}

func newWhereCommand(flags *flags) *cobra.Command {
	options := whereOptions{}
	command := &cobra.Command{
		Use:   "where CONTROL-ADDRESS",
		Short: "Explains where a job would go now, and why, without sending it",
		Example: "  tanagerctl where 10.0.0.3:7301 --host shop.example --path /orders/ --job job.json\n" +
			"  tanagerctl where 10.0.0.3:7301 --host shop.example --path /orders/ --job job.json --scheduler-control 10.0.0.4:7301",
		Args: exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return flags.where(command, args[0], options)
		},
	}
	command.Flags().StringVar(&options.question.Host, "host", "", "host of the request")
	command.Flags().StringVar(&options.question.Path, "path", "", "path of the request; without a job's ID, any is assumed")
	command.Flags().StringVar(&options.jobPath, "job", "", "file with the body of the request, or - for standard input")
	command.Flags().DurationVar(&options.deadline, "deadline", 0, "how long the caller waits (default: as the route says)")
	command.Flags().StringVar(&options.schedulerControl, "scheduler-control", "", "control address of the scheduler, if that is another process")
	return command
}

// where asks an entry VM, and its scheduler if the control address of that is given.
func (flags *flags) where(command *cobra.Command, address string, options whereOptions) error {
	if options.question.Host == "" || options.question.Path == "" || options.jobPath == "" {
		return eris.Wrap(errUsage, "--host, --path or --job is missing")
	}
	options.question.DeadlineMs = float64(options.deadline.Milliseconds())
	job, err := readJob(command, options.jobPath)
	if err != nil {
		return err
	}
	settings, err := flags.loadSettings()
	if err != nil {
		return err
	}
	operatorClient, err := settings.newOperatorClient()
	if err != nil {
		return err
	}
	defer operatorClient.httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	output := whereOutput{}
	output.EntryVM, err = operatorClient.askWhere(ctx, address, options.question, job)
	if err != nil {
		return err
	}
	if dispatch := output.EntryVM.Dispatch; dispatch != nil && !dispatch.IsScheduler && options.schedulerControl != "" {
		options.question.Domain = dispatch.Domain
		answer, err := operatorClient.askWhere(ctx, options.schedulerControl, options.question, job)
		if err != nil {
			return err
		}
		output.Scheduler = &answer
	}
	if flags.output == outputJSON {
		return writeJSON(command.OutOrStdout(), output)
	}
	return writeWhere(command.OutOrStdout(), output)
}

// readJob reads the body of a job from a file, or from standard input for the path "-".
func readJob(command *cobra.Command, path string) (json.RawMessage, error) {
	var job []byte
	var err error
	if path == "-" {
		job, err = io.ReadAll(command.InOrStdin())
	} else {
		job, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, eris.Wrapf(errUsage, "--job: %v", err)
	}
	if !json.Valid(job) {
		return nil, eris.Wrapf(errUsage, "--job: %s is not JSON", path)
	}
	return job, nil
}

// askWhere asks one process where a job would go.
func (operatorClient *operatorClient) askWhere(ctx context.Context, address string, question where.Question, job json.RawMessage) (where.Answer, error) {
	body, err := json.Marshal(struct {
		where.Question
		Job json.RawMessage `json:"job"`
	}{
		Question: question,
		Job:      job,
	})
	if err != nil {
		return where.Answer{}, eris.Wrap(err, "encode the question")
	}
	reply, err := operatorClient.callWithBody(ctx, http.MethodPost, address, "/where", bytes.NewReader(body))
	if err != nil {
		return where.Answer{}, err
	}
	answer := where.Answer{}
	if err := json.Unmarshal(reply, &answer); err != nil {
		return where.Answer{}, eris.Wrapf(errVMCallFailed, "%s: answer: %v", address, err)
	}
	return answer, nil
}

func writeWhere(writer io.Writer, output whereOutput) error {
	answer := output.EntryVM
	rows := [][]string{}
	add := func(name, format string, values ...any) {
		rows = append(rows, []string{name, fmt.Sprintf(format, values...)})
	}
	if route := answer.Route; route != nil {
		add("route", "%s, version %d, priority %d, service %s", route.Name, answer.RoutesVersion, route.Priority, route.Service)
	}
	if answer.Problem != "" {
		add("problem", "%s", answer.Problem)
	}
	var explanation *cell.Explanation
	if dispatch := answer.Dispatch; dispatch != nil {
		addDispatch(add, dispatch)
		explanation = dispatch.Cell
		if output.Scheduler != nil {
			explanation = nil
			switch scheduler := output.Scheduler.Dispatch; {
			case scheduler == nil:
				add("problem", "scheduler: %s", textOrDash(output.Scheduler.Problem))
			case scheduler.Cell == nil:
				add("problem", "%s does not schedule; the scheduler is %s", scheduler.EntryVM, textOrDash(scheduler.Scheduler))
			default:
				explanation = scheduler.Cell
			}
		}
	}
	if explanation != nil {
		addExplanation(add, explanation)
	}
	return writeTable(writer, []string{"WHAT", "NOW"}, rows)
}

// addDispatch adds the rows of an entry VM.
func addDispatch(add func(name, format string, values ...any), dispatch *where.Dispatch) {
	state := ""
	if dispatch.Leaving {
		state = ", leaving"
	}
	if dispatch.Held {
		state += ", holds the job"
	}
	add("entry VM", "%s in %s%s", dispatch.EntryVM, dispatch.Domain, state)
	switch {
	case dispatch.IsScheduler:
		add("scheduler", "this VM, sheds %.2f", dispatch.ShedShare)
	case dispatch.Scheduler == "":
		add("scheduler", "none")
	default:
		add("scheduler", "%s, last heard of %d ms ago, sheds %.2f", dispatch.Scheduler, dispatch.HeartbeatAgeMs, dispatch.ShedShare)
	}
	if dispatch.OtherCell != "" {
		add("other cell", "the job goes to its scheduler %s", dispatch.OtherCell)
	}
	add("evacuated", "%s", describeDomains(dispatch.Evacuated))
	admission := dispatch.Admission
	if dispatch.IsScheduler && !admission.Refused {
		return
	}
	verdict := "admitted"
	if admission.Refused {
		verdict = fmt.Sprintf("refused, %s, retry after %d ms", admission.Reason, admission.RetryAfterMs)
	}
	add("admission", "%s; digest of %d ms ago: load %.2f, drain %d ms, refuses from cost %.2f", verdict,
		dispatch.HeartbeatAgeMs, admission.Load, admission.DrainMs, admission.Threshold)
}

// addExplanation adds the rows of a scheduler.
func addExplanation(add func(name, format string, values ...any), explanation *cell.Explanation) {
	verdict := string(explanation.Verdict)
	if explanation.Verdict == cell.VerdictRefused {
		verdict = fmt.Sprintf("refused, %s, retry after %d ms", explanation.Reason, explanation.RetryAfterMs)
	}
	add("decision", "%s", verdict)
	if explanation.Verdict == cell.VerdictKnown {
		return
	}
	load := explanation.Load
	add("load", "%.2f, overloaded %t, %d waiting, %d deferred, drain %d ms", load.Load, load.Overloaded, load.Waiting, load.Deferred, explanation.DrainMs)
	accepting := 0
	reasons := make(map[string]int)
	for _, upstream := range explanation.Upstreams {
		if upstream.Reason == "" {
			accepting++
			continue
		}
		reasons[upstream.Reason]++
	}
	parts := []string{}
	for reason, count := range reasons {
		parts = append(parts, reason+" "+strconv.Itoa(count))
	}
	slices.Sort(parts)
	add("upstreams", "%d of %d accept a task; others: %s", accepting, len(explanation.Upstreams), textOrDash(strings.Join(parts, ", ")))
	if explanation.Verdict != cell.VerdictStarts {
		return
	}
	rule := "the slowest that meets the objective, or else the fastest free one"
	if explanation.MuchIdle {
		rule = "the fastest, as much is idle"
	}
	add("first task", "%s (%s), speed %.2f, predicted %d ms", explanation.Upstream, rule, explanation.Speed, explanation.RunTimeMs)
	add("starts", "%d of %d tasks", explanation.Starts, explanation.Tasks)
}
