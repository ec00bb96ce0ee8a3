package settings

import "encoding/json"

// ZoneRegions maps availability zones to their regions. It keeps what can be read: a region that is no text is not known, so that
// an instance starts whatever the platform fills in. Requests that name regions go to no zone whose region is not known.
type ZoneRegions map[string]string

// UnmarshalValue implements jsonc.ValueUnmarshaler. A value that is no object leaves all regions unknown.
func (z *ZoneRegions) UnmarshalValue(text []byte) error {
	var entries map[string]any
	if err := json.Unmarshal(text, &entries); err != nil {
		entries = nil
	}
	*z = make(ZoneRegions, len(entries))
	for zone, value := range entries {
		region, _ := value.(string)
		(*z)[zone] = region
	}
	return nil
}
