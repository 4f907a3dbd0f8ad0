package client

import "encoding/json"

// The types below are the JSON forms of the administration API.

// Team is a team's file in force.
type Team struct {
	Team     string
	Revision int64
	By       string
	Text     json.RawMessage
}

// Change is a file to apply. Base is the revision that it was edited from.
type Change struct {
	ID     string
	Base   int64
	By     string
	DryRun bool
	Text   json.RawMessage
}

// Verdict is the outcome of a change.
type Verdict struct {
	ID       string
	Team     string
	Revision int64
	At       int64
	By       string
	Outcome  string
	Reason   string
}

// Decision is one logged decision about a request, sample or step.
type Decision struct {
	At       int64
	ID       string
	Action   string
	Choice   string
	RunnerUp string
	Reason   string
}

// Status is an instance's status.
type Status struct {
	Instance         string
	Zone             string
	NotReady         string
	Revision         int64
	UpTo             int64
	LogSilenceMillis int64
	InFlight         int64
	ShardsLed        int
	ShardsBackedUp   int
	RememberedIDs    int
	Entries          []Entry
	Backends         []Backend
	Steps            []Step
}

// Entry is an entry instance on the platform's list.
type Entry struct {
	Name  string
	Zone  string
	Admin string
	State string
}

// Backend is a backend server as an instance sees it.
type Backend struct {
	Name           string
	Service        string
	Zone           string
	State          string
	InFlight       int
	BelievedLoad   int
	ReportedLoad   int
	ReportAtMillis int64
	Versions       []Version
}

// Version is the version of a trainer's weights.
type Version struct {
	Trainer string
	Version int64
}

// Step is one open step of a trainer.
type Step struct {
	Trainer string
	Step    int64
	Newest  int64
	Missing int
	Running int
	Ready   int
	Held    int
	Stale   int
}
