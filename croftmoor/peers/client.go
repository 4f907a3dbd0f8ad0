package peers

import (
	"context"
	"net/http"

	"croftmoor.dev/croftmoor/pool"
	"croftmoor.dev/croftmoor/rpcs"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/fold"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/once"
)

// Client calls other instances.
type Client struct {
	Fleet *fleet.Table

	http *http.Client
}

// NewClient returns a client that looks up the peers' addresses in table.
func NewClient(table *fleet.Table) *Client {
	return &Client{Fleet: table, http: rpcs.NewClient()}
}

func (c *Client) address(instance ident.InstanceName) (ident.Address, error) {
	member, ok := c.Fleet.View().Entry(ident.InstanceName(instance.ListName()))
	if !ok || member.Peer == "" {
		return "", fault.New("peers.address", Unreachable, string(instance)+" is not on the platform's list")
	}
	return member.Peer, nil
}

// call calls one procedure of a peer.
func call[Q, A any](ctx context.Context, c *Client, to ident.InstanceName, path string, message *Q) (*A, error) {
	address, err := c.address(to)
	if err != nil {
		return nil, err
	}
	answer, err := rpcs.Call[Q, A](ctx, c.http, address, path, message)
	if err != nil {
		return nil, fromConnect("peers.call", err)
	}
	return answer, nil
}

// Ping sends this instance's heartbeat to a peer and returns the peer's.
func (c *Client) Ping(ctx context.Context, to ident.InstanceName, heartbeat Heartbeat) (Heartbeat, error) {
	message := heartbeatToWire(heartbeat)
	answer, err := call[heartbeatWire, heartbeatWire](ctx, c, to, pingPath, &message)
	if err != nil {
		return Heartbeat{}, err
	}
	return heartbeatFromWire(*answer), nil
}

// State fetches a peer's complete shared state.
func (c *Client) State(ctx context.Context, to ident.InstanceName) (*fold.State, error) {
	answer, err := call[emptyWire, stateWire](ctx, c, to, statePath, &emptyWire{})
	if err != nil {
		return nil, err
	}
	return fold.DecodeState(answer.State)
}

// Claim asks a shard's primary for the right to run an id; see once.Shard.Claim.
func (c *Client) Claim(ctx context.Context, to ident.InstanceName, request once.Request) (once.Entry, error) {
	message := claimToWire(request)
	answer, err := call[claimWire, entryWire](ctx, c, to, claimPath, &message)
	if err != nil {
		return once.Entry{}, err
	}
	return entryFromWire(*answer), nil
}

// Record sends a change to a shard's backup.
func (c *Client) Record(ctx context.Context, to ident.InstanceName, record Record) error {
	message := recordToWire(record)
	_, err := call[recordWire, emptyWire](ctx, c, to, recordPath, &message)
	return err
}

// Install sends a shard's complete state to its backup.
func (c *Client) Install(ctx context.Context, to ident.InstanceName, install Install) error {
	message := installToWire(install)
	_, err := call[installWire, emptyWire](ctx, c, to, installPath, &message)
	return err
}

// Settle reports to a shard's primary how a grant ended.
func (c *Client) Settle(ctx context.Context, to ident.InstanceName, settlement once.Settlement) error {
	message := settleToWire(settlement)
	_, err := call[settleWire, emptyWire](ctx, c, to, settlePath, &message)
	return err
}

// Open opens a trainer's step at its owner.
func (c *Client) Open(ctx context.Context, to ident.InstanceName, open Open) error {
	message := openToWire(open)
	_, err := call[openWire, emptyWire](ctx, c, to, openPath, &message)
	return err
}

// Pull asks a step's owner for samples.
func (c *Client) Pull(ctx context.Context, to ident.InstanceName, pull Pull) (Pulled, error) {
	message := pullToWire(pull)
	answer, err := call[pullWire, pulledWire](ctx, c, to, pullPath, &message)
	if err != nil {
		return Pulled{}, err
	}
	return pulledFromWire(*answer), nil
}

// Publish notifies a step's owner of published weights.
func (c *Client) Publish(ctx context.Context, to ident.InstanceName, p Publication) error {
	message := publicationWire{Trainer: string(p.Trainer), Version: int64(p.Version)}
	_, err := call[publicationWire, emptyWire](ctx, c, to, publishPath, &message)
	return err
}

// SendObservedVersion sends an observed weights version to another instance.
func (c *Client) SendObservedVersion(ctx context.Context, to ident.InstanceName, observed pool.ObservedVersion) error {
	message := observedVersionToWire(observed)
	_, err := call[observedVersionWire, emptyWire](ctx, c, to, notePath, &message)
	return err
}

func publicationFromWire(w publicationWire) Publication {
	return Publication{Trainer: ident.Trainer(w.Trainer), Version: ident.Version(w.Version)}
}
