package batch

import (
	"testing"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/paths"
	"croftmoor.dev/kernel/terms"
)

// dueWithin returns the terms of a job whose route has that deadline.
func dueWithin(deadline clock.Millis) terms.Terms {
	route := paths.Route{Shares: []paths.Share{{Service: "s", Weight: 1}}, JobDeadline: deadline}
	return terms.Of(jobs.Accept{}, paths.NewTable(1, []paths.Route{route}, nil, paths.Limits{}))
}

func TestPatient(t *testing.T) {
	const due = 7500 * clock.Millis(1)
	for _, c := range []struct {
		name   string
		expect ident.Tokens
		age    clock.Millis
		change func(*snapshot, *jobs.Job)
		want   bool
	}{
		{"a short item of a job that has just come", 1300, 0, nil, true},
		{"a short item of a job that is nearly due", 1300, 4 * clock.Second, nil, false},
		{"an item that may take until the job is due", 7000, 0, nil, false},
		{"a job without a time to be done by", 1300, 0, func(s *snapshot, _ *jobs.Job) { s.terms["j"] = dueWithin(0) }, false},
		{"a job of unknown age", 1300, 0, func(_ *snapshot, j *jobs.Job) { j.FromBacklog = true }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &snapshot{now: 100 * clock.Second, terms: map[ident.Job]terms.Terms{"j": dueWithin(due)}, medianPace: 38}
			job := &jobs.Job{Accept: jobs.Accept{Job: "j"}, SeenAt: s.now - c.age}
			if c.change != nil {
				c.change(s, job)
			}
			item := &jobs.Item{ItemSpec: jobs.ItemSpec{Expect: c.expect}}
			if got := s.deferrable(job, item); got != c.want {
				t.Errorf("deferrable: %v, want %v", got, c.want)
			}
		})
	}
}

// The timing learnt about an engine must not depend on its other load.
func TestSpeedIsOfAnEmptyEngine(t *testing.T) {
	beside := jobs.Load{Items: 10, Expect: 20000}
	m := &meter{events: 101, firstAt: 1000, lastAt: 1000 + clock.Millis(3600*deal.Slowdown(beside))}
	m.sampleLoad(beside)
	if got := m.timing("e"); got.Events != 100 || got.Millis < 3598 || got.Millis > 3601 {
		t.Errorf("timing %+v, want 100 events in 3,600 ms", got)
	}
}
