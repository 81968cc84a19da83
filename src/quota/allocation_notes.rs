//! What a team's record says of a claim beside its room: when its job was accepted, and what the job waits for.
//!
//! A claim is `[cpus, gpus]`, `[cpus, gpus, accepted]` or `[cpus, gpus, accepted, cpus wanted, gpus wanted, priority]`.
//! The first version reads the first two and drops the rest when it writes the record: until the job's owner has
//! written again its place in the team's order is unknown (`guarantee::Footing::Unknown`), and nobody leaves room to
//! what it waits for. Neither lets a team use more than its limit.

use crate::units::Resources;
use serde_json::{Value, json};

/// Room that a job needs at once and that its team has no claim left for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomRequest {
    /// What it lacks.
    pub room: Resources,
    /// The job's priority.
    pub priority: u8,
}

/// What a record says of a job beside its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Note {
    /// When it was accepted, in seconds.
    pub accepted: Option<u64>,
    /// What it waits for.
    pub want: Option<RoomRequest>,
}

impl Note {
    /// A claim as it is written.
    pub fn entry(self, claim: Resources) -> Value {
        let at = self.accepted.unwrap_or(0);
        match (self.want, at) {
            (Some(w), _) => json!([claim.cpus, claim.gpus, at, w.room.cpus, w.room.gpus, w.priority]),
            (None, 0) => json!([claim.cpus, claim.gpus]),
            (None, _) => json!([claim.cpus, claim.gpus, at]),
        }
    }

    /// Reads what stands beside a claim. What can't be read counts as not said.
    pub fn read(v: &Value) -> Note {
        let part = |i: usize| v.get(i).and_then(Value::as_i64).filter(|x| *x >= 0);
        let want = match (part(3), part(4), part(5).and_then(|p| u8::try_from(p).ok())) {
            (Some(cpus), Some(gpus), Some(priority)) => {
                Some(RoomRequest { room: Resources { cpus, gpus, memory: 0 }, priority })
            }
            _ => None,
        };
        Note { accepted: part(2).filter(|a| *a > 0).map(|a| a as u64), want }
    }

    /// The order in which jobs that wait for their team's room get it.
    pub fn rank(self, job: &str) -> Option<(std::cmp::Reverse<u8>, u64, &str)> {
        Some((std::cmp::Reverse(self.want?.priority), self.accepted.unwrap_or(u64::MAX), job))
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{need, team};
    use super::super::*;
    use serde_json::json;

    /// TeamDimensions owners of one team's jobs, and what the record says.
    struct TeamDimensions {
        owners: [QuotaLedger; 2],
        store: (Value, u64),
    }

    impl TeamDimensions {
        fn round(&mut self, now: Micros, needs: [&[Need]; 2]) {
            for (o, needs) in needs.into_iter().enumerate() {
                let t = &mut self.owners[o];
                let all = BTreeMap::from([("t".to_owned(), needs.to_vec())]);
                for team in t.reads(now, &all) {
                    t.take(&team, Some((&self.store.0, self.store.1)));
                }
                let mine = |j: &str| j.starts_with(["a", "b"][o]);
                let Some(w) = t.plan(now, "t", needs, mine, |_| true, 4096) else { continue };
                t.sent(now, &w);
                if w.store_version == self.store.1 {
                    self.store = (w.value.clone(), w.store_version + 1);
                    t.committed(w, self.store.1);
                } else {
                    t.failed(&w, true);
                }
            }
        }
    }

    /// Seen on a day with GPUs: arrays of the team took each bit of room that came free, or held all of it in vain,
    /// and its gangs could never claim enough at one time.
    #[test]
    fn a_gang_gets_its_teams_room_however_many_small_jobs_there_are() {
        for held_in_vain in [true, false] {
            let mut two = TeamDimensions {
                owners: [QuotaLedger::new(&team(10.0)), QuotaLedger::new(&team(10.0))],
                store: (json!({}), 1),
            };
            let (mut running, mut at) = (0, None);
            for s in 1..120u64 {
                // The array of the second owner runs what it may, one task of it ends each second, and more come.
                if !held_in_vain {
                    let may = two.owners[1].claim("t", "b1").cpus / 1000;
                    running = (running - 1).max(0).max(may.min(running + 2));
                    running = if s % 3 == 0 { running - 1 } else { running }.max(0);
                }
                let array = Need { priority: 0, ..need("b1", running, 50, false) };
                let gang = Need { accepted: Micros(9_000_000), ..need("a1", 0, 8, true) };
                let gang: &[Need] = if s > 20 { std::slice::from_ref(&gang) } else { &[] };
                two.round(Micros::from_millis(s * 1000), [gang, &[array]]);
                let claimed = two.owners[0].claimed("t", "a1").cpus;
                let sum: i64 =
                    two.store.0.as_object().unwrap().values().map(|v| v[0].as_i64().unwrap()).sum();
                assert!(sum <= 10_000, "{}", two.store.0);
                if claimed == 8000 {
                    at = at.or(Some(s));
                }
            }
            assert!(at.is_some_and(|s| s < 80), "held in vain: {held_in_vain}: {at:?}");
        }
    }

    /// A claim of a job taken over covers tasks that its new owner doesn't know of yet.
    #[test]
    fn room_is_not_given_back_while_tasks_may_run_that_nobody_knows_of() {
        for settled in [true, false] {
            let mut t = QuotaLedger::new(&team(10.0));
            t.take("t", Some((&json!({"a": [10_000, 0, 5], "b": [0, 0, 6, 8000, 0, 1]}), 4)));
            let array = Need { settled, priority: 0, ..need("a", 1, 9, false) };
            let late = Micros::from_millis(60_000);
            let w = t.plan(late, "t", &[array], |j| j == "a", |_| true, 4096);
            assert_eq!(
                w.map(|w| w.claims["a"].cpus),
                settled.then_some(2000),
                "what the gang lacks, and no more"
            );
        }
    }

    /// The first version reads two numbers of a claim and writes two.
    #[test]
    fn a_record_without_the_order_of_jobs_is_read_and_completed() {
        let mut s = team(10.0);
        s[0].cpus = 6.0;
        let mut t = QuotaLedger::new(&s);
        t.take("t", Some((&json!({"a": [5000, 0], "z": [3000, 0], "w": [0, 0]}), 4)));
        let footing = |t: &QuotaLedger, job: &str| {
            let at = if job == "a" { 5_000_000 } else { 7_000_000 };
            t.footing("t", job, Micros(at), Resources::default())
        };
        assert_eq!(footing(&t, "a"), QuotaTier::Unknown, "whether the other came first is not said");
        let late = Micros::from_millis(60_000);
        let none = t.plan(late, "t", &[need("a", 5, 0, false)], |j| j == "a", |_| true, 4096);
        assert!(none.is_none(), "the order alone is not worth a write");
        let w = t.plan(late, "t", &[need("a", 5, 1, false)], |j| j == "a", |_| true, 4096).unwrap();
        assert_eq!(w.value, json!({"a": [6000, 0, 5], "z": [3000, 0]}));
        t.take("t", Some((&json!({"a": [3000, 0, 5], "z": [3000, 0, 7]}), 5)));
        assert_eq!((footing(&t, "a"), footing(&t, "z")), (QuotaTier::Within, QuotaTier::Within));
        t.take("t", Some((&json!({"a": [4000, 0, 5], "z": [3000, 0, 7]}), 6)));
        assert_eq!((footing(&t, "a"), footing(&t, "z")), (QuotaTier::Within, QuotaTier::Beyond));
    }
}
