// Package serve implements one entry instance: it reads the settings, and builds, runs and
// shuts down the instance's components.
package serve

import (
	"os"

	"github.com/rs/zerolog"

	"croftmoor.dev/croftmoor/admin"
	"croftmoor.dev/croftmoor/engine"
	"croftmoor.dev/kernel/clock"
	"croftmoor.dev/kernel/fault"
	"croftmoor.dev/kernel/fleet"
	"croftmoor.dev/kernel/ident"
	"croftmoor.dev/kernel/strict"
	"croftmoor.dev/kernel/tail"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Settings means that the settings file cannot be read or is invalid.
	Settings Kind = "Settings"
	// Startup means that the instance could not start.
	Startup Kind = "Startup"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Platform is the connection to one of the platform's services. Kind selects the client.
type Platform struct {
	Kind    string
	Address ident.Address
}

// Config is an instance's settings. Callers, Peers and Admin are listen addresses; Weights
// is the address of the weight store, empty if there is none; Engines is the name of the
// engine protocol.
type Config struct {
	Instance string
	Zone     ident.Zone
	Callers  string
	Peers    string
	Admin    string
	Log      Platform
	List     Platform
	Weights  ident.Address
	Engines  string
	// ZoneLatency is the one-way latency to another availability zone.
	ZoneLatency clock.Millis
	// CheckpointInterval is the time between checkpoints of the shared state, before jitter.
	CheckpointInterval clock.Millis
	// RepeatWindow is how long ids of unrepeatable calls are remembered.
	RepeatWindow clock.Millis
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout clock.Millis
	// ListPeriod and LoadPeriod are the intervals between reads of the platform's list and
	// of load reports.
	ListPeriod clock.Millis
	LoadPeriod clock.Millis
	// Subset is how many backend servers of a service the instance uses.
	Subset   int
	LogLevel string
	// SampleAbove is the number of decisions per second above which the log samples them.
	SampleAbove int64
	Operators   []admin.Operator
}

// Bounds and defaults of the settings; times are in milliseconds.
const (
	defaultZoneLatency        = 1
	defaultCheckpointInterval = int64(clock.Minute)
	defaultRepeatWindow       = int64(2 * clock.Minute)
	defaultDrainTimeout       = int64(30 * clock.Second)
	defaultListPeriod         = 500
	defaultLoadPeriod         = 250
	defaultSubset             = 32
	defaultSampleAbove        = 1000
	hourMillis                = int64(60 * clock.Minute)
	maxSubset                 = 10_000
	maxSampleAbove            = 1_000_000
	tokenHashLength           = 64
)

// ReadSettings reads and checks a settings file.
func ReadSettings(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap("serve.ReadSettings", Settings, err, "cannot read the settings file "+path)
	}
	config, err := ParseSettings(data)
	if err != nil {
		return nil, fault.Wrap("serve.ReadSettings", Settings, err, path)
	}
	return config, nil
}

// ParseSettings parses settings and fills in defaults. One error lists all invalid fields.
func ParseSettings(data []byte) (*Config, error) {
	problems, root, err := strict.Parse(data)
	if err != nil {
		return nil, err
	}
	listen := root.Object("Listen")
	platform := root.Object("Platform")
	c := &Config{
		Instance:           root.String("Instance", true),
		Zone:               ident.Zone(root.String("Zone", true)),
		Callers:            listen.String("Callers", true),
		Peers:              listen.String("Peers", true),
		Admin:              listen.String("Admin", true),
		Log:                parsePlatform(platform.Object("Log"), tail.Clients.Names()),
		List:               parsePlatform(platform.Object("List"), fleet.Directories.Names()),
		Weights:            ident.Address(platform.String("Weights", false)),
		Engines:            root.Choice("EngineProtocol", "Sse", engine.Protocols.Names()...),
		ZoneLatency:        clock.Millis(root.Int("CrossingMillis", defaultZoneLatency, 0, hourMillis)),
		CheckpointInterval: clock.Millis(root.Int("CheckpointMillis", defaultCheckpointInterval, 100, hourMillis)),
		RepeatWindow:       clock.Millis(root.Int("RepeatWindowMillis", defaultRepeatWindow, 1000, hourMillis)),
		DrainTimeout:       clock.Millis(root.Int("DrainMillis", defaultDrainTimeout, 0, hourMillis)),
		ListPeriod:         clock.Millis(root.Int("ListPeriodMillis", defaultListPeriod, 50, hourMillis)),
		LoadPeriod:         clock.Millis(root.Int("LoadPeriodMillis", defaultLoadPeriod, 50, hourMillis)),
		Subset:             int(root.Int("Subset", defaultSubset, 1, maxSubset)),
		LogLevel:           root.Choice("LogLevel", zerolog.LevelInfoValue, zerolog.LevelDebugValue, zerolog.LevelInfoValue, zerolog.LevelWarnValue, zerolog.LevelErrorValue),
		SampleAbove:        root.Int("DecisionsPerSecond", defaultSampleAbove, 0, maxSampleAbove),
	}
	for _, o := range root.Objects("Operators") {
		c.Operators = append(c.Operators, parseOperator(problems, o))
	}
	listen.RefuseUnknown()
	platform.RefuseUnknown()
	root.RefuseUnknown()
	return c, problems.Err("serve.ParseSettings")
}

func parsePlatform(o *strict.Object, kinds []string) Platform {
	p := Platform{Kind: o.Choice("Kind", "Http", kinds...), Address: ident.Address(o.String("Address", true))}
	o.RefuseUnknown()
	return p
}

func parseOperator(problems *strict.Problems, o *strict.Object) admin.Operator {
	operator := admin.Operator{Name: o.String("Name", true), TokenHash: o.String("TokenSha256", true)}
	if operator.TokenHash != "" && len(operator.TokenHash) != tokenHashLength {
		problems.Add(o.Path("TokenSha256"), "of the wrong length", "64 hexadecimal digits")
	}
	for _, team := range o.Strings("Teams") {
		operator.Teams = append(operator.Teams, ident.Team(team))
	}
	o.RefuseUnknown()
	return operator
}
