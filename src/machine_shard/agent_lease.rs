//! Workers' leases as their home counts them: from the last report that somebody can have answered, which is not always
//! the last that came.
//!
//! A worker kills its tasks and begins its next session once the last of its reports that was answered was sent a lease
//! ago. Too late a conclusion costs time, too early a one lets a task run twice. What a home may count from:
//!
//! - a machine that is known: its last report. Only we have answered it since, and no report before it has arrived.
//! - one whose tasks are not known: also until when others can have answered it.
//! - one that reports on and never shows a token of ours hears nobody: its reports arrive and answers are lost. Each
//!   report proves that no earlier one was answered by us, so what others began is over a lease after they fell silent.
//!   Counted from its last report it would be waited for as long as it reports.

use super::*;

/// A worker drops what comes later than this after it sent its report.
pub(crate) const ANSWER: Micros = Micros::from_millis(4000);

impl MachineShard {
    /// This process did not get to run for so long. Machines may have spoken meanwhile, so their
    /// silence is counted without that time.
    pub fn paused(&mut self, now: Micros, pause: Micros) {
        for x in self.machines.values_mut() {
            x.heard_at = (x.heard_at + pause).min(now);
        }
    }

    /// How many machines were heard of late enough that their leases live.
    pub fn live(&self, now: Micros) -> usize {
        let alive = |x: &&Machine| x.reported && now.since(x.heard_at) < self.worker_lease;
        self.machines.values().filter(alive).count()
    }

    /// Works off what time alone decides: leases that have certainly run out.
    pub fn tick(&mut self, now: Micros, m: &Membership) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + Micros::from_millis(200);
        self.older_silent = m.older_silent_at();
        let lease = self.worker_lease.stretched() + Micros(self.worker_lease.0 / 40 + 250_000);
        for (name, x) in &mut self.machines {
            // A known machine was last answered by us, no earlier than its last report; no other
            // controller can have answered it since. One that never confirmed may have been
            // answered under an older token until those fell silent.
            let last_answer = match x.standing {
                InventoryState::Known => x.heard_at,
                InventoryState::Unconfirmed => x.last_answer(self.older_silent),
                InventoryState::Gone => continue,
            };
            let ended = now >= last_answer + lease;
            if ended {
                // Whatever still comes of this session was sent before its end.
                x.ended = x.ended.max(x.last.0);
            }
            let unheard = x.standing == InventoryState::Unconfirmed;
            let deaf = unheard && !ended && x.hears_nobody(x.answered.unwrap_or(self.older_silent) + lease);
            if (ended && (unheard || x.entries.values().any(Entry::on_machine))) || deaf {
                let reason = if deaf { "it hears nobody" } else { "lease ran out" };
                tracing::info!(machine = %name, epoch = m.epoch, tasks = x.entries.len(), reason, "machine's tasks are gone");
                x.entries.clear();
                x.standing = InventoryState::Known;
                self.changes.touch(name, &mut x.version);
            }
            let idle = x.entries.is_empty();
            if idle != x.idle_since.is_some() {
                x.idle_since = idle.then_some(now);
                self.changes.touch(name, &mut x.version);
            }
            let open = x.open(now, self.patience);
            if open != x.was_open {
                x.was_open = open;
                self.changes.touch(name, &mut x.version);
            }
        }
    }
}

impl Machine {
    /// When at the latest anybody can have answered a machine whose tasks are not known; `others`: until when
    /// somebody else may have, by what the epoch says.
    pub(super) fn last_answer(&self, others: Micros) -> Micros {
        let others = self.answered.unwrap_or(others);
        if self.reported { self.heard_at.max(others) } else { others }
    }

    /// Its latest report, which came just now, shows this token. One that is older than any under which we can have
    /// answered it shows that it took no answer of ours to an earlier report.
    pub(super) fn shows(&mut self, now: Micros, token: u64, epoch: u64) {
        self.unanswered = (token < self.ours_from).then_some(now);
        self.unshown = if token < epoch { self.unshown.saturating_add(1) } else { 0 };
    }

    /// Whether nothing is left of what others began on a machine whose tasks are not known, although it reports; `over`:
    /// when the leases are over that others renewed, by what the epoch says.
    ///
    /// Its last report shows that it had taken no answer of ours to an earlier one. If it took ours to this one, it had
    /// sent it no longer ago than a worker waits: after `over`, so in a session without tasks of others. If it did not,
    /// nobody has answered it since the others fell silent. A copy of an old report proves no less: its answer is dropped.
    fn hears_nobody(&self, over: Micros) -> bool {
        self.unanswered.is_some_and(|at| at >= over + ANSWER.stretched())
    }

    /// A report did not list starts that went out with the answer to an earlier one of the session: that answer was
    /// lost. Now and then one is; a machine that loses two in a row is given no tasks for a while, or jobs would be
    /// placed on it again with each report.
    pub(super) fn lost_answer(&mut self, now: Micros, patience: Micros) {
        self.answers_lost = (self.answers_lost + 1).min(4);
        if self.answers_lost > 1 {
            self.shut_until = now + Micros(patience.0 << (self.answers_lost - 2));
        }
    }
}
