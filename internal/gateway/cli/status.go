package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"elmfold/internal/controlplane/consensus"
	"elmfold/internal/gateway/bootconfig"
)

// Status is the answer of a control-plane node to core.status.
type Status struct {
	consensus.Status
	Evacuated []string `json:"evacuated"` // zones, as far as the node knows
}

const (
	statusPath     = "/v1/rpc?call=core.status"
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 1 << 20
)

// unreachableError says that no node answered.
type unreachableError struct{ failures []string }

func (e unreachableError) Error() string {
	return "no control-plane node is reached: " + strings.Join(e.failures, "; ")
}

type statusCommand struct {
	Args struct {
		Address string `positional-arg-name:"ADDRESS" description:"a control-plane node's control address; left out: the own settings' or, of a proxy, a seed's"` //nolint:lll // a struct tag cannot be broken
	} `positional-args:"yes"`
	out io.Writer
}

// Execute asks one node after the other until one answers.
func (c *statusCommand) Execute([]string) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	var failures []string
	for _, address := range addresses {
		status, err := fetchStatus(address)
		if err == nil {
			return PrintStatus(c.out, status)
		}
		failures = append(failures, fmt.Sprintf("%s: %v", address, err))
	}
	return unreachableError{failures}
}

// addresses are the control addresses to ask: the one given, the own one, or those of the seeds.
func (c *statusCommand) addresses() ([]string, error) {
	if c.Args.Address != "" {
		return []string{c.Args.Address}, nil
	}
	settings, err := bootconfig.FromEnvironment()
	if err != nil {
		return nil, err
	}
	if own := settings.Listen[bootconfig.ListenControl]; own != "" {
		return []string{own}, nil
	}
	return settings.Seeds, nil
}

func fetchStatus(address string) (status Status, err error) {
	client := http.Client{Timeout: statusTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post("http://"+address+statusPath, "application/json", nil)
	if err != nil {
		var wrapped *url.Error
		if errors.As(err, &wrapped) { // its text repeats the address
			err = wrapped.Err
		}
		return status, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return status, errors.New(answer.Status)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
