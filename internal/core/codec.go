package core

import (
	"encoding/json"
	"fmt"
	"reflect"
	"time"
)

// eventTypes holds a value of each event type. Session files are decoded by it.
var eventTypes = []Event{
	RequestArrived{}, AttemptEnded{}, AttemptSilent{}, AnswerStarted{}, CallerGone{},
	InstancesListed{}, BackendReported{}, ConfigOffered{}, StoreReplied{},
	BackendsRead{}, StreamsListed{}, LeaseReplied{}, BackendDialed{},
	PeerConnected{}, PeerLost{}, PeerReceived{}, StopGraceSet{}, StopRequested{}, Ticked{},
}

var eventsByName = func() map[string]reflect.Type {
	m := make(map[string]reflect.Type, len(eventTypes))
	for _, e := range eventTypes {
		m[e.EventName()] = reflect.TypeOf(e)
	}
	return m
}()

// sessionLine is the stable JSON encoding of an event or effect in a session file.
type sessionLine struct {
	At     time.Time       `json:"at,omitzero"`
	Event  string          `json:"event,omitempty"`
	Effect string          `json:"effect,omitempty"`
	Data   json.RawMessage `json:"data,omitempty"`
}

// EncodeEvent encodes an event as a line of a session file.
func EncodeEvent(at time.Time, e Event) ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("core: encode %s: %w", e.EventName(), err)
	}
	return json.Marshal(sessionLine{At: at, Event: e.EventName(), Data: data})
}

// EncodeEffect encodes an effect as a line of a session file.
func EncodeEffect(e Effect) ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("core: encode %s: %w", e.EffectName(), err)
	}
	return json.Marshal(sessionLine{Effect: e.EffectName(), Data: data})
}

// DecodeEvent decodes a line written by EncodeEvent.
func DecodeEvent(text []byte) (time.Time, Event, error) {
	var l sessionLine
	if err := json.Unmarshal(text, &l); err != nil {
		return time.Time{}, nil, fmt.Errorf("core: decode session line: %w", err)
	}
	t, ok := eventsByName[l.Event]
	if !ok {
		return time.Time{}, nil, fmt.Errorf("core: unknown event %q", l.Event)
	}
	value := reflect.New(t)
	if len(l.Data) > 0 {
		if err := json.Unmarshal(l.Data, value.Interface()); err != nil {
			return time.Time{}, nil, fmt.Errorf("core: decode event %s: %w", l.Event, err)
		}
	}
	return l.At, value.Elem().Interface().(Event), nil
}
