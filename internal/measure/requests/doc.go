// Package requests measures the request path in virtual time.
//
// It drives the real request managers of a few entry daemons against a cost
// model of engines and plain services, with seeded arrivals. The same arrivals
// are run under each policy, so that the policies can be compared side by
// side. A run is deterministic.
//
// The model of an engine: it works in iterations. Each iteration generates one
// token for every sequence in the batch and prefills one chunk of the waiting
// prompts, and lasts [stepBase] plus [stepPerSequence] for each sequence plus
// the chunk at [prefillRate]. Prompts are prefilled in order of priority and
// arrival. The prefix cache holds [cachePieces] pieces, least recently used
// first out. Load reports are taken every [reportEvery] and arrive after
// [reportLag] and some jitter; cache events come in batches after [cacheLag],
// of which [cacheLoss] are lost.
package requests
