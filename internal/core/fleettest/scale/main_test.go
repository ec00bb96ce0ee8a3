package scale_test

import (
	"testing"

	"github.com/ebonydyke/ebonydyke/internal/core/fleettest"
)

func TestMain(m *testing.M) { fleettest.Main(m) }
