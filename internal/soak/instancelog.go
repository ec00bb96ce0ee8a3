package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// logLine holds the fields of a log line that say how an attempt or a request ended.
type logLine struct {
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Attempt  int    `json:"attempt"`
	Backend  string `json:"backend"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	EndedBy  string `json:"endedBy"`
	SilentMs int    `json:"silentMs"`
	Since    int    `json:"sinceArrivalMs"`
}

// String returns the line's fields in short.
func (l *logLine) String() string {
	if l.Reason != "" {
		return fmt.Sprintf("request ended %s", l.Reason)
	}
	return fmt.Sprintf("attempt %d at %s %s after %d ms, endedBy %s, silentMs %d", l.Attempt, l.Backend, l.Outcome, l.Since, l.EndedBy, l.SilentMs)
}

// loggedEnds returns what the instance logged about the ends of a request's attempts and of the request. Only the report
// of a violation uses it.
func (i *instance) loggedEnds(id string) []string {
	file, err := os.Open(i.settings + ".log")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = file.Close() }()
	var ends []string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), id) {
			continue
		}
		var line logLine
		// Lines of the runtime are not in the log's format.
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		isEnd := line.Message == "attempt ended" || line.Message == "request refused or failed"
		if isEnd && strings.HasPrefix(line.Request, id+".") {
			ends = append(ends, line.String())
		}
	}
	return ends
}

// describeEnd returns the end of the log of a process that has ended and was not replaced, "" if the process runs.
func (i *instance) describeEnd() string {
	select {
	case <-i.currentProcess().ended:
	default:
		return ""
	}
	text, err := os.ReadFile(i.settings + ".log")
	if err != nil {
		return "; its process has ended; log: " + err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return "; its process has ended; log: " + strings.Join(lines[max(0, len(lines)-endLines):], " | ")
}

// endLines is the number of lines of the log that describeEnd returns.
const endLines = 5
