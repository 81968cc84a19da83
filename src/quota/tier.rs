//! Fair share: which work lies within its team's guarantee, and what may be preempted for whom. It is decided here alone,
//! for processors and GPUs alike. Every controller goes by the same facts, the allocations in the team's record, so all
//! come to the same answer about a job.
//!
//! Source: PROTOCOL, "Preemption" and "How aims are counted".

use crate::spec::GUARANTEED_PRIORITY_BONUS;
use crate::units::{Micros, Resources};

/// How long work within a guarantee waits for a machine before borrowed work there is preempted: first what saves its
/// progress, then what would begin anew. Most room comes free by itself within the first of them.
const PREEMPT_SAVING_AFTER: Micros = Micros::from_millis(5_000);
const PREEMPT_ALL_AFTER: Micros = Micros::from_millis(30_000);

/// How a job stands to its team's guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum QuotaTier {
    /// Its team has none.
    #[default]
    NoGuarantee,
    /// It fits into the guarantee together with the team's earlier unfinished jobs.
    Within,
    /// It doesn't: what it uses is borrowed.
    Beyond,
    /// The record doesn't say which jobs are earlier, and that would decide it.
    Unknown,
}

/// A job's place in its team's order: when it was accepted, in seconds, then its id. Seconds, because that is what the
/// record has; of two jobs of one second the id decides, the same way for everybody.
pub type Place<'a> = (u64, &'a str);

/// An unfinished job of a team, as the team's record has it.
#[derive(Clone, Copy)]
pub struct TeamJob<'a> {
    /// The job.
    pub id: &'a str,
    /// When it was accepted, in seconds, if the record says so.
    pub accepted: Option<u64>,
    /// What it is allotted.
    pub allocated: Resources,
}

/// When a job was accepted, as the record has it.
#[must_use]
pub fn accepted_seconds(accepted: Micros) -> u64 {
    accepted.0 / 1_000_000
}

/// How the job at `place` that takes `taken` stands beside the team's other unfinished jobs. What the job takes none of
/// doesn't count against it.
#[must_use]
pub fn tier_of<'a>(
    guarantee: Resources,
    place: Place,
    taken: Resources,
    jobs: impl Iterator<Item = TeamJob<'a>>,
) -> QuotaTier {
    if guarantee.cpus <= 0 && guarantee.gpus <= 0 {
        return QuotaTier::NoGuarantee;
    }
    let (mut at_least, mut at_most) = (taken, taken);
    for job in jobs.filter(|job| job.id != place.1) {
        match job.accepted {
            Some(accepted) if (accepted, job.id) < place => {
                at_least = at_least + job.allocated;
                at_most = at_most + job.allocated;
            }
            Some(_) => {}
            // A controller of an older form has written the record and left the time out.
            None => at_most = at_most + job.allocated,
        }
    }
    let fits = |sum: Resources| {
        // GPUs without a guarantee are borrowed. Where GPUs alone are guaranteed, processors come along with them.
        let gpus = taken.gpus <= 0 || (guarantee.gpus > 0 && sum.gpus <= guarantee.gpus);
        let cpus = if guarantee.cpus > 0 { sum.cpus <= guarantee.cpus } else { taken.gpus > 0 };
        gpus && cpus
    };
    match (fits(at_least), fits(at_most)) {
        (_, true) => QuotaTier::Within,
        (false, _) => QuotaTier::Beyond,
        _ => QuotaTier::Unknown,
    }
}

/// The priority at which others see a job's tasks on a machine: what is borrowed has its job's own priority alone, so
/// that work within a guarantee counts its room as room that can be had.
#[must_use]
pub fn effective_priority(priority: u8, tier: QuotaTier) -> u8 {
    if tier == QuotaTier::Beyond { priority % GUARANTEED_PRIORITY_BONUS } else { priority }
}

/// The priority with which waiting work may have others preempted. Only what lies within a guarantee has more than its
/// job's own.
#[must_use]
pub fn preempting_priority(priority: u8, tier: QuotaTier) -> u8 {
    match tier {
        QuotaTier::Beyond | QuotaTier::Unknown => priority % GUARANTEED_PRIORITY_BONUS,
        QuotaTier::NoGuarantee | QuotaTier::Within => priority,
    }
}

/// Whether a task may be preempted for work of the preempting priority `by` that has waited for this machine for
/// `waited`. `saves`: whether it keeps its progress. Work within its guarantee is never preempted for other teams' work.
#[must_use]
pub fn may_preempt(priority: u8, tier: QuotaTier, saves: bool, by: u8, waited: Micros) -> bool {
    match tier {
        QuotaTier::NoGuarantee => priority < by,
        QuotaTier::Beyond => {
            by >= GUARANTEED_PRIORITY_BONUS
                && waited >= if saves { PREEMPT_SAVING_AFTER } else { PREEMPT_ALL_AFTER }
        }
        QuotaTier::Within | QuotaTier::Unknown => false,
    }
}

#[cfg(test)]
mod tests;
