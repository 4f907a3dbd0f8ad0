package work

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/httpc"
	"croftmoor.dev/kernel/ident"
)

// itemPack is the stored form of an item: a msgpack array. New fields may only be
// appended.
type itemPack struct {
	ID      string
	Group   string
	Expect  int32
	Host    string
	Path    string
	Headers []headerPack
	Body    []byte
	Reward  *rewardPack
}

type headerPack struct {
	Name  string
	Value string
}

type rewardPack struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Encode returns the stored form of an item.
func Encode(item Item) ([]byte, error) {
	pack := itemPack{
		ID: string(item.ID), Group: string(item.Group), Expect: int32(item.Expect),
		Host: item.Host, Path: item.Path, Body: item.Body,
	}
	for _, h := range item.Headers {
		pack.Headers = append(pack.Headers, headerPack(h))
	}
	if r := item.Reward; r != nil {
		pack.Reward = &rewardPack{ID: string(r.ID), Host: r.Host, Path: r.Path, Body: r.Body}
	}
	var out bytes.Buffer
	encoder := msgpack.NewEncoder(&out)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&pack); err != nil {
		return nil, fault.Wrap("work.Encode", Corrupt, err, "cannot encode item "+string(item.ID))
	}
	return out.Bytes(), nil
}

// Decode parses what Encode returned. Its error text appears in decision lines, which
// operators' tools parse.
func Decode(data []byte) (Item, error) {
	var pack itemPack
	if err := msgpack.Unmarshal(data, &pack); err != nil {
		return Item{}, fault.Wrap("work.Decode", Corrupt, err, "the kept item is unreadable")
	}
	item := Item{
		ID: ident.Item(pack.ID), Group: ident.Group(pack.Group), Expect: ident.Tokens(pack.Expect),
		Host: pack.Host, Path: pack.Path, Body: pack.Body,
	}
	for _, h := range pack.Headers {
		item.Headers = append(item.Headers, httpc.Header(h))
	}
	if r := pack.Reward; r != nil {
		item.Reward = &Reward{ID: ident.RequestID(r.ID), Host: r.Host, Path: r.Path, Body: r.Body}
	}
	return item, nil
}
