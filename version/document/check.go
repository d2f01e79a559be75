package document

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
	"unicode"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/port"
)

// Bounds of the values in a document.
const (
	maxTargets         = 1024
	maxModels          = 64
	maxTokens          = 4 << 20
	maxBody            = 64 << 20
	maxStreams         = 65536
	maxQueue           = 65536
	maxAttempts        = 10
	maxBudget          = 1.0
	minObjectiveTarget = 0.5
	maxObjectiveTarget = 0.99999
	minWindow          = time.Hour
	maxWindow          = 90 * 24 * time.Hour
	minDuration        = time.Millisecond
	maxDeadline        = 24 * time.Hour
	minOnceWindow      = time.Second
	maxOnceWindow      = 24 * time.Hour
	maxWeight          = 1000.0
	minWeight          = 0.001
	maxChangeTime      = time.Hour
	maxPathBytes       = 512
	maxOncePaths       = 256
	maxFairWeights     = 4096
)

// modelKeys are the keys that only a model service may have.
var modelKeys = []string{
	"models", "roles", "objectives.first_token", "objectives.between_tokens",
	"limits.prompt_tokens", "limits.output_tokens",
}

// modelTargetKeys are the keys that only a model engine may have.
var modelTargetKeys = []string{"model", "adapter", "role", "pinned", "checks_fence"}

// check reports every problem of a decoded document.
func check(f *yamlcheck.File, d *Document) {
	f.Required("service", "kind", "owner", "targets", "objectives")
	if f.Has("service") {
		f.Name("service", d.Service, false)
	}
	if f.Has("owner") {
		f.Text("owner", d.Owner)
	}
	if f.Has("kind") {
		f.OneOf("kind", string(d.Kind), string(KindModel), string(KindPlain))
	}
	switch d.Kind {
	case KindModel:
		checkModels(f, d)
		checkRoles(f, d)
	case KindPlain:
		checkPlain(f, d)
	}
	checkTargets(f, d)
	checkObjectives(f, d)
	checkLimits(f, d)
	yamlcheck.Range(f, "retry.attempts", d.Retry.Attempts, 1, maxAttempts)
	yamlcheck.Range(f, "retry.budget", d.Retry.Budget, 0, maxBudget)
	checkOnce(f, d.Once)
	checkFair(f, d.Fair)
}

func checkPlain(f *yamlcheck.File, d *Document) {
	refuse := func(path string) {
		if f.Has(path) {
			f.Report(path, code.DocInconsistent, "a plain service has no such key", "remove it, or set kind to model")
		}
	}
	for _, key := range modelKeys {
		refuse(key)
	}
	for i := range d.Targets {
		for _, key := range modelTargetKeys {
			refuse(fmt.Sprintf("targets[%d].%s", i, key))
		}
	}
}

func checkModels(f *yamlcheck.File, d *Document) {
	if len(d.Models) == 0 {
		f.Report("models", code.DocMissing, "a model service lists no model", "add at least one")
		return
	}
	yamlcheck.Range(f, "models", len(d.Models), 1, maxModels)
	names := make([]string, len(d.Models))
	for i, m := range d.Models {
		path := fmt.Sprintf("models[%d]", i)
		names[i] = m.Name
		f.Required(path+".name", path+".version", path+".max_tokens")
		if f.Has(path + ".name") {
			f.Name(path+".name", m.Name, true)
		}
		if f.Has(path + ".version") {
			f.Name(path+".version", m.Version, true)
		}
		if f.Has(path + ".max_tokens") {
			yamlcheck.Range(f, path+".max_tokens", m.MaxTokens, 1, maxTokens)
		}
		for j, a := range m.Adapters {
			f.Name(fmt.Sprintf("%s.adapters[%d]", path, j), a, true)
		}
		f.Unique(m.Adapters, func(j int) string { return fmt.Sprintf("%s.adapters[%d]", path, j) })
	}
	f.Unique(names, func(i int) string { return fmt.Sprintf("models[%d].name", i) })
}

