package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/edit"
)

// readConfig reads and validates a configuration file. If the configuration is invalid, the
// error holds every finding.
func readConfig(file string) (string, *config.Snapshot, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("read the configuration: %w", err)
	}
	snapshot, err := config.Check(file, config.Envelope{Text: string(text)})
	return string(text), snapshot, err
}

type checkCommand struct {
	File string `arg:"" help:"The text, JSON with comments."`
}

// Run validates a configuration file.
func (c *checkCommand) Run(global *cli) error {
	_, snapshot, err := readConfig(c.File)
	findings := config.Findings{}
	if global.JSON && (err == nil || errors.As(err, &findings)) {
		return errors.Join(global.printJSON(map[string]any{"findings": findings}), err)
	}
	if err != nil {
		return err
	}
	global.printf("%s: no findings: %d services, %d customers\n", c.File, len(snapshot.Services()), snapshot.Customers())
	return nil
}

type applyCommand struct {
	File string  `arg:"" help:"The text, JSON with comments."`
	Base *uint64 `help:"Generation that the text was based on; the newest when left out."`
}

// applyResult is the JSON output of the apply command.
type applyResult struct {
	Generation uint64 `json:"generation"`
	Edit       string `json:"edit"`
}

// Run replaces the configuration in the store, subject to the generation it is based on.
func (c *applyCommand) Run(global *cli) error {
	text, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	e := edit.Edit{ID: newEditID(), Text: text, Base: c.Base, InForce: global.highestInForce(ctx)}
	generation, err := edit.Apply(ctx, global.store(), e)
	if err != nil {
		return fmt.Errorf("apply %s: %w", c.File, err)
	}
	if global.JSON {
		return global.printJSON(applyResult{Generation: generation, Edit: e.ID})
	}
	global.printf("accepted: generation %d\n", generation)
	return nil
}

// newEditID returns a unique edit ID from the host, the process and the time, so that the origin
// of a stored edit can be traced.
func newEditID() string {
	host, _ := os.Hostname()
	return fmt.Sprintf("%s-%d-%s", host, os.Getpid(), strconv.FormatInt(time.Now().UnixNano(), 36))
}

type getCommand struct{}

// Run prints the stored configuration.
func (c *getCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	envelope, _, err := edit.Read(ctx, global.store())
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	if global.JSON {
		return global.printJSON(envelope)
	}
	_, _ = fmt.Fprintf(global.stderr, "generation %d, edit %s\n", envelope.Generation, envelope.Edit)
	global.printf("%s", envelope.Text)
	return nil
}

type diffCommand struct {
	File string `arg:"" help:"The text, JSON with comments."`
}

// Run prints the difference between the stored configuration and a file.
func (c *diffCommand) Run(global *cli) error {
	text, _, err := readConfig(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	envelope, _, err := edit.Read(ctx, global.store())
	if err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	name := fmt.Sprintf("generation %d", envelope.Generation)
	changes := string(diff.Diff(name, []byte(envelope.Text), c.File, []byte(text)))
	if global.JSON {
		return global.printJSON(map[string]any{"generation": envelope.Generation, "diff": changes})
	}
	if changes == "" {
		changes = fmt.Sprintf("no difference from %s\n", name)
	}
	global.printf("%s", changes)
	return nil
}
