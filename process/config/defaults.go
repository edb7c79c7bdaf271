package config

import "time"

// Default values.
const (
	DefaultLiveShare    = 0.5
	DefaultObjective    = ObjectiveTime
	DefaultDeadline     = 30 * time.Second
	DefaultKeyRetention = time.Hour
	DefaultRetryShare   = 0.1
	DefaultFencing      = FencingIgnored
	DefaultShare        = 1
)

// newConfig returns a configuration with the default values.
func newConfig() *Config {
	c := &Config{}
	c.Links.LiveShare = DefaultLiveShare
	c.Weights.Objective = DefaultObjective
	c.Requests.DefaultDeadline = DefaultDeadline
	c.Requests.KeyRetention = DefaultKeyRetention
	c.Requests.RetryShare = DefaultRetryShare
	return c
}

// setMapValueDefaults sets the defaults of a map value before its keys are
// decoded into it.
func setMapValueDefaults(value any) {
	if account, ok := value.(*Account); ok {
		account.Share = DefaultShare
	}
}

// setServiceDefaults sets the defaults that depend on the kind of a service.
func (c *Config) setServiceDefaults() {
	for name, s := range c.Services {
		if s.Kind == ServiceEngine && s.Fencing == "" {
			s.Fencing = DefaultFencing
			c.Services[name] = s
		}
	}
}
