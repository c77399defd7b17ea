// The replicated state machine: a deterministic function of the log's records.
//
// Usage:
//
//   ClusterState state(slotCount);
//   ApplyOutcome outcome = state.Apply(entry.offset, record);
//   if (outcome.verdict == Verdict::kAccepted) { ... }
//
// Every daemon applies the same records in offset order and reaches the same
// state; clocks are never consulted. A record is a proposal: Apply returns a
// verdict on whether it took effect, and its writer acts on it only after
// replaying it locally and reading that verdict.
//
// Invariants:
// - A slot has at most one owner. Its epoch, which serves as fencing token, is
//   the offset of the accepted claim plus one; 0 means never owned. It never
//   decreases.
// - A ledger request is started at most once, unless the start was voided.
// - A program has at most one open call. Its turns are numbered without gaps,
//   and each turn's digest is chained to that of its predecessor.
// - spent + reserved tokens of a program, sub-agents included, never exceed its
//   budget, provided that no call uses more than it reserved.
// - The configuration version increases by one with each accepted change.
//
// Complexity: Apply is O(log n) in members, programs and ledger entries, except
// for membership changes, which are O(slots).
#ifndef TANAGERSEAM_STATE_STATE_H_
#define TANAGERSEAM_STATE_STATE_H_

#include "state/bootstrap.h"
#include "state/cluster_state.h"
#include "state/record.h"

#endif // TANAGERSEAM_STATE_STATE_H_
