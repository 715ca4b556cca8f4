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
	"elmfold/internal/controlplane/sharding"
	"elmfold/internal/gateway/bootconfig"
)

// Status is the response of a control-plane node to the call core.status.
type Status struct {
	consensus.Status
	Evacuated []string         `json:"evacuated"`        // zones that this node knows to be evacuated
	Shards    *sharding.Status `json:"shards,omitempty"` // only where a service is sharded
}

const (
	statusPath     = "/v1/rpc?call=core.status"
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 8 << 20
)

// unreachableError is returned if no node gave a valid response.
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

// Execute prints the status of the first node that responds.
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

// addresses returns the control addresses to query: the one on the command line, this node's own, or those of the
// seeds.
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
	response, err := client.Post("http://"+address+statusPath, "application/json", nil)
	if err != nil {
		var urlError *url.Error
		if errors.As(err, &urlError) { // unwrapped because the caller adds the address
			err = urlError.Err
		}
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, errors.New(response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
