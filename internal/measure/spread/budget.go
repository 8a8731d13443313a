package spread

const (
	// budgetLoss is the loss at which the budget is made up.
	budgetLoss = 0.01
	// listIntervalSeconds is how often each process reads the platform's list.
	listIntervalSeconds = 10
	// listChangesPerDay is how often the list changes at the target: a leaving, a
	// vanished and a new instance for each of 201 restarts and failures.
	listChangesPerDay = 3 * 201
	// reportSubset is the number of agents of one service that an entry watches, and
	// reportIntervalSeconds how often.
	reportSubset          = 24
	reportIntervalSeconds = 10
)

// BudgetRow is one kind of control traffic of a node, sent and received, in
// bytes a second.
type BudgetRow struct {
	Kind string `json:"kind"`
	// Entry and Agent are over HTTP/1.1, EntryHTTP2 and AgentHTTP2 over HTTP/2.
	Entry      float64 `json:"entry"`
	Agent      float64 `json:"agent"`
	EntryHTTP2 float64 `json:"entryHttp2"`
	AgentHTTP2 float64 `json:"agentHttp2"`
}

// budget adds up all control traffic of an entry and of an agent. The last rows
// are the totals with the list as it is and with a compressed list, and the same
// for the process with the most traffic of spread.
func budget(o Options, rows []Row) []BudgetRow {
	size := rows[len(rows)-1].Size
	one, two := steadyAt(o, rows, size, HTTP1), steadyAt(o, rows, size, HTTP2)
	same := func(kind string, http1, http2 float64) BudgetRow {
		return BudgetRow{Kind: kind, Entry: http1, Agent: http1, EntryHTTP2: http2, AgentHTTP2: http2}
	}
	unchanged := float64(unchangedListBytes()) / listIntervalSeconds
	members := size.members()
	plain := float64(listBytes(members, false)) * listChangesPerDay / day.Seconds()
	compressed := float64(listBytes(members, true)) * listChangesPerDay / day.Seconds()
	common := []BudgetRow{
		same("compares", one.BytesCompares, two.BytesCompares),
		same("pushes", one.BytesPushes, two.BytesPushes),
		same("fetches", one.BytesFetches, two.BytesFetches),
		same("table and objects", one.BytesPlatform, two.BytesPlatform),
		same("membership list, unchanged", unchanged, unchanged),
		reportsRow(size),
	}
	list := same("membership list, changed", plain, plain)
	gzipList := same("membership list, changed, gzip", compressed, compressed)
	busier := same("busiest", one.BytesBusiestNode-one.BytesPerNode, two.BytesBusiestNode-two.BytesPerNode)
	total := sum("total", append(common[:len(common):len(common)], list))
	gzipTotal := sum("total with gzip", append(common[:len(common):len(common)], gzipList))
	return append(common, list, gzipList, total, gzipTotal,
		sum("busiest node", []BudgetRow{total, busier}),
		sum("busiest node with gzip", []BudgetRow{gzipTotal, busier}))
}

// steadyAt returns the traffic at budgetLoss, from the rows where they have it.
func steadyAt(o Options, rows []Row, size Size, framing Framing) Steady {
	for _, r := range rows {
		if r.Size == size && r.Loss == budgetLoss && o.Framing == framing {
			return r.Steady
		}
	}
	return steady(o, size, budgetLoss, framing)
}

// reportsRow counts the reports that entries ask of their subsets of agents.
func reportsRow(size Size) BudgetRow {
	perAgent := float64(size.Entries*reportSubset) / float64(size.Agents)
	one := float64(reportBytes(HTTP1)) / reportIntervalSeconds
	two := float64(reportBytes(HTTP2)) / reportIntervalSeconds
	return BudgetRow{
		Kind:  "reports",
		Entry: one * reportSubset, Agent: one * perAgent,
		EntryHTTP2: two * reportSubset, AgentHTTP2: two * perAgent,
	}
}

func sum(kind string, rows []BudgetRow) BudgetRow {
	total := BudgetRow{Kind: kind}
	for _, r := range rows {
		total.Entry += r.Entry
		total.Agent += r.Agent
		total.EntryHTTP2 += r.EntryHTTP2
		total.AgentHTTP2 += r.AgentHTTP2
	}
	return total
}
