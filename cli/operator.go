package cli

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"jasminelane.example/lane/operator"
	"jasminelane.example/lane/settings"
	"jasminelane.example/lane/state"
)

func runCheck(t *Tool, f *flags) error {
	name := f.String("name", "", "name of the configuration record, for example account/asha")
	online := f.Bool("online", false, "also ask an instance whether it could be published now")
	base := f.String("base", "", "online: version that the record would replace; default not compared")
	reader := f.Uint("reader", 1, "online: lowest program version that interprets the record safely")
	if err := f.parse(1); err != nil {
		return err
	}
	path := f.args[0]
	if strings.HasSuffix(path, ".ini") {
		if _, err := settings.Read(path); err != nil {
			return withExit(err, ExitInvalid)
		}
		return t.showOK(f, path)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return withExit(err, ExitInvalid)
	}
	if *name == "" {
		return &UsageError{"check of a configuration record wants -name FAMILY/NAME"}
	}
	if err := state.CheckConfig(*name, data); err != nil {
		return withExit(err, ExitInvalid)
	}
	if *online {
		query := url.Values{"check": {"true"}, "reader": {fmt.Sprint(*reader)}}
		if *base != "" {
			query.Set("base", *base)
		}
		if _, err := callOperator[map[string]string](f, http.MethodPut, "/v1/config/"+*name, query, data); err != nil {
			return err
		}
	}
	return t.showOK(f, path)
}

func (t *Tool) showOK(f *flags, path string) error {
	return t.show(f, map[string]string{"file": path, "check": "ok"}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: ok\n", path)
	})
}

func runPublish(t *Tool, f *flags) error {
	name := f.String("name", "", "name of the record, for example account/asha")
	base := f.Uint64("base", 0, "version that the record replaces; 0 for a new name")
	schema := f.Uint("schema", 1, "schema version of the record")
	reader := f.Uint("reader", 1, "lowest program version that interprets the record safely")
	if err := f.parse(1); err != nil {
		return err
	}
	if *name == "" {
		return &UsageError{"publish wants -name FAMILY/NAME"}
	}
	data, err := os.ReadFile(f.args[0])
	if err != nil {
		return withExit(err, ExitInvalid)
	}
	query := url.Values{"base": {strconv.FormatUint(*base, 10)}, "schema": {fmt.Sprint(*schema)}, "reader": {fmt.Sprint(*reader)}}
	return t.publish(f, http.MethodPut, *name, query, data)
}

func runRemove(t *Tool, f *flags) error {
	base := f.Uint64("base", 0, "version that is removed")
	if err := f.parse(1); err != nil {
		return err
	}
	return t.publish(f, http.MethodDelete, f.args[0], url.Values{"base": {strconv.FormatUint(*base, 10)}}, nil)
}

// publish publishes or removes a configuration record and prints which instances
// have applied the new version.
func (t *Tool) publish(f *flags, method, name string, query url.Values, data []byte) error {
	out, err := callOperator[operator.PublishResult](f, method, "/v1/config/"+name, query, data)
	if err != nil {
		return err
	}
	return t.show(f, out, func(w io.Writer) {
		row(w, "NAME", "VERSION", "MILLIS")
		row(w, out.Name, out.Version, out.ElapsedMs)
		row(w)
		row(w, "INSTANCE", "INFORCE", "OFFSET", "ERROR")
		for _, v := range out.Instances {
			row(w, v.Instance, v.Applied, v.Offset, v.Error)
		}
	})
}

func runConfig(t *Tool, f *flags) error {
	if err := f.parse(-1); err != nil {
		return err
	}
	if len(f.args) > 1 {
		return &UsageError{"config wants at most one name"}
	}
	if len(f.args) == 1 {
		c, err := callOperator[operator.Config](f, http.MethodGet, "/v1/config/"+f.args[0], nil, nil)
		if err != nil {
			return err
		}
		return t.show(f, c, func(w io.Writer) {
			row(w, "NAME", "VERSION", "SCHEMA", "READER", "BY")
			row(w, c.Name, c.Version, c.Schema, c.MinVersion, c.By)
			row(w)
			row(w, string(c.Body))
		})
	}
	list, err := callOperator[[]operator.Config](f, http.MethodGet, "/v1/config", nil, nil)
	if err != nil {
		return err
	}
	return t.show(f, list, func(w io.Writer) {
		row(w, "NAME", "VERSION", "SCHEMA", "READER", "BY", "BYTES")
		for _, c := range list {
			row(w, c.Name, c.Version, c.Schema, c.MinVersion, c.By, len(c.Body))
		}
	})
}

func runAccounts(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	list, err := callOperator[[]operator.Account](f, http.MethodGet, "/v1/accounts", nil, nil)
	if err != nil {
		return err
	}
	return t.show(f, list, func(w io.Writer) {
		row(w, "ACCOUNT", "WEIGHT", "QUOTA", "GUARANTEED", "USED", "LENT", "BORROWED", "BROKEN")
		for _, a := range list {
			row(w, a.Name, a.Weight, a.Quota, a.Guaranteed, a.Used, a.Lent, a.Borrowed, a.Broken)
		}
	})
}

