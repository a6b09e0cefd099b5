package intake

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// replay applies the steps of a script to a Ledger and returns what it decided. A step is
// a time in ms, an operation, the name of a connection and a number of bytes.
func replay(t *testing.T, limits Limits, script string) string {
	t.Helper()
	ledger := NewLedger(limits)
	entries := make(map[string]*Entry)
	name := func(wanted *Entry) string {
		for name, entry := range entries {
			if wanted != nil && entry == wanted {
				return name
			}
		}
		return "none"
	}
	start := time.Unix(0, 0)
	var trace strings.Builder
	for step := range strings.Lines(script) {
		fields := strings.Fields(step)
		ms, err := strconv.Atoi(fields[0])
		assert.NilError(t, err)
		now := start.Add(time.Duration(ms) * time.Millisecond)
		operation, id := fields[1], fields[2]
		bytes := 0
		if len(fields) > 3 {
			bytes, err = strconv.Atoi(fields[3])
			assert.NilError(t, err)
		}
		entry := entries[id]
		fmt.Fprint(&trace, strings.Join(fields, " "))
		switch operation {
		case "open":
			opened, victim, wait := ledger.Open(now)
			fmt.Fprintf(&trace, ": admitted %t, closes %s, waits %s", opened != nil, name(victim), wait)
			entries[id] = opened
		case "read":
			ledger.Read(now, entry)
		case "small", "large":
			verdict, victims := ledger.Reserve(now, entry, int64(bytes), operation == "large")
			fmt.Fprintf(&trace, ": %s", []string{"granted", "pending", "refused"}[verdict])
			for _, victim := range victims {
				fmt.Fprintf(&trace, ", ends %s", name(victim))
			}
		case "progress":
			ledger.Progress(now, entry, bytes)
		case "serve":
			ledger.Serve(now, entry)
		case "hold":
			fmt.Fprintf(&trace, ": %t", ledger.HoldJob(entry, int64(bytes)))
		case "release":
			ledger.ReleaseBody(entry)
			ledger.ReleaseJob(entry)
		case "close":
			ledger.Close(entry)
		default:
			t.Fatalf("unknown operation %q", operation)
		}
		usage := ledger.Usage()
		fmt.Fprintf(&trace, " [%d open, %d small, %d large, %d jobs]\n",
			usage.Connections, usage.SmallBodyBytes, usage.LargeBodyBytes, usage.JobBytes)
	}
	return trace.String()
}

// Each script is a load by which a process ran out of memory or descriptors, or by which
// a limit would turn away the wrong client.
func TestLedgerDecisions(t *testing.T) {
	limits := Limits{
		Connections:     3,
		ConnectionStall: 250 * time.Millisecond,
		SmallBodyBytes:  1000,
		LargeBodyBytes:  100_000,
		JobBytes:        100_000,
	}
	for _, test := range []struct {
		name, script string
	}{
		{"idle connections give way to new ones", `0 open a
			1 open b
			2 serve a
			3 open c
			4 open d
			251 open d
			252 serve c
			253 serve d
			254 open e
			255 close a
			256 open e`},
		{"stalled bodies give way to new ones", `0 open a
			0 read a
			0 large a 60000
			0 progress a 60000
			100 open b
			100 read b
			100 large b 30000
			100 progress b 30000
			200 open c
			200 read c
			200 large c 60000
			300 large c 60000
			301 large a 10
			302 release a
			303 large c 60000`},
		{"single bytes are no progress", `0 open a
			0 read a
			0 large a 60000
			0 progress a 2000
			100 open b
			100 read b
			100 large b 30000
			100 progress b 2000
			200 progress a 1
			300 progress a 1
			380 open c
			380 read c
			380 large c 60000`},
		{"large bodies leave the reserve for small ones", `0 open a
			0 read a
			0 small a 800
			0 large a 90000
			1 open b
			1 read b
			1 small b 900
			2 release b
			2 serve b
			2 open c
			2 read c
			2 large c 90000`},
		{"large jobs leave a reserve for small ones", `0 open a
			0 hold a 70000
			1 open b
			1 hold b 40000
			2 hold b 1000
			3 hold b 20000
			4 release a
			5 hold b 40000`},
		{"a body beyond the whole budget ends no others", `0 open a
			0 read a
			0 large a 60000
			900 open b
			900 read b
			900 large b 200000`},
	} {
		t.Run(test.name, func(t *testing.T) {
			golden.Assert(t, replay(t, limits, test.script), strings.ReplaceAll(test.name, " ", "-")+".golden")
		})
	}
}

