package capacity

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosetally/primrosetally/internal/coordination/claims"
	"github.com/primrosetally/primrosetally/internal/coordination/swarm"
	"github.com/primrosetally/primrosetally/internal/measure/spread"
	"github.com/primrosetally/primrosetally/internal/protocol/nodev1"
	"github.com/primrosetally/primrosetally/internal/state/digest"
	"github.com/primrosetally/primrosetally/internal/state/model"
)

// Parameters of the counted runs.
const (
	spreadLoss    = 0.01
	spreadSeeds   = 3
	spreadSteady  = time.Minute
	leaseContends = 2   // entries for each rollout, rollout.Leaders
	leaseStep     = 2.0 // seconds between two steps of a contender
	suspectReads  = 100 // a second, by all entries together
	announceEach  = 1.0 // seconds between two announcements of one agent
	rolloutWait   = 60  // seconds that an agent waits for its order, on average
)

func counted(ctx context.Context) []Row {
	rows := controlRows()
	rows = append(rows, claimRows(ctx)...)
	rows = append(rows, tableRows()...)
	rows = append(rows, manifestRow(), chunkMapRow(), announceRow())
	return rows
}

// controlRows runs the spread of the configuration at the target size.
func controlRows() []Row {
	result := spread.Run(spread.Options{
		Sizes:      []spread.Size{spread.SizeTarget},
		Losses:     []float64{spreadLoss},
		Seeds:      spreadSeeds,
		BurstSeeds: 1,
		SteadyTime: spreadSteady,
		Framing:    spread.HTTP2,
		Workers:    4,
	})
	var rows []Row
	for _, b := range result.Budget {
		if b.Kind != "total with gzip" && b.Kind != "reports" && b.Kind != "compares" && b.Kind != "pushes" {
			continue
		}
		limit := 0.0
		if b.Kind == "total with gzip" {
			limit = limitBytesPerSecond
		}
		rows = append(rows,
			Row{Role: "entry", Cost: "control bytes, " + b.Kind, Mechanism: "spread, membership, reports over HTTP/2", Per: b.EntryHTTP2, Of: "node", AtTarget: b.EntryHTTP2, Unit: "B/s", Limit: limit, Kind: kindCounted},
			Row{Role: "agent", Cost: "control bytes, " + b.Kind, Mechanism: "spread, membership, reports over HTTP/2", Per: b.AgentHTTP2, Of: "node", AtTarget: b.AgentHTTP2, Unit: "B/s", Limit: limit, Kind: kindCounted})
	}
	row := result.Rows[0]
	return append(rows,
		Row{Role: "all", Cost: "one change in force, worst of runs", Mechanism: "fan-out tree, neighbour comparison", Per: row.InForce.WorstMS, Of: "change", AtTarget: row.InForce.WorstMS, Unit: "ms", Limit: 4000, Kind: kindCounted},
		Row{Role: "all", Cost: "burst of 50 changes in force, worst", Mechanism: "a burst travels as its last revision", Per: row.Burst.WorstMS, Of: "burst", AtTarget: row.Burst.WorstMS, Unit: "ms", Limit: 4000, Kind: kindCounted},
		Row{Role: "table", Cost: "head reads", Mechanism: "three pollers a failure domain", Per: row.Steady.TableReads, Of: "deployment", AtTarget: row.Steady.TableReads, Unit: "reads/s", Limit: 100, Kind: kindCounted},
		Row{Role: "table", Cost: "accepted changes", Mechanism: "one transaction a change", Per: 1, Of: "change", AtTarget: targetChangesPerDay / float64(secondsPerDay), Unit: "writes/s", Limit: limitTableWrites, Kind: kindComputed})
}

// claimRows counts the table calls of requests with an idempotency key.
func claimRows(ctx context.Context) []Row {
	var reads, writes []Point
	for _, n := range []int{100, 200, 400, 800} {
		r, w := countClaims(ctx, n)
		reads = append(reads, Point{float64(n), float64(r)})
		writes = append(writes, Point{float64(n), float64(w)})
	}
	perRead, _ := slope(reads)
	perWrite, _ := slope(writes)
	const mechanism = "claims: one row a key, insert before and outcome after"
	return []Row{
		{Role: "table", Cost: "reads of claims", Mechanism: mechanism, Points: reads, Per: perRead, Of: "keyed request", AtTarget: perRead * targetRequestsPerSecond, Unit: "reads/s if all are keyed", Limit: limitTableReads, Kind: kindCounted},
		{Role: "table", Cost: "writes of claims", Mechanism: mechanism, Points: writes, Per: perWrite, Of: "keyed request", AtTarget: perWrite * targetRequestsPerSecond, Unit: "writes/s if all are keyed", Limit: limitTableWrites, Kind: kindCounted},
		{Role: "table", Cost: "keyed requests that fit", Mechanism: mechanism, Per: perWrite, Of: "keyed request", AtTarget: limitTableWrites / perWrite, Unit: "requests/s", Kind: kindComputed},
	}
}

