//! Direct commands that are held up on their way, and what is noted of them: a worker may have heard a newer leader by the
//! time at which it gets one.

use super::*;

#[derive(Default)]
pub(crate) struct Commands {
    /// Share and end.
    late: (f64, u64),
    /// That came late to a worker that is there; of these, from a process that had ended, and after a newer epoch was raised.
    pub(crate) late_all: usize,
    pub(crate) ended: usize,
    pub(crate) after_newer: usize,
    /// That a worker dropped by the token of a newer leader, or since it was in another session.
    pub(crate) by_token: usize,
    pub(crate) by_session: usize,
    /// That were carried out; of these, in the name of an epoch that was no longer the newest.
    pub(crate) carried_out: usize,
    pub(crate) deposed: usize,
}

impl Commands {
    /// When nothing of it is sent any more.
    pub(crate) fn until(&self) -> u64 {
        self.late.1
    }
}

impl World {
    /// That share of direct commands is held up on its way, unanswered, and carried out once, 2 to 16 s late, if token and
    /// session still match.
    pub(crate) fn late_commands(&mut self, share: f64, long: u64) {
        self.commands.late = (share, self.now + long);
    }

    /// A controller sends a direct command, which takes so long if nothing holds it up.
    pub(crate) fn send_command(&mut self, n: usize, token: u64, g: FencingProbe, delay: u64) {
        let boot = self.boots[n];
        let (share, until) = self.commands.late;
        if self.now < until && self.rng.random_bool(share) {
            let late = self.rng.random_range(2 * S..16 * S);
            return self.later(delay + late, What::LateCommand(n, boot, token, g));
        }
        self.later(delay, What::Greet(n, boot, token, g));
    }

    /// One that was held up arrives. Nobody waits for its answer.
    pub(crate) fn late_command(&mut self, n: usize, boot: u64, token: u64, g: FencingProbe) {
        let Some(i) = self.worker_that_hears(&g) else { return };
        let hung = self.workers[i].hung_until;
        if hung > self.now {
            return self.later(hung - self.now, What::LateCommand(n, boot, token, g));
        }
        let (newest, ended) = (self.epoch(), boot != self.boots[n]);
        // Guards against a token that nobody may command under: a worker that had seen one would drop every answer.
        assert!(token <= newest, "{n} commands under {token}, the newest epoch is {newest}");
        let w = &self.workers[i];
        let c = &mut self.commands;
        c.late_all += 1;
        c.ended += usize::from(ended);
        c.after_newer += usize::from(token < newest);
        if token < w.token {
            c.by_token += 1;
        } else if g.incarnation != w.session {
            c.by_session += 1;
        } else {
            c.carried_out += 1;
            c.deposed += usize::from(token < newest);
        }
        self.commanded(i, token, &g);
    }
}
