//! Fair share: which jobs are within their team's guarantee, and which tasks may be preempted for which work. All these
//! rules are in this module, for processors and GPUs alike. All controllers apply them to the allocations in the team's
//! record, so they agree about every job.
//!
//! Specified in PROTOCOL, "Preemption" and "How aims are counted".

use crate::spec::GUARANTEED_PRIORITY_BONUS;
use crate::units::{Micros, Resources};

/// How long work within a guarantee waits for a machine before tasks beyond a guarantee are preempted there: first
/// tasks that save their progress, later those that would start over. Most resources become free without preemption
/// within the first interval.
const PREEMPT_SAVING_AFTER: Micros = Micros::from_millis(5_000);
const PREEMPT_ALL_AFTER: Micros = Micros::from_millis(30_000);

/// Whether a job is within its team's guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum QuotaTier {
    /// Its team has no guarantee.
    #[default]
    NoGuarantee,
    /// It fits into the guarantee together with the team's earlier unfinished jobs.
    Within,
    /// It does not fit into the guarantee, so the resources that it uses are borrowed.
    Beyond,
    /// It depends on which jobs are earlier, and that is missing in the record.
    Unknown,
}

/// A job's place in its team's order: when it was accepted, in seconds, then its id. The record holds whole seconds;
/// for jobs accepted in the same second the id decides, so all controllers use the same order.
pub type TeamOrder<'a> = (u64, &'a str);

/// An unfinished job in a team's record.
#[derive(Clone, Copy)]
pub struct TeamJob<'a> {
    /// The job.
    pub id: &'a str,
    /// When it was accepted, in seconds, if the record has it.
    pub accepted: Option<u64>,
    /// Its allocation.
    pub allocated: Resources,
}

/// Converts the time at which a job was accepted to the whole seconds of the record.
#[must_use]
pub fn accepted_seconds(accepted: Micros) -> u64 {
    accepted.0 / 1_000_000
}

/// The tier of the job at `place` with the allocation `taken`, given the team's other unfinished jobs. Only resources
/// that the job itself uses are checked against the guarantee.
#[must_use]
pub fn tier_of<'a>(
    guarantee: Resources,
    place: TeamOrder,
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
            // A controller of version 1 has written the record without this time.
            None => at_most = at_most + job.allocated,
        }
    }
    let fits = |sum: Resources| {
        // GPUs without a guarantee are always borrowed. If only GPUs are guaranteed, processors are included for jobs
        // that use GPUs.
        let gpus_fit = taken.gpus <= 0 || (guarantee.gpus > 0 && sum.gpus <= guarantee.gpus);
        let cpus_fit = if guarantee.cpus > 0 { sum.cpus <= guarantee.cpus } else { taken.gpus > 0 };
        gpus_fit && cpus_fit
    };
    match (fits(at_least), fits(at_most)) {
        (_, true) => QuotaTier::Within,
        (false, _) => QuotaTier::Beyond,
        _ => QuotaTier::Unknown,
    }
}

/// The priority that other job shards see for a job's tasks on a machine. Tasks beyond the guarantee have only the
/// job's own priority, without the bonus, so that work within a guarantee counts their resources as preemptible.
#[must_use]
pub fn effective_priority(priority: u8, tier: QuotaTier) -> u8 {
    if tier == QuotaTier::Beyond { priority % GUARANTEED_PRIORITY_BONUS } else { priority }
}

/// The priority with which waiting work may preempt other tasks. Work that is beyond its guarantee, or may be, has only
/// the job's own priority, without the bonus.
#[must_use]
pub fn preempting_priority(priority: u8, tier: QuotaTier) -> u8 {
    match tier {
        QuotaTier::Beyond | QuotaTier::Unknown => priority % GUARANTEED_PRIORITY_BONUS,
        QuotaTier::NoGuarantee | QuotaTier::Within => priority,
    }
}

/// Whether a task may be preempted for work with the preempting priority `by` that has waited for this machine for
/// `waited`. `saves` tells whether the task saves its progress. Work within its guarantee is never preempted for the
/// work of other teams.
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
