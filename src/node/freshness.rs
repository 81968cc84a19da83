//! Batches: merges start, and write, only on fresh inputs.

use super::pacts::{Gate, Operating};
use super::*;

impl Node {
    /// Whether operators have switched the guard on.
    pub(super) fn batches_on(&self) -> bool {
        false
    }

    /// The condition on which a submission that names a batch is taken.
    pub(super) fn batch_gate(&mut self, _now: Micros, id: &str, _out: &mut Vec<Effect>) -> Gate {
        match self.accepting.get(id).map(|a| &a.spec) {
            Some(s) if s.batch.is_some() => Gate::Never("batch: batches are not switched on here".into()),
            Some(s) if s.merges.is_some() => Gate::Never("merges: batches are not switched on here".into()),
            _ => Gate::Open(Vec::new()),
        }
    }

    /// What batches need in each round.
    pub(super) fn batch_loop(&mut self, _now: Micros, _out: &mut Vec<Effect>) {}

    /// An operator's request about batches: the answer, or None if it is to be asked again in the next round.
    pub(super) fn batch_request(
        &mut self,
        _now: Micros,
        _r: &Operating,
        _out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        Some(Reply::error(404, "batches are not switched on here"))
    }

    /// A merge asks whether it may write; its job is ours to answer for. None: answered later.
    pub(super) fn permit(
        &mut self,
        _now: Micros,
        _from: Origin,
        _id: &str,
        _attempt: u64,
        _task: u32,
        _out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        Some(Reply::error(404, "batches are not switched on here"))
    }
}
