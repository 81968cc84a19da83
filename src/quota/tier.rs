//! Which work lies within its team's guarantee, and what may be stopped for whom: decided here, once, for processors
//! and GPUs alike. Every controller goes by the same facts, the claims in the team's record, so all come to the same
//! answer about a job.
//!
//! Source: PROTOCOL, "Preemption" and "How aims are counted".

use crate::spec::GUARANTEED;
use crate::units::{Micros, Resources};

/// How a job stands to its team's guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum QuotaTier {
    /// Its team has none.
    #[default]
    Unpromised,
    /// It fits into the guarantee together with the team's earlier unfinished jobs.
    Within,
    /// It doesn't: what it uses is borrowed.
    Beyond,
    /// The record doesn't say which jobs are earlier, and that would decide it.
    Unknown,
}

/// A job's place in its team's order: when it was accepted, in seconds, then its id. Seconds, because that is what
/// the record has; of two jobs of one second the id decides, the same way for everybody.
pub type Place<'a> = (u64, &'a str);

/// When a job was accepted, as the record has it.
pub fn seconds(accepted: Micros) -> u64 {
    accepted.0 / 1_000_000
}

/// How the job at `place` that uses `room` stands, beside the team's other unfinished jobs: the id of each, when it
/// was accepted if the record says so, and what it has claimed. What the job takes none of doesn't count against it.
pub fn footing<'a>(
    guarantee: Resources,
    place: Place,
    room: Resources,
    others: impl Iterator<Item = (&'a str, Option<u64>, Resources)>,
) -> QuotaTier {
    if guarantee.cpus <= 0 && guarantee.gpus <= 0 {
        return QuotaTier::Unpromised;
    }
    let (mut sure, mut most) = (room, room);
    for (id, accepted, claimed) in others.filter(|(id, ..)| *id != place.1) {
        match accepted {
            Some(at) if (at, id) < place => {
                sure = sure + claimed;
                most = most + claimed;
            }
            Some(_) => {}
            // A controller of an older form has written the record and left the time out.
            None => most = most + claimed,
        }
    }
    let fits = |sum: Resources| {
        // GPUs without a guarantee are borrowed. Where GPUs alone are guaranteed, processors come along with them.
        let gpus = room.gpus <= 0 || (guarantee.gpus > 0 && sum.gpus <= guarantee.gpus);
        let cpus = if guarantee.cpus > 0 { sum.cpus <= guarantee.cpus } else { room.gpus > 0 };
        gpus && cpus
    };
    match (fits(sure), fits(most)) {
        (_, true) => QuotaTier::Within,
        (false, _) => QuotaTier::Beyond,
        _ => QuotaTier::Unknown,
    }
}

/// The priority at which others see a job's tasks on a machine: what is borrowed has its rank alone, so that work
/// within a guarantee counts its room as room that can be had.
pub fn shown(priority: u8, footing: QuotaTier) -> u8 {
    if footing == QuotaTier::Beyond { priority % GUARANTEED } else { priority }
}

/// The priority with which waiting work may have others stopped. Only what lies within a guarantee has more than its
/// rank.
pub fn asks(priority: u8, footing: QuotaTier) -> u8 {
    match footing {
        QuotaTier::Beyond | QuotaTier::Unknown => priority % GUARANTEED,
        _ => priority,
    }
}

/// How long work within a guarantee has stood waiting for a machine before borrowed work there is stopped: first what
/// saves, then what would begin anew. Most room comes free by itself within the first of them.
const TAKE_SAVED: Micros = Micros::from_millis(5_000);
const TAKE_ALL: Micros = Micros::from_millis(30_000);

