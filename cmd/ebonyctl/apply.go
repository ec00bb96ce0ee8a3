package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/ebonydyke/ebonydyke/internal/core"
	"github.com/ebonydyke/ebonydyke/internal/core/config"
	"github.com/ebonydyke/ebonydyke/internal/platform"
)

const callTimeout = 5 * time.Second

type checkCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks a text.
func (c *checkCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	_, err = config.Check(c.File, config.Envelope{Text: string(text)})
	return err
}

type applyCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run writes a text over the generation that is in the store.
func (c *applyCommand) Run(global *cli) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if _, err := config.Check(c.File, config.Envelope{Text: string(text)}); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	store := platform.NewClient(global.Platform)
	current, version, err := store.Get(ctx, core.ConfigKey)
	if err != nil && !errors.Is(err, platform.ErrAbsent) {
		return fmt.Errorf("apply: read: %w", err)
	}
	var env config.Envelope
	if version > 0 {
		if err := json.Unmarshal(current, &env); err != nil {
			return fmt.Errorf("apply: stored value: %w", err)
		}
	}
	env.Generation++
	env.Edit = strconv.FormatInt(time.Now().UnixNano(), 36)
	env.Text = string(text)
	value, err := json.Marshal(env)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if _, err := store.Swap(ctx, core.ConfigKey, version, value); err != nil {
		return fmt.Errorf("apply: write: %w", err)
	}
	fmt.Printf("accepted: generation %d\n", env.Generation)
	return nil
}
