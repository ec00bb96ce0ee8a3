package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ebonydyke/ebonydyke/internal/core/poison"
	"github.com/ebonydyke/ebonydyke/internal/store"
)

// Guards against a stored record whose ages or counts block a request for ever, or overflow.
func TestNumbersOfStoredPoisonRecordsAreBounded(t *testing.T) {
	numbers := []string{"0", "-1", "2147483648", "4611686018427387904", "9223372036854775807", "-9223372036854775808", "-9000000000000000000"}
	for _, age := range numbers {
		for _, count := range numbers {
			value := fmt.Sprintf(`{"key":7,"position":%[2]s,"trials":%[2]s,"change_age":%[1]s,"use_age":%[1]s,"proofs":[{"software":"v1","age":%[1]s}],
 "ends":[{"name":"a","age":%[1]s},{"name":"b","age":%[1]s},{"name":"c","age":%[1]s}]}`, age, count)
			records := appendPoison(nil, store.Item{Key: "servers-ended/7/a", Value: []byte(value)})
			require.Len(t, records, 1, value)
			now := time.Unix(1_800_000_000, 0)
			tracker := poison.NewTracker()
			tracker.Merge(records[0], now)
			tracker.Expire(now.Add(24 * time.Hour))
			require.Zero(t, tracker.Len(), value)
			tracker.Merge(records[0], now)
			tracker.Trial(7, now)
			require.NotPanics(t, func() { tracker.TrialDue(7) }, value)
			require.LessOrEqual(t, records[0].Position, poison.MaxCount, value)
		}
	}
}
