package main

import "fmt"

type object = map[string]any

// smallConfig returns a configuration with one plain service and n idle routes.
func smallConfig(version int) object {
	return object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "host": "a.example", "pathPrefix": fmt.Sprintf("/v%d/", version), "type": "safe", "timeoutMs": 800, "latencyTargetMs": 150,
			"priority": 2, "service": "casebook", "maxAttempts": 2, "public": true, "sticky": false, "resumable": false,
		}},
		"services": []object{{"name": "casebook", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{},
	}
}