/// Whether a task may be stopped for work that asks with priority `asks` and has asked for this machine for `stood`.
/// `saves`: whether it keeps its progress. Work within its guarantee is never stopped for other teams' work.
pub fn may_stop(priority: u8, footing: QuotaTier, saves: bool, asks: u8, stood: Micros) -> bool {
    match footing {
        QuotaTier::Unpromised => priority < asks,
        QuotaTier::Beyond => asks >= GUARANTEED && stood >= if saves { TAKE_SAVED } else { TAKE_ALL },
        QuotaTier::Within | QuotaTier::Unknown => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    fn room(cpus: i64, gpus: i64) -> Resources {
        Resources { cpus, gpus, memory: 0 }
    }

    #[test]
    fn a_job_is_within_together_with_the_earlier_ones_only() {
        let g = room(100, 8);
        let others = [("wk-1", Some(10), room(60, 8)), ("wk-3", Some(30), room(90, 0))];
        let at = |place, r| footing(g, place, r, others.iter().copied());
        assert_eq!(
            at((20, "wk-2"), room(40, 0)),
            QuotaTier::Within,
            "the GPUs of others are no concern of it"
        );
        assert_eq!(at((20, "wk-2"), room(41, 0)), QuotaTier::Beyond);
        assert_eq!(at((20, "wk-2"), room(1, 1)), QuotaTier::Beyond, "the earlier one has all GPUs");
        assert_eq!(at((10, "wk-0"), room(100, 8)), QuotaTier::Within, "the id decides within a second");
        assert_eq!(at((10, "wk-2"), room(100, 8)), QuotaTier::Beyond);
        assert_eq!(footing(room(100, 0), (1, "a"), room(1, 1), std::iter::empty()), QuotaTier::Beyond);
        assert_eq!(footing(room(0, 4), (1, "a"), room(50, 4), std::iter::empty()), QuotaTier::Within);
        assert_eq!(footing(room(0, 0), (1, "a"), room(1, 0), std::iter::empty()), QuotaTier::Unpromised);
    }

    /// What the record leaves open is neither taken for nor taken: both would be wrong for one of two answers.
    #[test]
    fn an_order_that_is_not_on_record_is_no_answer() {
        let unknown = [("wk-1", None, room(60, 0))];
        let at = |r| footing(room(100, 0), (20, "wk-2"), r, unknown.iter().copied());
        assert_eq!(at(room(40, 0)), QuotaTier::Within);
        assert_eq!(at(room(41, 0)), QuotaTier::Unknown);
        assert_eq!(at(room(101, 0)), QuotaTier::Beyond);
        assert!(!may_stop(10, QuotaTier::Unknown, true, 13, Micros(u64::MAX)));
        assert_eq!(asks(11, QuotaTier::Unknown), 1);
    }

    /// All jobs that are within fit into the guarantee together, whoever asks about which.
    #[test]
    fn what_is_within_never_adds_up_to_more_than_the_guarantee() {
        for seed in 0..500 {
            let mut rng = StdRng::seed_from_u64(seed);
            let g = room(rng.random_range(1..400), rng.random_range(1..40));
            let jobs: Vec<(String, u64, Resources)> = (0..rng.random_range(1..12))
                .map(|i| {
                    let r = room(rng.random_range(1..120), rng.random_range(1..12));
                    (format!("wk-{i}"), rng.random_range(0..5), r)
                })
                .collect();
            let of = |(id, at, r): &(String, u64, Resources)| {
                let others = jobs.iter().map(|(id, at, r)| (id.as_str(), Some(*at), *r));
                footing(g, (*at, id), *r, others)
            };
            let within = jobs.iter().filter(|j| of(j) == QuotaTier::Within);
            let sum = within.fold(Resources::default(), |a, (.., r)| a + *r);
            assert!(g.holds(sum), "seed {seed}");
        }
    }

    #[test]
    fn only_borrowed_work_is_stopped_for_another_teams_guarantee() {
        let long = Micros::from_millis(60_000);
        assert!(
            may_stop(0, QuotaTier::Unpromised, false, 10, Micros(0)),
            "whatever has no guarantee, at once"
        );
        assert!(may_stop(13, QuotaTier::Beyond, false, 10, long), "whatever its rank");
        assert!(!may_stop(10, QuotaTier::Within, true, 13, long));
        assert!(
            !may_stop(10, QuotaTier::Beyond, true, asks(12, QuotaTier::Beyond), long),
            "nor for borrowed room"
        );
        let soon = Micros::from_millis(6_000);
        assert!(
            may_stop(10, QuotaTier::Beyond, true, 11, soon)
                && !may_stop(10, QuotaTier::Beyond, false, 11, soon)
        );
        assert!(
            !may_stop(2, QuotaTier::Unpromised, true, asks(11, QuotaTier::Beyond), long),
            "borrowing has its rank"
        );
    }
}
