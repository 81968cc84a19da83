//! The course of a simulated day and its random faults.

use super::*;

impl World {
    pub(crate) fn trouble(&mut self) {
        let now = self.now;
        let n = self.rng.random_range(0..3usize);
        let long = self.rng.random_range(3 * S..35 * S);
        let hold = self.rng.random_bool(0.5);
        let kind = self.rng.random_range(0..12);
        self.log.push(format!("{:.1}: trouble {kind} for {:.1} on {n}", now as f64 / 1e6, long as f64 / 1e6));
        match kind {
            0 => self.crash(n),
            1 => (0..3).for_each(|n| self.crash(n)),
            2 => self.outage_until = now + long,
            3 => self.cuts.push((End::Controller(n), End::Store, now + long, hold)),
            4 => self.cuts.push((End::Controller(n), End::Workers, now + long, hold)),
            5 => self.cuts.push((End::Controller(n), End::Controller((n + 1) % 3), now + long, hold)),
            6 => {
                let w = self.rng.random_range(0..self.workers.len());
                self.workers[w].hung_until = now + long;
            }
            7 => {
                let w = self.rng.random_range(0..self.workers.len());
                self.workers[w].dead = true;
                self.workers[w].tasks.clear();
            }
            8 => self.hung[n] = now + long,
            // A long isolation from everything, and a long loss of messages to and from the workers.
            10 => {
                self.cuts.push((End::Controller(n), End::Store, now + 3 * long, hold));
                self.cuts.push((End::Controller(n), End::Workers, now + 3 * long, hold));
                for p in (0..3).filter(|&p| p != n) {
                    self.cuts.push((End::Controller(n), End::Controller(p), now + 3 * long, hold));
                }
            }
            11 => self.cuts.push((End::Controller(n), End::Workers, now + 2 * long, false)),
            _ => {
                self.cuts.push((End::Controller(n), End::Store, now + long, hold));
                for p in (0..3).filter(|&p| p != n) {
                    self.cuts.push((End::Controller(n), End::Controller(p), now + long, hold));
                }
            }
        }
    }

    pub(crate) fn crash(&mut self, n: usize) {
        let pause = if self.quick { S / 20..S / 2 } else { 3 * S..9 * S };
        self.crash_for(n, pause);
    }

    /// A controller's process crashes and restarts after a pause from this range.
    pub(crate) fn crash_for(&mut self, n: usize, pause: std::ops::Range<u64>) {
        self.nodes[n] = None;
        self.boots[n] = 0;
        let pause = self.rng.random_range(pause);
        self.back_at[n] = self.now + pause;
        if pause < S {
            self.later(pause, What::Back(n));
        }
    }

    /// Whether the process crashes at this effect, and if so, whether the effect is still carried out.
    pub(crate) fn ends_at(&mut self, e: &Effect) -> Option<bool> {
        if self.brittle == 0.0 {
            return None;
        }
        let weight = match e {
            Effect::Store { request: StoreRequest::Transaction(c), .. } => {
                let first = c.puts.first().map_or("", |p| p.0.as_str());
                match first.split('/').next().unwrap_or("") {
                    "ring" => 10.0,
                    "team" => 2.0,
                    _ => 1.0,
                }
            }
            Effect::Send { frame: f, .. }
                if matches!(f.body, Message::Handoff { .. } | Message::HandoffAck(_)) =>
            {
                5.0
            }
            _ => return None,
        };
        self.rng.random_bool((self.brittle * weight).min(1.0)).then(|| self.rng.random_bool(0.5))
    }

    pub(crate) fn start(&mut self, n: usize) {
        if self.nodes[n].is_none() && self.now >= self.back_at[n] {
            self.serial += 1;
            self.boots[n] = self.serial;
            self.started[n] = self.now;
            self.hung[n] = 0;
            let mut settings = settings(n, self.shape, self.limited[n]);
            if let Some(o) = &self.operators {
                settings.operators = o.clone();
            }
            self.nodes[n] = Some(Controller::new(settings, self.serial));
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.store.keys["ring/epoch"].0["epoch"].as_u64().expect("a number")
    }

    pub(crate) fn run(&mut self, troubles_until: u64, end: u64) {
        let mut next_job = self.now;
        let mut next_trouble = self.now + 20 * S;
        while self.now < end {
            // After an outage of the state store, leases get their full duration again.
            if self.outage_until > 0 && self.now >= self.outage_until {
                self.outage_until = 0;
                self.store.extend_leases(self.now);
            }
            for n in 0..3 {
                self.start(n);
                self.drive_if_awake(n);
            }
            self.run_pollers();
            if self.now >= next_job && self.jobs.len() < self.shape.jobs as usize {
                self.add_job(self.jobs.len() as u32 + 1);
                next_job = self.now + self.rng.random_range(S..self.shape.pause);
            }
            if self.now >= next_trouble && self.now < troubles_until {
                next_trouble = self.now + self.rng.random_range(5 * S..40 * S);
                self.trouble();
            }
            self.run_users();
            self.run_odd();
            self.run_cancels();
            self.run_writers();
            let until = self.now + 100_000;
            while let Some((&(t, s), _)) = self.queue.first_key_value() {
                if t > until {
                    break;
                }
                let what = self.queue.remove(&(t, s)).expect("it is there");
                self.now = self.now.max(t);
                self.happen(what);
                self.check();
            }
            self.now = until;
            self.run_watches();
            self.run_workers();
            self.check();
        }
    }

    pub(crate) fn drive_if_awake(&mut self, n: usize) {
        if self.now >= self.hung[n] {
            self.drive(n, Event::Tick);
        }
    }
}

pub(crate) fn day(seed: u64, shape: Shape, troubles_until: u64, end: u64) -> World {
    play(seed, World::new(seed, shape), troubles_until, troubles_until, end)
}

pub(crate) fn play_until(w: &mut World, end: u64) {
    w.run(0, end);
}

pub(crate) fn play(seed: u64, mut w: World, troubles_until: u64, stalls_until: u64, end: u64) -> World {
    let r = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        w.run(troubles_until, stalls_until);
        w.stalls = 0.0;
        w.run(troubles_until, end);
        assert!(w.underserved().is_empty(), "less than half served: {:?}", w.underserved());
        assert!(w.begun_late().is_empty(), "not begun in time: {:?}", w.begun_late());
    }));
    if let Err(e) = r {
        eprintln!("seed {seed}, at {:.3} s: {:#?}", w.now as f64 / 1e6, w.log);
        std::panic::resume_unwind(e);
    }
    w
}

/// The seeds to run, or the range in `WORLD_SEEDS=from..to`.
pub(crate) fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("WORLD_SEEDS").ok();
    let range = given.as_deref().and_then(|g| g.split_once(".."));
    range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?)).unwrap_or(100..150)
}
