package fleet

import (
	"context"
	"encoding/json"
	"net/http"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

func init() {
	Directories.Register("Http", func() Directory { return &httpDirectory{} })
}

// httpDirectory reads the list over HTTP with a JSON body. It names the tag of
// the list that it has, so that an unchanged one is not sent again. It is used by
// one goroutine.
type httpDirectory struct {
	address ident.Address
	client  httpc.Client
	tag     string
}

// Names of the header fields that make a read conditional.
const (
	tagHeader   = "Etag"
	knownHeader = "If-None-Match"
)

// ListWire is the JSON form of the list.
type ListWire struct {
	Members []MemberWire
}

// MemberWire is the JSON form of a member.
type MemberWire struct {
	Name    string
	Kind    string
	Service string
	Zone    string
	Address string
	Peer    string
	Admin   string
	State   string
}

// Connect sets the list's address.
func (d *httpDirectory) Connect(address ident.Address) {
	d.address = address
}

// List reads the list.
func (d *httpDirectory) List(ctx context.Context) ([]Member, error) {
	call := &httpc.Call{Address: d.address, Method: http.MethodGet, Path: "/members"}
	if d.tag != "" {
		call.Headers = []httpc.Header{{Name: knownHeader, Value: d.tag}}
	}
	answer, err := d.client.Do(ctx, call)
	if err != nil {
		return nil, fault.Wrap("fleet.List", Unavailable, err, "the platform's list could not be read")
	}
	if answer.Status == http.StatusNotModified {
		return nil, fault.New("fleet.List", Unchanged, "the list is the same")
	}
	var wire ListWire
	if answer.Status != http.StatusOK {
		return nil, fault.Wrap("fleet.List", Unavailable, httpc.StatusError(call, answer), "the platform's list was refused")
	}
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return nil, fault.Wrap("fleet.List", Unavailable, err, "the platform's list is unreadable")
	}
	d.tag = answer.Header(tagHeader)
	members := make([]Member, 0, len(wire.Members))
	for _, w := range wire.Members {
		members = append(members, MemberFromWire(w))
	}
	return members, nil
}

// MemberFromWire converts the JSON form.
func MemberFromWire(w MemberWire) Member {
	return Member{
		Name: w.Name, Kind: MemberKind(w.Kind), Service: ident.Service(w.Service), Zone: ident.Zone(w.Zone),
		Address: ident.Address(w.Address), Peer: ident.Address(w.Peer), Admin: ident.Address(w.Admin), State: MemberState(w.State),
	}
}

// MemberToWire converts to the JSON form.
func MemberToWire(m Member) MemberWire {
	return MemberWire{
		Name: m.Name, Kind: string(m.Kind), Service: string(m.Service), Zone: string(m.Zone),
		Address: string(m.Address), Peer: string(m.Peer), Admin: string(m.Admin), State: string(m.State),
	}
}
