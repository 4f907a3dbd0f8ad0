package batch

import (
	"slices"

	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/deal"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/jobs"
	"croftmoor.dev/kernel/terms"
)

// absenceTerm is how long a service must have had no engine that may get items before they go to
// another one of their route: an engine that restarts, or is avoided once, is back by then.
const absenceTerm = 1 * clock.Second

// serviceJob is a service and a job that it may run.
type serviceJob struct {
	service ident.Service
	job     ident.Job
}

// serviceOf returns the service at which an item should run now.
func (s *snapshot) serviceOf(job *jobs.Job, item *jobs.Item) ident.Service {
	of, known := s.terms[job.Job]
	if !known {
		of = terms.Of(job.Accept, s.table)
	}
	return of.Service(item.ItemSpec, s.now-job.SeenAt, func(service ident.Service) terms.Ability { return s.ability(service, job) })
}

// ability returns what a service can do for a job's items now.
func (s *snapshot) ability(service ident.Service, job *jobs.Job) terms.Ability {
	key := serviceJob{service: service, job: job.Job}
	if known, ok := s.abilities[key]; ok {
		return known
	}
	ability := terms.Absent
	if s.serving[service] && (job.Model == "" || slices.Contains(s.table.Services[service].Models, job.Model)) {
		ability = terms.Busy
	}
	demand := deal.Demand{Job: job.Job, Service: service}
	if s.hasRoom(func(e deal.Engine) bool { return s.fits(e.Name, demand) != deal.Unfit }, 0) {
		ability = terms.Free
	}
	s.abilities[key] = ability
	return ability
}

// noteServing returns the services that have, or had within absenceTerm, an engine that may get
// items. The caller holds mu.
func (r *Runner) noteServing(s *snapshot) map[ident.Service]bool {
	for _, service := range s.services {
		r.servedAt[service] = s.now
	}
	serving := map[ident.Service]bool{}
	for service, at := range r.servedAt {
		if s.now-at < absenceTerm {
			serving[service] = true
		} else {
			delete(r.servedAt, service)
		}
	}
	return serving
}

// describeService names the service of an item, and the one that it prefers if that is another.
func (s *snapshot) describeService(item deal.RankedItem) string {
	of := s.terms[item.Job]
	if preferred := of.Preferred(s.item(item).ItemSpec); preferred != item.Service {
		return string(item.Service) + " in place of " + string(preferred)
	}
	return string(item.Service)
}
