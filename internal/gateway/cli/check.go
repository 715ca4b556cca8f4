package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"elmfold/internal/gateway/bootconfig"
	"elmfold/internal/gateway/routeconfig"
)

// settingsMarker identifies an invalid file as settings rather than a configuration.
var settingsMarker = []byte(`"nodeName"`)

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings, or a configuration"`
	} `positional-args:"yes" required:"yes"`
	out io.Writer
}

// Execute validates a settings file or a configuration and prints a summary of it.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	summary, err := summarize(text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Args.File, err)
	}
	_, err = fmt.Fprintf(c.out, "%s: %s\n", c.Args.File, summary)
	return err
}

// summarize describes a valid file in one line. If the file is invalid, the error is that of the settings parser for a
// file with settingsMarker, and that of the configuration parser for any other.
func summarize(text []byte) (string, error) {
	settings, settingsErr := bootconfig.Parse(text)
	if settingsErr == nil {
		return fmt.Sprintf("settings of %s, role %s, zone %s", settings.Name, settings.Role, settings.Zone), nil
	}
	if bytes.Contains(text, settingsMarker) {
		return "", settingsErr
	}
	config, err := routeconfig.Parse(text)
	if err != nil {
		return "", err
	}
	summary := fmt.Sprintf("configuration %s, %d routes, %d services", routeconfig.FormatVersion(config.Version),
		len(config.Routes()), len(config.Services))
	for _, setting := range config.Unsupported {
		summary += "\n  warning: " + setting
	}
	return summary, nil
}