func checkTargets(f *yamlcheck.File, d *Document) {
	if !f.Has("targets") {
		return
	}
	yamlcheck.Range(f, "targets", len(d.Targets), 1, maxTargets)
	names := make([]string, len(d.Targets))
	addrs := make([]string, len(d.Targets))
	for i, t := range d.Targets {
		names[i], addrs[i] = t.Name, t.Addr
		checkTarget(f, fmt.Sprintf("targets[%d]", i), t, d)
	}
	f.Unique(names, func(i int) string { return fmt.Sprintf("targets[%d].name", i) })
	f.Unique(addrs, func(i int) string { return fmt.Sprintf("targets[%d].addr", i) })
}

func checkTarget(f *yamlcheck.File, path string, t Target, d *Document) {
	f.Required(path+".name", path+".addr", path+".zone")
	if f.Has(path + ".name") {
		f.Name(path+".name", t.Name, false)
	}
	if f.Has(path + ".addr") {
		f.Addr(path+".addr", t.Addr, false)
	}
	if f.Has(path + ".zone") {
		f.Name(path+".zone", t.Zone, false)
	}
	if d.Kind != KindModel || len(d.Models) == 0 {
		return
	}
	f.OneOf(path+".role", string(t.Role), string(port.RolePrefill), string(port.RoleDecode), string(port.RoleMixed))
	if t.Model == "" {
		f.Report(path+".model", code.DocMissing, "is missing, and the service has several models", "name one of "+modelNames(d.Models))
		return
	}
	checkTargetModel(f, path, t, d.Models)
}

func checkTargetModel(f *yamlcheck.File, path string, t Target, models []Model) {
	for _, m := range models {
		if m.Name != t.Model {
			continue
		}
		if t.Adapter != "" && !slices.Contains(m.Adapters, t.Adapter) {
			f.Report(path+".adapter", code.DocInconsistent, fmt.Sprintf("model %s has no adapter %.60q", m.Name, t.Adapter), "name one of the model's adapters, or add it there")
		}
		return
	}
	f.Report(path+".model", code.DocInconsistent, fmt.Sprintf("no model %.60q under models", t.Model), "name one of "+modelNames(models))
}

func checkRoles(f *yamlcheck.File, d *Document) {
	r := d.Roles
	yamlcheck.Range(f, "roles.goodput_weight", r.GoodputWeight, 0, 1)
	yamlcheck.Range(f, "roles.min_prefill", r.MinPrefill, 0, maxTargets)
	yamlcheck.Range(f, "roles.min_decode", r.MinDecode, 0, maxTargets)
	yamlcheck.Range(f, "roles.max_changing", r.MaxChanging, 1, maxTargets)
	f.Duration("roles.change_time", r.ChangeTime, minDuration, maxChangeTime)
	f.Duration("roles.min_dwell", r.MinDwell, 0, maxOnceWindow)
	if len(d.Targets) == 0 {
		return
	}
	prefill, decode := 0, 0
	for _, t := range d.Targets {
		if t.Role != port.RoleDecode {
			prefill++
		}
		if t.Role != port.RolePrefill {
			decode++
		}
	}
	checkMinimum(f, "roles.min_prefill", "prefill", prefill, r.MinPrefill)
	checkMinimum(f, "roles.min_decode", "decode", decode, r.MinDecode)
}

// checkMinimum reports a document whose initial roles break its own minimum.
func checkMinimum(f *yamlcheck.File, path, phase string, have, minimum int) {
	if have < minimum {
		f.Report(path, code.DocInconsistent,
			fmt.Sprintf("%d engines must %s, but the roles under targets give %d", minimum, phase, have),
			"lower it or change a target's role")
	}
}

