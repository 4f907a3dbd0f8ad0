package fold

import (
	"fmt"
	"strings"
	"testing"

	"croftmoor.dev/kernel/conf"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/tail"
)

// fileOf returns the configuration file of a team with ten services and ten trainers.
func fileOf(team string) []byte {
	var services, trainers []string
	for i := range 10 {
		services = append(services, fmt.Sprintf(`{"Name":"%s-s%d","Kind":"Model"}`, team, i))
		trainers = append(trainers, fmt.Sprintf(`{"Name":"%s-t%d","Service":"%s-s%d"}`, team, i, team, i))
	}
	return []byte(fmt.Sprintf(`{"Team":"%s","Services":[%s],"Trainers":[%s]}`, team, strings.Join(services, ","), strings.Join(trainers, ",")))
}

// readerOf returns a reader that has applied the files of the given number of teams.
func readerOf(b *testing.B, teams int) *Reader {
	b.Helper()
	r := &Reader{}
	for i := range teams {
		r.Apply(batchOf(b, ident.Offset(i+1), fmt.Sprint("team", i), 0))
	}
	return r
}

func batchOf(b *testing.B, offset ident.Offset, team string, base ident.Revision) tail.Batch {
	b.Helper()
	data, err := ChangeRecord(conf.Change{ID: ident.RecordID(fmt.Sprint(offset)), Team: ident.Team(team), Base: base, Text: fileOf(team)})
	if err != nil {
		b.Fatal(err)
	}
	return tail.Batch{First: 1, Next: offset + 1, Records: []tail.Record{{Offset: offset, Data: data}}}
}

func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("of-%d-teams", teams), func(b *testing.B) {
			r := readerOf(b, teams)
			offset := ident.Offset(teams + 1)
			base := r.Current().Conf.Teams["team0"].Revision
			b.ReportAllocs()
			for b.Loop() {
				r.Apply(batchOf(b, offset, "team0", base))
				base = r.Current().Conf.Teams["team0"].Revision
				offset++
			}
		})
	}
}

func BenchmarkCheckpoint(b *testing.B) {
	for _, teams := range []int{1, 10, 50} {
		b.Run(fmt.Sprintf("of-%d-teams", teams), func(b *testing.B) {
			state := readerOf(b, teams).Current()
			var size int
			for b.Loop() {
				data, err := CheckpointRecord(state)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/checkpoint")
		})
	}
}
