// Package requests measures the request path in virtual time.
//
// It runs the real request managers of a few entry daemons against a cost model
// of engines and plain services, with seeded arrivals. Each policy receives the
// same arrivals, so that the policies can be compared. A run is deterministic.
//
// The modeled engine works in iterations. Each iteration generates one token for
// every sequence in the batch and prefills one chunk of the waiting prompts. It
// lasts [stepBase] plus [stepPerSequence] for each sequence plus the time of the
// chunk at [prefillRate]. Prompts are prefilled in the order of priority and
// arrival. The prefix cache holds [cacheBlocks] blocks and evicts the least
// recently used one first. Load reports are taken every [reportEvery] and arrive
// after [reportLag] and a random time of up to [reportJitter]. Cache events are
// sent in batches that arrive after [cacheLag]; the share [cacheLoss] of the
// batches is lost.
package requests