// countClaims runs n keyed requests through the decisions on claims.
func countClaims(ctx context.Context, n int) (reads, writes int) {
	var mu sync.Mutex
	rows := make(map[string][]byte)
	versions := make(map[string]uint64)
	get := func(_ context.Context, key string) ([]byte, uint64, error) {
		mu.Lock()
		defer mu.Unlock()
		reads++
		return rows[key], versions[key], nil
	}
	set := func(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
		mu.Lock()
		defer mu.Unlock()
		writes++
		rows[key] = value
		versions[key] = version + 1
		return version + 1, nil
	}
	now := time.Unix(1_764_800_000, 0)
	c := claims.New("entry-1", 1, get, set, claims.WithNow(func() time.Time { return now }))
	for i := range n {
		var random [16]byte
		binary.BigEndian.PutUint64(random[:], uint64(i))
		r := claims.NewRequest(fmt.Sprint(i), "ledger-desk", "a", claims.NewKey(now, random), digest.Of(random[:]))
		d := c.Begin(ctx, r)
		if d.Kind() == claims.Run {
			_ = c.Finish(ctx, d.Claim(), claims.Completed(claims.NewResponse(200, nil, []byte("ok"))))
		}
	}
	return reads, writes
}

func tableRows() []Row {
	steps := float64(leaseContends) / leaseStep * targetServices
	return []Row{
		{Role: "table", Cost: "lease reads, all services rolling out", Mechanism: "two contenders a rollout, none between rollouts", Per: leaseContends / leaseStep, Of: "rollout", AtTarget: steps, Unit: "reads/s", Limit: limitTableReads, Kind: kindComputed},
		{Role: "table", Cost: "lease writes, all services rolling out", Mechanism: "renewals by the holder", Per: 1 / leaseStep, Of: "rollout", AtTarget: targetServices / leaseStep, Unit: "writes/s", Limit: limitTableWrites, Kind: kindComputed},
		{Role: "table", Cost: "suspect row of a request that is not idempotent", Mechanism: "suspects.Registry.Admit before the dispatch", Per: 1, Of: "request", AtTarget: targetRequestsPerSecond, Unit: "reads/s if none is idempotent", Limit: limitTableReads, Kind: kindComputed},
		{Role: "table", Cost: "reads of all suspects", Mechanism: "interval grows with the entries", Per: suspectReads, Of: "deployment", AtTarget: suspectReads, Unit: "reads/s", Limit: limitTableReads, Kind: kindComputed},
	}
}

// manifestRow counts the bytes that an agent reads of the object store for one
// rollout besides the weights.
func manifestRow() Row {
	var points []Point
	for _, n := range []int{64, 128, 256, 512} {
		points = append(points, Point{float64(n), float64(len(testManifest(n).Encode()))})
	}
	per, _ := slope(points)
	whole := at(points, 512)
	return Row{
		Role: "objects", Cost: "manifest reads", Mechanism: "each agent reads the manifest once a rollout", Points: points, Per: per, Of: "chunk",
		AtTarget: whole * targetReplicas * targetRollouts / secondsPerDay, Unit: "B/s, mean of the day", Kind: kindCounted,
	}
}

// chunkMapRow counts the answer to one poll of a peer.
func chunkMapRow() Row {
	var points []Point
	for _, n := range []int{64, 128, 256, 512} {
		full := swarm.NewBitmap(n)
		for i := range n {
			full.Set(i)
		}
		answer := &nodev1.ChunkMapResponse{Bitmap: full.Bytes(), Uploads: 4}
		points = append(points, Point{float64(n), float64(proto.Size(answer))})
	}
	per, _ := slope(points)
	return Row{
		Role: "agent", Cost: "chunk map, one answer", Mechanism: "swarm: polls of a fixed number of neighbours during a transfer", Points: points, Per: per, Of: "chunk",
		AtTarget: at(points, 512), Unit: "B", Kind: kindCounted,
	}
}

// announceRow counts what the leader of a rollout receives while all replicas
// wait for their orders.
func announceRow() Row {
	d := digest.Of([]byte("weights"))
	message := &nodev1.AnnounceRequest{
		From: &nodev1.Origin{Name: "agent-100", Incarnation: 1},
		Report: &nodev1.EndpointReport{
			Name: "agent-100", Incarnation: 1, Service: "shabda-llm", State: nodev1.EndpointState_ENDPOINT_STATE_SERVING,
			Digest: d.Bytes(), WantedDigest: d.Bytes(), ChunksStaged: 512, ChunksTotal: 512, Revision: 5000, Limit: 64,
		},
	}
	size := float64(proto.Size(message) + spread.HTTP2.Request + spread.HTTP2.Response)
	daily := size / announceEach * targetReplicas * rolloutWait * targetRollouts
	return Row{
		Role: "entry", Cost: "announcements to the leader of a rollout", Mechanism: "agents that wait for an order announce themselves", Per: size, Of: "announcement",
		AtTarget: daily / secondsPerDay, Unit: "B/s, mean of the day", Limit: limitBytesPerSecond, Kind: kindCounted,
	}
}

func testManifest(n int) *model.Manifest {
	chunks := make([]model.Chunk, n)
	for i := range chunks {
		chunks[i] = model.NewChunk(digest.Of(fmt.Append(nil, i)), model.MaxChunkSize)
	}
	m, err := model.New("faq", "1", chunks, digest.Of([]byte("whole")))
	if err != nil {
		panic("capacity: " + err.Error())
	}
	return m
}
