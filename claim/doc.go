// Package claim is a register that lets each keyed request (one with an
// Idempotency-Key) run at most once. It is pure: messages, other events and a
// clock go in, messages and other actions come out.
//
// # Parts
//
// A Coordinator runs in every process that takes requests. Before it lets a
// request run, it claims the request's key at a quorum of the replicas of the
// service; afterwards it reports the answer to them. A repeat of the request, at
// any coordinator, finds the claim and gets the stored answer or a reason, never a
// second run.
//
// A Replica runs in every process beside a back end. The replicas of a service at
// one time form a View: up to ReplicaCount instances, chosen by rendezvous hash, in
// distinct zones where possible. An Instance is one run of a process: nothing is
// kept on disk, so a process that starts again is another instance, and has no vote
// until a new view lists it and it has copied the state of a majority of the view
// before.
//
// # Why no request runs twice
//
// Within one view a claim is single-decree Paxos for each key. The views of a
// service form a chain: the members of a view agree by Paxos on exactly one
// successor, a member that takes part in the change does not vote on claims in
// the old view any more, and a member of the new view votes only after it has
// copied what a majority of the old view held by then. So a claim that a majority
// of some view holds is known to every voter of all later views. The first view of
// a chain is decided by a conditional write to a store (ProposeFounding). If a
// majority of a view is lost, a new chain may be founded only after everything
// that the old one can have held has expired. docs/design/claims.md has the whole
// argument and its limits.
//
// # Use
//
// Both deciders belong to one goroutine each. The caller delivers each Send to its
// node, in any order, at most once or more often, or not at all; those for the own
// node included. It hands in a Tick at least every Options.RetryInterval.
package claim
