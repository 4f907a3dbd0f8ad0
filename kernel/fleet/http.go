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

// httpDirectory reads the list as JSON over HTTP, with conditional requests that avoid
// transferring an unchanged list. It must be used by one goroutine at a time.
type httpDirectory struct {
	address ident.Address
	client  httpc.Client
	etag    string
}

// Header fields of conditional requests.
const (
	etagHeader        = "Etag"
	ifNoneMatchHeader = "If-None-Match"
)

// ListWire is the JSON form of the member list.
type ListWire struct {
	Members []MemberWire
}

// MemberWire is the JSON form of a member; the field names are the JSON names.
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

// Connect sets the address of the list.
func (d *httpDirectory) Connect(address ident.Address) {
	d.address = address
}

// List reads the member list.
func (d *httpDirectory) List(ctx context.Context) ([]Member, error) {
	call := &httpc.Call{Address: d.address, Method: http.MethodGet, Path: "/members"}
	if d.etag != "" {
		call.Headers = []httpc.Header{{Name: ifNoneMatchHeader, Value: d.etag}}
	}
	answer, err := d.client.Do(ctx, call)
	if err != nil {
		return nil, fault.Wrap("fleet.List", Unavailable, err, "could not read the platform's member list")
	}
	if answer.Status == http.StatusNotModified {
		return nil, fault.New("fleet.List", Unchanged, "the member list has not changed")
	}
	var wire ListWire
	if answer.Status != http.StatusOK {
		return nil, fault.Wrap("fleet.List", Unavailable, httpc.StatusError(call, answer), "the platform refused the request for the member list")
	}
	if err := json.Unmarshal(answer.Body, &wire); err != nil {
		return nil, fault.Wrap("fleet.List", Unavailable, err, "the platform's member list is not valid JSON")
	}
	d.etag = answer.Header(etagHeader)
	members := make([]Member, 0, len(wire.Members))
	for _, w := range wire.Members {
		members = append(members, MemberFromWire(w))
	}
	return members, nil
}

// MemberFromWire converts a member from its JSON form.
func MemberFromWire(w MemberWire) Member {
	return Member{
		Name: w.Name, Kind: MemberKind(w.Kind), Service: ident.Service(w.Service), Zone: ident.Zone(w.Zone),
		Address: ident.Address(w.Address), Peer: ident.Address(w.Peer), Admin: ident.Address(w.Admin), State: MemberState(w.State),
	}
}

// MemberToWire converts a member to its JSON form.
func MemberToWire(m Member) MemberWire {
	return MemberWire{
		Name: m.Name, Kind: string(m.Kind), Service: string(m.Service), Zone: string(m.Zone),
		Address: string(m.Address), Peer: string(m.Peer), Admin: string(m.Admin), State: string(m.State),
	}
}
