// Package swarm decides how an instance collects the chunks of one manifest
// from the origin and from its peers, and runs these decisions.
//
// The decisions are in Picker: it is told the members, the chunk maps that
// polls bring, the progress and outcome of fetches and the time, and returns
// what to poll, what to fetch next and what to drop. It neither reads clocks
// nor does I/O, so the agent, the tests and the virtual-time measurement drive
// the very same code. Uploads is the serving side: it admits or refuses what
// peers ask for. Exchange joins a Picker to the functions that move bytes.
//
// Inside a region every member pulls the rarest chunk that its neighbours hold,
// from its own failure domain first. Between regions, and from the origin, only
// the gateways of a region draw: the members ranked first by a rendezvous hash
// over the live ones. Each chunk has one gateway per region, ranked by a second
// rendezvous hash; the next in rank takes over when the gateway makes no
// progress for the takeover timeout. Every gateway spends an equal part of the
// paced rate of each link into its region, so that the sum stays below the rate
// of the link without any coordination.
//
// # Usage
//
//	x := swarm.NewExchange(manifest, self,
//		swarm.WithSeams(swarm.Seams{ListPeers: ..., FetchPeer: ..., Stage: ...}),
//		swarm.WithPicker(swarm.WithOriginRegion("riga"), swarm.WithMaxOriginCopies(1)))
//	err := x.Run(ctx) // nil once every chunk is verified and staged
//
//	u := swarm.NewUploads(manifest.Size())
//	admission := u.Admit(chunk.Size(), crossing)
//	if admission.Admitted {
//		unsent := send(chunk)
//		u.Release(unsent, crossing)
//	} // else refuse, with admission.RetryAfter as the hint
package swarm
