//! Releases: opened by calendar or by the first submission, closed, counted, and only then rotated.

use super::pacts::Gate;
use super::*;
use crate::api::ops::OpRequest;

impl Node {
    /// Whether operators have set a calendar.
    pub(super) fn releases_on(&self) -> bool {
        false
    }

    /// The condition on which a submission joins its release.
    pub(super) fn release_gate(&mut self, _now: Micros, id: &str, _out: &mut Vec<Effect>) -> Gate {
        match self.accepting.get(id).and_then(|a| a.spec.release.as_ref()) {
            None => Gate::Open(Vec::new()),
            Some(_) => Gate::Never("release: no calendar is set here".into()),
        }
    }

    /// What releases need in each round.
    pub(super) fn release_loop(&mut self, _now: Micros, _out: &mut Vec<Effect>) {}

    /// An operator's request about releases: the answer, or None if it is to be asked again in the next round.
    pub(super) fn release_request(
        &mut self,
        _now: Micros,
        _r: &super::pacts::Operating,
        _out: &mut Vec<Effect>,
    ) -> Option<Reply> {
        let _ = OpRequest::Releases;
        Some(Reply::error(404, "releases are not switched on: no calendar is set here"))
    }
}