func checkObjectives(f *yamlcheck.File, d *Document) {
	if !f.Has("objectives") {
		return
	}
	o := d.Objectives
	f.Required("objectives.answer")
	if f.Has("objectives.answer") {
		f.Duration("objectives.answer", o.Answer, minDuration, maxDeadline)
	}
	yamlcheck.Range(f, "objectives.target", o.Target, minObjectiveTarget, maxObjectiveTarget)
	f.Duration("objectives.window", o.Window, minWindow, maxWindow)
	for path, v := range map[string]time.Duration{"objectives.first_token": o.FirstToken, "objectives.between_tokens": o.BetweenTokens} {
		if !f.Has(path) {
			continue
		}
		f.Duration(path, v, time.Microsecond, maxDeadline)
		if f.Has("objectives.answer") && v > o.Answer {
			f.Report(path, code.DocInconsistent, fmt.Sprintf("%v is longer than objectives.answer, %v", v, o.Answer), "give a shorter time")
		}
	}
}

func checkLimits(f *yamlcheck.File, d *Document) {
	l := d.Limits
	yamlcheck.Range(f, "limits.body_bytes", l.BodyBytes, 1, maxBody)
	yamlcheck.Range(f, "limits.streams_per_caller", l.StreamsPerCaller, 1, maxStreams)
	yamlcheck.Range(f, "limits.queue_per_target", l.QueuePerTarget, 1, maxQueue)
	if f.Has("limits.max_deadline") {
		f.Duration("limits.max_deadline", l.MaxDeadline, minDuration, maxDeadline)
		if f.Has("objectives.answer") && l.MaxDeadline < d.Objectives.Answer {
			f.Report("limits.max_deadline", code.DocInconsistent, fmt.Sprintf("%v is shorter than objectives.answer, %v, which is the default deadline", l.MaxDeadline, d.Objectives.Answer), "give a longer time")
		}
	}
	if d.Kind != KindModel {
		return
	}
	largest := 1
	for _, m := range d.Models {
		largest = max(largest, m.MaxTokens)
	}
	if f.Has("limits.prompt_tokens") {
		yamlcheck.Range(f, "limits.prompt_tokens", l.PromptTokens, 1, largest)
	}
	if f.Has("limits.output_tokens") {
		yamlcheck.Range(f, "limits.output_tokens", l.OutputTokens, 1, largest)
	}
}

func checkOnce(f *yamlcheck.File, o Once) {
	if len(o.Paths) == 0 {
		if f.Has("once.window") {
			f.Report("once.window", code.DocInconsistent, "a window without paths", "add once.paths or remove the window")
		}
		return
	}
	yamlcheck.Range(f, "once.paths", len(o.Paths), 1, maxOncePaths)
	f.Duration("once.window", o.Window, minOnceWindow, maxOnceWindow)
	at := func(i int) string { return fmt.Sprintf("once.paths[%d]", i) }
	for i, p := range o.Paths {
		if !validPath(p) {
			f.Report(at(i), code.DocOutOfRange, fmt.Sprintf("%.60q is no path prefix", p), `begin with "/", without blanks, "?" and "#"`)
		}
	}
	f.Unique(o.Paths, at)
}

func validPath(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > maxPathBytes {
		return false
	}
	return strings.IndexFunc(p, func(r rune) bool {
		return r <= ' ' || r > unicode.MaxASCII || r == 0x7f || strings.ContainsRune("?#", r)
	}) < 0
}

func checkFair(f *yamlcheck.File, fair Fair) {
	if f.Has("fair.weights") {
		yamlcheck.Range(f, "fair.weights", len(fair.Weights), 0, maxFairWeights)
	}
	orgs := make([]string, 0, len(fair.Weights))
	for org := range fair.Weights {
		orgs = append(orgs, org)
	}
	sort.Strings(orgs)
	for _, org := range orgs {
		path := "fair.weights." + org
		f.Name(path, org, true)
		yamlcheck.Range(f, path, fair.Weights[org], minWeight, maxWeight)
	}
}

func modelNames(models []Model) string {
	names := make([]string, len(models))
	for i, m := range models {
		names[i] = m.Name
	}
	return strings.Join(names, ", ")
}
