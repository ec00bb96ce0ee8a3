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

// readChecked reads a text and checks it. The error holds every finding.
func readChecked(file string) (string, *config.Snapshot, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("read the text: %w", err)
	}
	snapshot, err := config.Check(file, config.Envelope{Text: string(text)})
	return string(text), snapshot, err
}

type checkCommand struct {
	File string `arg:"" help:"The text, JSON with comments."`
}

// Run checks a text.
func (c *checkCommand) Run(global *cli) error {
	_, snapshot, err := readChecked(c.File)
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

// applied is what apply prints for scripts.
type applied struct {
	Generation uint64 `json:"generation"`
	Edit       string `json:"edit"`
}

// Run writes a text over the generation it is based on.
func (c *applyCommand) Run(global *cli) error {
	text, _, err := readChecked(c.File)
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
		return global.printJSON(applied{Generation: generation, Edit: e.ID})
	}
	global.printf("accepted: generation %d\n", generation)
	return nil
}

// newEditID names an edit by who makes it and when, so that a later reader of
// the store can ask.
func newEditID() string {
	host, _ := os.Hostname()
	return fmt.Sprintf("%s-%d-%s", host, os.Getpid(), strconv.FormatInt(time.Now().UnixNano(), 36))
}

type getCommand struct{}

// Run prints what the store holds.
func (c *getCommand) Run(global *cli) error {
	ctx, cancel := global.context()
	defer cancel()
	env, _, err := edit.Read(ctx, global.store())
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	if global.JSON {
		return global.printJSON(env)
	}
	_, _ = fmt.Fprintf(global.err, "generation %d, edit %s\n", env.Generation, env.Edit)
	global.printf("%s", env.Text)
	return nil
}

type diffCommand struct {
	File string `arg:"" help:"The text, JSON with comments."`
}

// Run prints the difference between the stored text and a file.
func (c *diffCommand) Run(global *cli) error {
	text, _, err := readChecked(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := global.context()
	defer cancel()
	env, _, err := edit.Read(ctx, global.store())
	if err != nil {
		return fmt.Errorf("diff: %w", err)
	}
	name := fmt.Sprintf("generation %d", env.Generation)
	changes := string(diff.Diff(name, []byte(env.Text), c.File, []byte(text)))
	if global.JSON {
		return global.printJSON(map[string]any{"generation": env.Generation, "diff": changes})
	}
	if changes == "" {
		changes = fmt.Sprintf("no difference from %s\n", name)
	}
	global.printf("%s", changes)
	return nil
}
