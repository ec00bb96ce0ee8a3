package main

import (
	"fmt"
	"time"
)

// replicaSpec describes a replica: who it is, and how it runs.
type replicaSpec struct {
	id, service, zone, address, version string
	args                                []string
}

// replicaProcess is a replica's process.
type replicaProcess struct {
	*process
	spec replicaSpec
	up   chan struct{}
}

// startReplica starts a replica and returns once it serves and has written its entry.
func (w *world) startReplica(s replicaSpec) (*replicaProcess, error) {
	r := &replicaProcess{spec: s, up: make(chan struct{})}
	args := append([]string{
		binaries + "kit2", "replica", "--id", s.id, "--service", s.service, "--zone", s.zone, "--address", s.address,
		"--version", s.version, "--store", w.store,
	}, s.args...)
	var err error
	r.process, err = w.start("replica-"+s.id, nil, func(line string) {
		w.record(s.id, "%s", line)
		if w.onLine != nil {
			w.onLine(line)
		}
		if field(line, "id") == s.id && line[:2] == "up" {
			close(r.up)
		}
	}, args...)
	if err != nil {
		return nil, err
	}
	select {
	case <-r.up:
	case <-r.done:
		return nil, fmt.Errorf("replica %s ended", s.id)
	case <-time.After(readyTime):
		return nil, fmt.Errorf("replica %s: not up", s.id)
	}
	w.mu.Lock()
	w.replicas[s.id] = r
	w.mu.Unlock()
	return r, nil
}

// crash kills a replica. Its entry is removed after three intervals of silence unless it is back by then, as the platform does.
func (w *world) crash(r *replicaProcess) {
	w.record("driver", "SIGKILL to replica %s (%s)", r.spec.id, r.spec.version)
	r.kill()
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		same := w.replicas[r.spec.id] == r
		w.mu.Unlock()
		if same {
			w.record("store", "removes the entry of %s", r.spec.id)
			_ = w.remove("servers/" + r.spec.id)
		}
	})
}

// route returns a route of the operators' configuration.
func route(name, prefix, kind, service string, attempts int, timeout time.Duration, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": prefix, "routeKind": kind, "timeoutMs": timeout.Milliseconds(), "latencyGoalMs": 300,
		"priority": 1, "service": service, "maxAttempts": attempts, "anonymous": false, "sticky": kind == "streaming", "resumable": resumable,
	}
	if kind == "streaming" {
		r["gapGoalMs"] = 250
	}
	return r
}

// config returns an operators' configuration.
func config(version int, services []any, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// service returns a service of the operators' configuration; one of model replicas if engine is set.
func service(name string, engine bool) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false}
	if engine {
		s["engine"] = map[string]any{"slots": 64, "kvCapacity": 557231, "kvTokenBytes": 163840, "models": []any{map[string]any{"name": "m"}}}
	}
	return s
}
