package config

import "time"

// Defaults of values that no file gives.
const (
	DefaultLiveShare    = 0.5
	DefaultObjective    = ObjectiveTime
	DefaultDeadline     = 30 * time.Second
	DefaultKeyRetention = time.Hour
	DefaultRetryShare   = 0.1
	DefaultFencing      = FencingIgnored
	DefaultShare        = 1
)

// newConfig returns a configuration that holds the defaults.
func newConfig() *Config {
	c := &Config{}
	c.Links.LiveShare = DefaultLiveShare
	c.Weights.Objective = DefaultObjective
	c.Requests.DefaultDeadline = DefaultDeadline
	c.Requests.KeyRetention = DefaultKeyRetention
	c.Requests.RetryShare = DefaultRetryShare
	return c
}

// setEntryDefaults fills in the defaults of a map's entry before its keys are
// decoded over them.
func setEntryDefaults(entry any) {
	if account, ok := entry.(*Account); ok {
		account.Share = DefaultShare
	}
}

// setServiceDefaults fills in what depends on the kind of each service.
func (c *Config) setServiceDefaults() {
	for name, s := range c.Services {
		if s.Kind == ServiceEngine && s.Fencing == "" {
			s.Fencing = DefaultFencing
			c.Services[name] = s
		}
	}
}
