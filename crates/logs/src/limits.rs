//! Rate limits: token buckets per attempt, job and team, in exact integers.

use crate::key::AttemptKey;
use hazelsaddle_cluster::time::Micros;
use std::collections::HashMap;
use std::hash::Hash;

/// A bucket that fills at so many bytes a second, up to so many. Whoever finds in it what is wanted, or finds it full,
/// may take that; what takes it below zero the next one waits for.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    /// Millionths of a byte.
    level: i128,
    at: Micros,
}

impl Bucket {
    /// A full bucket.
    pub fn new(rate: u64, burst: u64, now: Micros) -> Bucket {
        Bucket {
            rate: rate.max(1),
            burst: burst.max(1),
            level: i128::from(burst.max(1)) * 1_000_000,
            at: now,
        }
    }
    fn fill(&mut self, now: Micros) {
        let most = i128::from(self.burst) * 1_000_000;
        self.level = (self.level + i128::from(self.rate) * i128::from(now.since(self.at).0)).min(most);
        self.at = self.at.max(now);
    }
    /// How long to wait until so many bytes may be taken; zero: now.
    pub fn wait(&mut self, now: Micros, bytes: u64) -> Micros {
        self.fill(now);
        let needed = i128::from(bytes.clamp(1, self.burst)) * 1_000_000;
        if self.level >= needed {
            return Micros(0);
        }
        let per = i128::from(self.rate);
        Micros(u64::try_from((needed - self.level + per - 1) / per).unwrap_or(u64::MAX))
    }
    /// Takes bytes, whatever is there.
    pub fn take(&mut self, now: Micros, bytes: u64) {
        self.fill(now);
        self.level -= i128::from(bytes) * 1_000_000;
    }
    fn is_full(&mut self, now: Micros) -> bool {
        self.fill(now);
        self.level >= i128::from(self.burst) * 1_000_000
    }
}

/// Bytes a second; the burst is two seconds' worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rates {
    /// Of one attempt.
    pub attempt: u64,
    /// Of all tasks of one job.
    pub job: u64,
    /// Of all jobs of one team.
    pub team: u64,
}

impl Default for Rates {
    fn default() -> Rates {
        Rates { attempt: 32 << 20, job: 128 << 20, team: 256 << 20 }
    }
}

/// Buckets kept at a time; full ones are forgotten first.
const KEPT: usize = 20_000;

/// The buckets of one store. Each store counts what comes to it as lead.
pub struct Limits {
    rates: Rates,
    attempts: HashMap<AttemptKey, Bucket>,
    jobs: HashMap<String, Bucket>,
    teams: HashMap<String, Bucket>,
}

fn bucket<'a, K: Hash + Eq + Clone>(
    of: &'a mut HashMap<K, Bucket>,
    key: &K,
    rate: u64,
    now: Micros,
) -> &'a mut Bucket {
    if of.len() >= KEPT && !of.contains_key(key) {
        of.retain(|_, b| !b.is_full(now));
        // All in use: forgetting them lets some through too early, and bounds memory.
        if of.len() >= KEPT {
            of.clear();
        }
    }
    of.entry(key.clone()).or_insert_with(|| Bucket::new(rate, rate.saturating_mul(2), now))
}

impl Limits {
    /// No bucket yet.
    pub fn new(rates: Rates) -> Limits {
        Limits { rates, attempts: HashMap::new(), jobs: HashMap::new(), teams: HashMap::new() }
    }
    /// Takes bytes from all three buckets, or says how long to wait and for which limit.
    ///
    /// # Errors
    /// The longest of the three waits, with the name of its limit; nothing is taken then.
    pub fn take(
        &mut self,
        now: Micros,
        of: &AttemptKey,
        team: &str,
        bytes: u64,
    ) -> Result<(), (Micros, &'static str)> {
        let team = team.to_owned();
        let waits = [
            (bucket(&mut self.attempts, of, self.rates.attempt, now).wait(now, bytes), "attempt"),
            (bucket(&mut self.jobs, &of.job, self.rates.job, now).wait(now, bytes), "job"),
            (bucket(&mut self.teams, &team, self.rates.team, now).wait(now, bytes), "team"),
        ];
        if let Some(&longest) = waits.iter().max_by_key(|w| w.0)
            && longest.0 > Micros(0)
        {
            return Err(longest);
        }
        bucket(&mut self.attempts, of, self.rates.attempt, now).take(now, bytes);
        bucket(&mut self.jobs, &of.job, self.rates.job, now).take(now, bytes);
        bucket(&mut self.teams, &team, self.rates.team, now).take(now, bytes);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bucket_lets_its_rate_through_and_says_how_long_to_wait() {
        let mut b = Bucket::new(1000, 2000, Micros(0));
        let (mut now, mut taken) = (Micros(0), 0);
        while now < Micros(10_000_000) {
            match b.wait(now, 700) {
                Micros(0) => {
                    b.take(now, 700);
                    taken += 700;
                }
                wait => now = now + wait,
            }
        }
        assert!((11_300..=12_700).contains(&taken), "{taken}: two seconds' burst and ten seconds' rate");
    }

    #[test]
    fn the_narrowest_limit_is_named_and_nothing_is_taken_from_the_others() {
        let mut l = Limits::new(Rates { attempt: 100, job: 1000, team: 10_000 });
        let key = |task| AttemptKey { job: "wk-1".into(), task, attempt: 1 };
        assert!(l.take(Micros(0), &key(0), "t", 500).is_ok());
        let (wait, name) = l.take(Micros(0), &key(0), "t", 1).expect_err("over");
        assert_eq!((wait.0 / 10_000, name), (301, "attempt"));
        for task in 1..4 {
            assert!(l.take(Micros(0), &key(task), "t", 500).is_ok());
        }
        assert_eq!(l.take(Micros(0), &key(9), "t", 1).expect_err("over").1, "job");
        assert!(l.take(wait, &key(0), "t", 1).is_ok());
    }
}