func runJobs(t *Tool, f *flags) error {
	phase := f.String("phase", "", "only jobs in this phase, for example waiting")
	account := f.String("account", "", "only jobs of this account")
	if err := f.parse(0); err != nil {
		return err
	}
	list, err := callOperator[[]operator.Job](f, http.MethodGet, "/v1/jobs", url.Values{"phase": {*phase}, "account": {*account}}, nil)
	if err != nil {
		return err
	}
	return t.show(f, list, func(w io.Writer) {
		row(w, "JOB", "ACCOUNT", "KIND", "SHAPE", "PHASE", "STARTS", "CAUSE", "WAITS")
		for _, j := range list {
			row(w, j.ID, j.Account, j.Kind, j.Shape, j.Phase, j.Starts, j.Cause, j.WaitReason.Reason)
		}
	})
}

func runJob(t *Tool, f *flags) error {
	if err := f.parse(1); err != nil {
		return err
	}
	j, err := callOperator[operator.Job](f, http.MethodGet, "/v1/jobs/"+url.PathEscape(f.args[0]), nil, nil)
	if err != nil {
		return err
	}
	return t.showJob(f, j)
}

func (t *Tool) showJob(f *flags, j operator.Job) error {
	return t.show(f, j, func(w io.Writer) {
		row(w, "job", j.ID)
		row(w, "account", j.Account)
		row(w, "kind", j.Kind)
		row(w, "shape", j.Shape)
		row(w, "phase", j.Phase)
		row(w, "cause", j.Cause)
		row(w, "submitted", formatTime(j.SubmittedAt))
		row(w, "started", formatTime(j.StartedAt))
		row(w, "starts", j.Starts)
		row(w, "workers", strings.Join(j.Workers, " "))
		if j.WaitReason.Reason != "" {
			row(w, "waits", j.WaitReason.Reason)
			row(w, "change", j.WaitReason.Change)
		}
	})
}

// formatTime formats a time in Unix milliseconds; 0 means that there is none.
func formatTime(millis int64) string {
	if millis == 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

func runWorkers(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	list, err := callOperator[[]operator.Worker](f, http.MethodGet, "/v1/workers", nil, nil)
	if err != nil {
		return err
	}
	return t.showWorkers(f, list)
}

func (t *Tool) showWorkers(f *flags, list []operator.Worker) error {
	return t.show(f, list, func(w io.Writer) {
		row(w, "WORKER", "RACK", "DOMAIN", "GPUS", "USED", "RESERVED", "CONDITION", "CAUSE")
		for _, x := range list {
			row(w, x.Name, x.Rack, x.Domain, x.GPUs, x.Used, x.Reserved, x.Condition, x.Cause)
		}
	})
}

func runAside(t *Tool, f *flags) error  { return t.setCondition(f, "aside") }
func runReturn(t *Tool, f *flags) error { return t.setCondition(f, "ready") }

// setCondition puts a worker into service or takes it out.
func (t *Tool) setCondition(f *flags, condition string) error {
	if err := f.parse(1); err != nil {
		return err
	}
	out, err := callOperator[operator.Worker](f, http.MethodPost, "/v1/workers/"+url.PathEscape(f.args[0])+"/"+condition, nil, nil)
	if err != nil {
		return err
	}
	return t.showWorkers(f, []operator.Worker{out})
}

func runInstances(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	list, err := callOperator[[]operator.Instance](f, http.MethodGet, "/v1/instances", nil, nil)
	if err != nil {
		return err
	}
	return t.show(f, list, func(w io.Writer) {
		row(w, "INSTANCE", "DOMAIN", "ADDR", "VERSION", "OFFSET", "ERROR")
		for _, v := range list {
			row(w, v.Name, v.Domain, v.Addr, v.Version, v.Offset, v.Error)
		}
	})
}

func runStatus(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	s, err := callOperator[operator.Status](f, http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	return t.show(f, s, func(w io.Writer) {
		row(w, "offset", s.Replica.Offset)
		row(w, "end", s.Replica.End)
		row(w, "digest", fmt.Sprintf("%016x", s.Replica.Chain))
		row(w, "ready", s.Replica.Ready)
		row(w, "logdown", s.Replica.LogDown)
		row(w, "configs", s.Configs)
		row(w, "accounts", s.Accounts)
		row(w, "workers", s.Workers)
		row(w, "jobs", s.Jobs)
		row(w, "claims", s.Claims)
		for _, reason := range slices.Sorted(maps.Keys(s.Refused)) {
			row(w, "refused "+string(reason), s.Refused[reason])
		}
	})
}

func runDrain(t *Tool, f *flags) error {
	if err := f.parse(0); err != nil {
		return err
	}
	out, err := callOperator[map[string]string](f, http.MethodPost, "/v1/drain", nil, nil)
	if err != nil {
		return err
	}
	return t.show(f, out, func(w io.Writer) { fmt.Fprintln(w, "drain started") })
}

func runKill(t *Tool, f *flags) error {
	if err := f.parse(1); err != nil {
		return err
	}
	out, err := callOperator[operator.Job](f, http.MethodDelete, "/v1/jobs/"+url.PathEscape(f.args[0]), nil, nil)
	if err != nil {
		return err
	}
	return t.showJob(f, out)
}
