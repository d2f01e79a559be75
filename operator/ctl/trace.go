package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const traceHelp = `Reads daemons' log lines (JSON) from standard input and prints what they say of one request, in order of time: which targets it was sent to, why a send failed, what was predicted, and how it ended. Lines may bear anything before their JSON, as a collector's time and host.`

type traceCommand struct {
	app  *app
	Args struct {
		ID string `positional-arg-name:"ID" description:"The request's id" required:"yes"`
	} `positional-args:"yes"`
}

// logLine is one log line about the request.
type logLine struct {
	Prefix    string         `json:"before,omitempty"` // text before the JSON, such as a collector's time and host
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// Execute prints the log lines about the request.
func (c *traceCommand) Execute([]string) error {
	found, err := traceLines(c.app.in, c.Args.ID)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return usageError("no line about request " + c.Args.ID)
	}
	if c.app.JSON {
		return c.app.printJSON(found)
	}
	for _, t := range found {
		c.app.printf("%s %s%s %s\n", t.Timestamp.Format(time.RFC3339Nano), t.Prefix, t.Message, fieldsText(t.Fields))
	}
	return nil
}

// traceLines returns the log lines about a request, sorted by time.
func traceLines(in io.Reader, id string) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		prefix, rest, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.Contains(rest, id) {
			continue
		}
		line := logLine{Prefix: prefix}
		if json.Unmarshal([]byte("{"+rest), &line) != nil || line.Fields["request"] != id {
			continue
		}
		out = append(out, line)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Timestamp.Compare(b.Timestamp) })
	return out, nil
}

// fieldsText formats the fields, sorted by name, without the request's id.
func fieldsText(fields map[string]any) string {
	var parts []string
	for k, v := range fields {
		if k != "request" {
			parts = append(parts, fmt.Sprintf("%s=%v", k, v))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