// Whatever clients do, no limit is exceeded and all that is held is released with them.
func TestLedgerKeepsItsLimits(t *testing.T) {
	limits := Limits{
		Connections:    20,
		SmallBodyBytes: 20_000,
		LargeBodyBytes: 200_000,
		JobBytes:       50_000,
	}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 31))
		ledger := NewLedger(limits)
		var entries []*Entry
		now := time.Unix(0, 0)
		for range 2000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			if opened, _, _ := ledger.Open(now); opened != nil {
				entries = append(entries, opened)
			}
			entry := entries[random.IntN(len(entries))]
			switch random.IntN(7) {
			case 0:
				ledger.Read(now, entry)
			case 1:
				ledger.Reserve(now, entry, random.Int64N(40_000), random.IntN(2) == 0)
			case 2:
				ledger.Progress(now, entry, random.IntN(2000))
			case 3:
				ledger.Serve(now, entry)
			case 4:
				ledger.HoldJob(entry, random.Int64N(5000))
			case 5:
				ledger.ReleaseBody(entry)
				ledger.ReleaseJob(entry)
			case 6:
				ledger.Close(entry)
			}
			usage := ledger.Usage()
			assert.Assert(t, usage.Connections >= 0 && usage.Connections <= limits.Connections, "seed %d: %+v", seed, usage)
			assert.Assert(t, usage.SmallBodyBytes >= 0 && usage.SmallBodyBytes <= limits.SmallBodyBytes, "seed %d: %+v", seed, usage)
			assert.Assert(t, usage.LargeBodyBytes >= 0 && usage.LargeBodyBytes <= limits.LargeBodyBytes, "seed %d: %+v", seed, usage)
			assert.Assert(t, usage.JobBytes >= 0 && usage.JobBytes <= limits.JobBytes, "seed %d: %+v", seed, usage)
		}
		for _, entry := range slices.Compact(entries) {
			ledger.ReleaseBody(entry)
			ledger.ReleaseJob(entry)
			ledger.Close(entry)
		}
		assert.Equal(t, ledger.Usage(), Usage{})
		assert.Equal(t, ledger.small.leaving+ledger.large.leaving, int64(0))
	}
}

// The parts that Derive gives out must leave half of the memory and of the sockets to the
// process itself, on the smallest and largest VMs of the deployments, and settings without
// limits must limit nothing.
func TestDeriveLeavesHalf(t *testing.T) {
	assert.Equal(t, Derive(0, 0), Limits{})
	for _, vm := range []struct {
		memoryMb    int64
		descriptors int
	}{{64, 500}, {144, 3075}, {160, 4100}, {284, 4100}, {424, 10_250}, {536, 8192}} {
		limits := Derive(vm.memoryMb<<20, vm.descriptors)
		held := int64(limits.Connections*connectionMemory) + limits.SmallBodyBytes + limits.LargeBodyBytes + limits.JobBytes
		assert.Assert(t, held <= vm.memoryMb<<19, "%+v: %+v", vm, limits)
		assert.Assert(t, limits.Connections+2*limits.OperatorConnections <= (vm.descriptors-reservedFiles)*3/4, "%+v: %+v", vm, limits)
		assert.Assert(t, limits.LargeBodyBytes >= minLargeBodies, "%+v: %+v", vm, limits)
	}
}
