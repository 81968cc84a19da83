//! Evidence about cancellations: a reading of this controller's clock before which no user was told of a cancellation that
//! this controller does not know.
//!
//! The store alone is no such evidence. A job that follows a cancelled one through others has no final record of its own
//! yet, and its leader may not know of the cancellation while the store does not respond to it. So each member of
//! the epoch is asked: one that leads, has looked for the outcomes that its own jobs wait for, and whose announcements are
//! all acknowledged, answers that there are no others. It had told no user of another cancellation by the reading that it
//! echoes. What members of earlier epochs told is on record, and is found by that look.
//!
//! A member's next process can't give this evidence, since it doesn't know what the last one told. During an outage of
//! the store it confirms the epoch, so the others go on leading, but it is not the process that the epoch record names,
//! and it leads nothing. So there is no newer evidence until the next epoch.

use crate::units::Micros;
use std::collections::BTreeMap;

/// The evidence that this process has.
#[derive(Debug, Default)]
pub(super) struct OutcomeEvidence {
    /// No user was told of an unknown cancellation before this.
    known_until: Micros,
    /// The latest echoed reading from each other member of the epoch that is asked; None before its first answer.
    told_until: BTreeMap<usize, Option<Micros>>,
}

impl OutcomeEvidence {
    /// Adopts a new epoch, in which no member has answered yet. What was known before stays true.
    pub(super) fn adopt_epoch(&mut self, others: impl Iterator<Item = usize>) {
        self.told_until = others.map(|member| (member, None)).collect();
    }

    /// Handles that a member can't be asked, since its version announces no cancellations at all.
    pub(super) fn exempt(&mut self, member: usize) {
        self.told_until.remove(&member);
    }

    /// Records a member's answer: before the reading that it echoes it told no user of a cancellation that this controller
    /// has not acknowledged.
    pub(super) fn note_nothing_to_announce(&mut self, member: usize, echo: Micros) {
        if let Some(told_until) = self.told_until.get_mut(&member) {
            *told_until = (*told_until).max(Some(echo));
        }
    }

    /// Updates what is known from the members' answers. Call it only once the outcomes that the jobs here waited for when
    /// the epoch began have all been looked for.
    pub(super) fn refresh(&mut self, now: Micros) {
        let told_until = self.told_until.values().copied().min().unwrap_or(Some(now));
        self.known_until = self.known_until.max(told_until.unwrap_or_default());
    }

    /// A reading before which no user was told of a cancellation that is unknown here.
    pub(super) fn known_until(&self) -> Micros {
        self.known_until
    }
}

#[cfg(test)]
mod tests;
