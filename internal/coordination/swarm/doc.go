// Package swarm distributes the chunks of one manifest among instances. Each
// instance downloads them from the origin and from its peers.
//
// Picker selects what to poll, what to fetch next and which fetches to cancel.
// Its inputs are the members, the chunk maps returned by polls, the progress and
// outcome of fetches, and the time. It reads no clock and does no I/O, so the
// agent, the tests and the virtual-time measurement run the same code.
// UploadLimiter is the serving side: it admits or refuses requests from peers.
// Exchange connects a Picker to the functions that transfer bytes.
//
// Inside a region every member fetches the rarest chunk that its neighbours hold,
// preferring senders in its own failure domain. Only the gateways of a region
// fetch from other regions and from the origin. The gateways are the live members
// that rank first by a rendezvous hash. A second rendezvous hash assigns each
// chunk to one gateway per region. If a gateway makes no progress for the takeover
// timeout, the next member in rank replaces it. Each gateway limits itself to an
// equal share of the rate allotted to each link into its region, which keeps the
// total below the link rate without coordination.
//
// # Usage
//
//	x := swarm.NewExchange(manifest, self,
//		swarm.WithCallbacks(swarm.Callbacks{ListPeers: ..., FetchPeer: ..., Stage: ...}),
//		swarm.WithPickerOptions(swarm.WithOriginRegion("riga"), swarm.WithMaxOriginCopies(1)))
//	err := x.Run(ctx) // nil once every chunk is verified and staged
//
//	u := swarm.NewUploadLimiter(manifest.Size())
//	admission := u.Admit(chunk.Size(), crossRegion)
//	if admission.Admitted {
//		unsent := send(chunk)
//		u.Release(unsent, crossRegion)
//	} // else refuse the request and return admission.RetryAfter
package swarm
