//! A process that comes and goes. Each time that one joins, everybody pays for an epoch, and another when it is missed; so
//! who has joined often of late keeps out of the ring for a while, longer each time, and passes users' requests on
//! meanwhile. Its memory dies with it: how often it joined stands in the epoch record, which joining writes anyway, so
//! that nothing is written at rest. Versions that don't know the list drop it, and then nobody is held back.

use super::*;

/// How often a controller may join within `window` without being held back. A single restart must cost no time.
const FREE: u32 = 3;
/// Joins that the epoch record names at most.
const KEPT: usize = 24;
/// Where they stand in it.
const KEY: &str = "came";
/// How long a process that has just started waits to hear from a member before it concludes that there is none.
const HEARING: Micros = Micros::from_millis(1500);

/// What is known of earlier lives.
#[derive(Default)]
pub(super) struct FlapDamping {
    /// When this process began.
    since: Option<Micros>,
    /// Who joined lately, and when by the wall clock of who raised that epoch, in seconds.
    came: Vec<(String, u64)>,
    /// Its key says that it wants no place for now.
    step_down: bool,
}

/// For how long joins are held against who joined.
fn window(s: &Settings) -> Micros {
    Micros(s.member_lease.0 * 10)
}

impl FlapDamping {
    /// Takes the list out of the epoch record. One that can't be read holds nobody back.
    pub(super) fn read(&mut self, record: &Value) {
        let list = record.get(KEY).cloned().unwrap_or(Value::Null);
        self.came = serde_json::from_value(list).unwrap_or_default();
    }

    /// Adds to the next epoch's record who joins with it.
    pub(super) fn write(
        &self,
        s: &Settings,
        wall: Micros,
        old: &EpochRecord,
        next: &EpochRecord,
        record: &mut Value,
    ) {
        let at = wall.0 / 1_000_000;
        // Clocks differ and may be set: what lies far ahead counts as little as what lies far back.
        let recent = |c: &&(String, u64)| c.1.abs_diff(at) < window(s).0 / 1_000_000;
        let mut came: Vec<(String, u64)> = self.came.iter().filter(recent).cloned().collect();
        came.extend(next.members.iter().filter(|m| !old.members.contains(m)).map(|m| (m.0.clone(), at)));
        came.drain(..came.len().saturating_sub(KEPT));
        if !came.is_empty() {
            record[KEY] = json!(came);
        }
    }

    /// How long this process has to keep out, by how often it has joined lately.
    fn pause(&self, s: &Settings, wall: Micros) -> Micros {
        let at = wall.0 / 1_000_000;
        let ours = |c: &&(String, u64)| c.0 == s.member && c.1.abs_diff(at) < window(s).0 / 1_000_000;
        match (self.came.iter().filter(ours).count() as u32).checked_sub(FREE) {
            None => Micros(0),
            Some(over) => Micros(s.member_lease.0 << over.min(8)).min(window(s)),
        }
    }

    /// Whether its key says that it wants no place for now.
    pub(super) fn aside(&self) -> bool {
        self.step_down
    }
    /// What its key says.
    pub(super) fn registers(&mut self, step_down: bool) {
        self.step_down = step_down;
    }
}

impl Controller {
    /// Whether this process keeps out of the ring for now. Never one that has been in it, and not while no member is
    /// heard: then nobody serves whom it could disturb.
    pub(super) fn held_back(&mut self, now: Micros) -> bool {
        let since = *self.flap_damping.since.get_or_insert(now);
        let pause = self.flap_damping.pause(&self.settings, self.wall);
        self.membership.epoch == 0
            && now < since + pause
            && (now < since + HEARING || self.membership.can_forward(now))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> Settings {
        let text = "member = \"c1\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n\
            [outside]\ncloud = \"10.0.0.9:1\"\nstate = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\n\
            lease_s = 18.0\ngang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\n\
            write_rps = 15.0\nvalue_kb = 4.0\ntxn_ops = 8\n[settings.cloud]\nrps = 5.0\nlist_lag_s = 8.0\n";
        Settings::parse("test", text).expect("valid")
    }

    #[test]
    fn pauses_grow_with_each_join_and_are_forgotten() {
        let (s, mut r) = (settings(), FlapDamping::default());
        let wall = |secs: u64| Micros(1_000_000_000_000 + secs * 1_000_000);
        let mut record = json!({});
        let mut old = EpochRecord { epoch: 1, members: vec![("c0".into(), 1)] };
        let mut pauses = Vec::new();
        for boot in 0..8 {
            let mut next = old.clone();
            next.members = vec![("c0".into(), 1), ("c1".into(), boot)];
            pauses.push(r.pause(&s, wall(boot)).0 / 1_000_000);
            r.write(&s, wall(boot), &old, &next, &mut record);
            r.read(&record);
            old = next;
        }
        assert_eq!(pauses, [0, 0, 0, 6, 12, 24, 48, 60]);
        assert_eq!(r.pause(&s, wall(80)), Micros(0));
        assert_eq!(r.pause(&s, wall(0).since(wall(0) + Micros(1))), Micros(0), "a clock that was set back");
        // Who stays is not named again, and a list that can't be read holds nobody back.
        r.write(&s, wall(8), &old, &old, &mut record);
        assert_eq!(record[KEY].as_array().map(Vec::len), Some(8));
        r.read(&json!({"came": 7}));
        assert_eq!(r.pause(&s, wall(8)), Micros(0));
    }
}
