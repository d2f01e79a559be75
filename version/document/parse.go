package document

import (
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/pomelospool/pomelospool/internal/yamlcheck"
	"github.com/pomelospool/pomelospool/port"
)

// MaxBytes is the size of the largest document: it travels in one log record.
const MaxBytes = 256 << 10

// Defaults of optional keys.
const (
	defaultTarget           = 0.95
	defaultWindow           = 30 * 24 * time.Hour
	defaultBodyBytes        = 1 << 20
	defaultStreamsPerCaller = 64
	defaultQueuePerTarget   = 64
	defaultDeadlineFactor   = 4
	defaultAttempts         = 3
	defaultBudget           = 0.1
	defaultOnceWindow       = time.Hour
	defaultGoodputWeight    = 0.5
	defaultMinEngines       = 1
	defaultMaxChanging      = 1
	defaultChangeTime       = 10 * time.Second
	defaultMinDwell         = time.Minute
)

// Problem is one fault of a document, with its place and its code.
type Problem = yamlcheck.Problem

// Parse reads and checks a document. It returns either a whole document with
// all defaults filled in, or nil and every problem found, never both. file
// names the document in the problems.
func Parse(file string, data []byte) (*Document, []*Problem) {
	d := withDefaults()
	f := yamlcheck.Decode(file, data, MaxBytes, d)
	if f.Failed() {
		return nil, f.Problems()
	}
	fillDefaults(f, d)
	check(f, d)
	if f.Failed() {
		return nil, f.Problems()
	}
	return d, nil
}

func withDefaults() *Document {
	return &Document{
		Objectives: Objectives{Target: defaultTarget, Window: defaultWindow},
		Limits: Limits{
			BodyBytes:        defaultBodyBytes,
			StreamsPerCaller: defaultStreamsPerCaller,
			QueuePerTarget:   defaultQueuePerTarget,
		},
		Retry: Retry{Attempts: defaultAttempts, Budget: defaultBudget},
	}
}

// Marshal writes a document so that Parse gives the same one again.
func Marshal(d *Document) ([]byte, error) {
	data, err := yaml.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("marshal document of %s: %w", d.Service, err)
	}
	return data, nil
}

// fillDefaults fills in what the file leaves out and what depends on other keys.
func fillDefaults(f *yamlcheck.File, d *Document) {
	if !f.Has("limits.max_deadline") {
		d.Limits.MaxDeadline = min(defaultDeadlineFactor*d.Objectives.Answer, maxDeadline)
	}
	if len(d.Once.Paths) > 0 && !f.Has("once.window") {
		d.Once.Window = defaultOnceWindow
	}
	if d.Kind == KindModel {
		fillModelDefaults(f, d)
	}
}

func fillModelDefaults(f *yamlcheck.File, d *Document) {
	largest := 0
	for _, m := range d.Models {
		largest = max(largest, m.MaxTokens)
	}
	fill(f, "limits.prompt_tokens", &d.Limits.PromptTokens, largest)
	fill(f, "limits.output_tokens", &d.Limits.OutputTokens, largest)
	fill(f, "roles.goodput_weight", &d.Roles.GoodputWeight, defaultGoodputWeight)
	fill(f, "roles.min_prefill", &d.Roles.MinPrefill, defaultMinEngines)
	fill(f, "roles.min_decode", &d.Roles.MinDecode, defaultMinEngines)
	fill(f, "roles.max_changing", &d.Roles.MaxChanging, defaultMaxChanging)
	fill(f, "roles.change_time", &d.Roles.ChangeTime, defaultChangeTime)
	fill(f, "roles.min_dwell", &d.Roles.MinDwell, defaultMinDwell)
	for i := range d.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		fill(f, path+".role", &d.Targets[i].Role, port.RoleMixed)
		if len(d.Models) == 1 {
			fill(f, path+".model", &d.Targets[i].Model, d.Models[0].Name)
		}
	}
}

// fill sets v to the default unless the file has the key.
func fill[T any](f *yamlcheck.File, path string, v *T, value T) {
	if !f.Has(path) {
		*v = value
	}
}
