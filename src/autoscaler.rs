//! The fleet: one decider rents machines for work that finds no room and returns those that idle,
//! never come up or have failed. The decider is the ring owner of a fixed key.

mod headroom;

use self::headroom::headroom;
use crate::config::settings::Settings;
use crate::machine_view::MachineSnapshot;
use crate::peer::{Demand, InventoryState};
use crate::spec::{MachineType, Types};
use crate::state_store::{RateLimiter, http_exchange};
use crate::units::{Micros, Resources};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod lost_machines;

/// Most machines in one rental.
const RENT_LIMIT: u32 = 50;
/// Most names in one return.
const RETURN_LIMIT: usize = 100;
/// One in so many of the machines that would do is left to urgent gangs at the most, and half of
/// that where guarantees promise the room to others too.
const RESERVED_PART: usize = 6;

/// How many machines gangs of this shape should find at hand: two may come at a time.
fn at_hand(d: &Demand) -> usize {
    d.together as usize * 2
}

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// The machine types and prices.
    Types,
    /// A page of the machine list.
    List(String),
    /// Rent machines.
    Rent(ScaleOut),
    /// Return machines.
    Return(Vec<String>),
}

/// A rental. Its name makes a repeated request safe and is never used twice.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOut {
    /// The name.
    pub name: String,
    /// The machine type.
    pub kind: String,
    /// The zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// A machine in the cloud's list.
#[derive(Deserialize, Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    #[serde(rename = "uid")]
    pub name: String,
    /// Its type.
    #[serde(rename = "stallKind")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "paddock")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed", default)]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    #[serde(rename = "stance")]
    pub state: String,
    /// Age since the rental.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// What the cloud said.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudAnswer {
    /// The types.
    Types(Vec<MachineType>),
    /// A page, and whether there is more.
    Page(Vec<Listed>, bool),
    /// Names of the rented machines.
    Rented(Vec<String>),
    /// None to be had of this kind here.
    NoCapacity,
    /// The machines are gone.
    Returned,
    /// Too many calls, an outage, or no answer.
    Failed,
}

/// A blocking client of the cloud.
pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

#[derive(Deserialize)]
struct TypeList {
    #[serde(rename = "breedsOfStall")]
    types: Vec<MachineType>,
}
#[derive(Deserialize)]
struct MachinePage {
    #[serde(rename = "stalls")]
    machines: Vec<Listed>,
    #[serde(default)]
    more: bool,
}
#[derive(Deserialize)]
struct RentedNames {
    #[serde(rename = "stalls")]
    names: Vec<String>,
}

impl CloudClient {
    /// A client of the cloud at `addr`.
    pub fn new(addr: std::net::SocketAddrV4) -> CloudClient {
        let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(4)).redirects(0).build();
        CloudClient { agent, base: format!("http://{addr}") }
    }
    /// Carries out a request.
    pub fn call(&self, r: &CloudRequest) -> CloudAnswer {
        let base = &self.base;
        let get = |url: String| http_exchange(&self.agent, "GET", &url, None);
        let post = |url: String, body| http_exchange(&self.agent, "POST", &url, Some(body));
        match r {
            CloudRequest::Types => {
                read(get(format!("{base}/flavors")), |t: TypeList| CloudAnswer::Types(t.types))
            }
            CloudRequest::List(after) => {
                let after = if after.is_empty() { String::new() } else { format!("after={after}&") };
                read(get(format!("{base}/rentals?{after}limit=500")), |p: MachinePage| {
                    CloudAnswer::Page(p.machines, p.more)
                })
            }
            CloudRequest::Rent(r) => {
                let body = json!({"hire": r.name, "stallKind": r.kind, "paddock": r.zone, "borrowed": r.spot, "count": r.count});
                match post(format!("{base}/rentals"), body.to_string()) {
                    Some((503, text)) if text.contains("no capacity") => CloudAnswer::NoCapacity,
                    Some((400, text)) => {
                        tracing::error!(reason = %text, "the cloud calls a rental malformed");
                        CloudAnswer::NoCapacity
                    }
                    other => read(other, |n: RentedNames| CloudAnswer::Rented(n.names)),
                }
            }
            CloudRequest::Return(names) => {
                match post(format!("{base}/rentals/return"), json!({ "stalls": names }).to_string()) {
                    Some((200, _)) => CloudAnswer::Returned,
                    _ => CloudAnswer::Failed,
                }
            }
        }
    }
}

fn read<T: for<'a> Deserialize<'a>>(r: Option<(u16, String)>, f: impl Fn(T) -> CloudAnswer) -> CloudAnswer {
    match r {
        Some((200, text)) => match serde_json::from_str(&text) {
            Ok(v) => f(v),
            Err(e) => {
                tracing::error!(reason = %e, "unreadable answer from the cloud");
                CloudAnswer::Failed
            }
        },
        _ => CloudAnswer::Failed,
    }
}

#[derive(Clone, Debug)]
struct Coming {
    kind: String,
    zone: String,
    spot: bool,
    since: Micros,
}

/// What the decider knows. Only the decider acts; the others keep the types.
pub struct Autoscaler {
    boot: u64,
    rentals: u64,
    budget: RateLimiter,
    /// The machine types, once known.
    pub types: Types,
    next_types: Micros,
    next_list: Micros,
    listed: Option<BTreeMap<String, Listed>>,
    page: Vec<Listed>,
    /// Rented and not yet reporting.
    coming: BTreeMap<String, Coming>,
    no_capacity: BTreeMap<(String, String, bool), Micros>,
    renting: Option<ScaleOut>,
    busy: bool,
    pause_until: Micros,
    demands: BTreeMap<usize, (Micros, Vec<Demand>)>,
    /// Machines that are to take no new tasks.
    pub drain: BTreeSet<String>,
    /// Machines whose return was confirmed, and when.
    gone: BTreeMap<String, Micros>,
    acting_since: Option<Micros>,
    /// Types, and whether spot, left to work of at least a priority.
    pub kept: Vec<(String, bool, u8)>,
    /// Machines left to work of at least a priority: room that comes together for gangs of large
    /// tasks while small ones fill the rest.
    pub reserve: BTreeMap<String, u8>,
    /// Kept types, and from how many machines on they are kept no more as a whole.
    enough: BTreeMap<(String, bool), usize>,
    /// Whether `kept` rests on the word of all owners.
    pub steers: bool,
    /// What queueable work was like of late: a task's room and run time, and how long it may queue.
    usual: Option<(Resources, Micros, Micros)>,
    /// Machines being emptied because the rest of the fleet is enough.
    spare: BTreeSet<String>,
    next_spare: Micros,
    /// Whether guarantees ask for room to be kept.
    guarantees: bool,
    /// What the guarantees add up to.
    guaranteed: Resources,
    /// A machine that has been silent for longer is given back.
    silence: Micros,
    list_lag: Micros,
    next_plan: Micros,
    next_note: Micros,
    /// Rented machines that are not counted on any more.
    pub overdue: BTreeSet<String>,
}

impl Autoscaler {
    /// Nothing known. `boot` is this process's random number.
    pub fn new(boot: u64, s: &Settings) -> Autoscaler {
        Autoscaler {
            boot,
            rentals: 0,
            budget: RateLimiter::new(s.cloud_rps * 0.8),
            types: Types::new(),
            next_types: Micros(0),
            next_list: Micros(0),
            listed: None,
            page: Vec::new(),
            coming: BTreeMap::new(),
            no_capacity: BTreeMap::new(),
            renting: None,
            busy: false,
            pause_until: Micros(0),
            demands: BTreeMap::new(),
            drain: BTreeSet::new(),
            gone: BTreeMap::new(),
            acting_since: None,
            kept: Vec::new(),
            reserve: BTreeMap::new(),
            enough: BTreeMap::new(),
            steers: false,
            usual: None,
            spare: BTreeSet::new(),
            next_spare: Micros(0),
            guarantees: s.teams.iter().any(|t| t.cpus > 0.0 || t.gpus > 0.0),
            guaranteed: s
                .teams
                .iter()
                .fold(Resources::default(), |a, t| a + Resources::need(t.cpus, t.gpus, 0.0)),
            // By then its tasks' lease has run out, and one that only hung had time to come back.
            silence: Micros(s.worker_lease.0 * 2),
            list_lag: s.list_lag,
            next_plan: Micros(0),
            next_note: Micros(0),
            overdue: BTreeSet::new(),
        }
    }

    /// A type's room.
    pub fn room(&self, kind: &str) -> Option<Resources> {
        self.types.get(kind).map(MachineType::room)
    }

    /// An owner's unplaced work.
    pub fn demand(&mut self, now: Micros, from: usize, d: Vec<Demand>) {
        self.demands.insert(from, (now, d));
    }

    /// Machines confirmed gone of late.
    pub fn gone(&self) -> Vec<String> {
        self.gone.keys().cloned().collect()
    }

    /// The answer to the request last handed out.
    pub fn answer(&mut self, now: Micros, r: &CloudRequest, a: CloudAnswer) {
        self.busy = false;
        match (r, a) {
            (CloudRequest::Types, CloudAnswer::Types(list)) => {
                self.types = list.into_iter().map(|t| (t.name.clone(), t)).collect();
                self.next_types = now + Micros::from_millis(60_000);
            }
            (CloudRequest::List(after), CloudAnswer::Page(rows, more)) => {
                if after.is_empty() {
                    self.page.clear();
                }
                self.page.extend(rows);
                if !more {
                    let rows = std::mem::take(&mut self.page);
                    self.listed = Some(rows.into_iter().map(|l| (l.name.clone(), l)).collect());
                    self.next_list = now + Micros::from_millis(4000);
                }
            }
            (CloudRequest::Rent(r), CloudAnswer::Rented(names)) => {
                tracing::info!(rental = %r.name, kind = %r.kind, zone = %r.zone, spot = r.spot, asked = r.count, got = names.len(), "machines rented");
                if names.len() < r.count as usize {
                    self.no_capacity
                        .insert((r.kind.clone(), r.zone.clone(), r.spot), now + Micros::from_millis(15_000));
                }
                for n in names {
                    let c = Coming { kind: r.kind.clone(), zone: r.zone.clone(), spot: r.spot, since: now };
                    self.coming.insert(n, c);
                }
                self.renting = None;
            }
            (CloudRequest::Rent(r), CloudAnswer::NoCapacity) => {
                self.no_capacity
                    .insert((r.kind.clone(), r.zone.clone(), r.spot), now + Micros::from_millis(15_000));
                tracing::debug!(kind = %r.kind, zone = %r.zone, spot = r.spot, "no capacity");
                self.renting = None;
            }
            (CloudRequest::Return(names), CloudAnswer::Returned) => {
                tracing::info!(machines = ?names, "machines returned");
                for n in names {
                    self.drain.remove(n);
                    self.coming.remove(n);
                    if let Some(l) = &mut self.listed {
                        l.remove(n);
                    }
                    self.gone.insert(n.clone(), now);
                }
            }
            // A rental without a usable answer is repeated under its name until it has one.
            _ => self.pause_until = now + Micros::from_millis(1000),
        }
    }

    /// Whether `next` has anything to look at, so that nobody gathers machines for nothing.
    pub fn due(&self, now: Micros) -> bool {
        !self.busy
            && now >= self.pause_until
            && (now >= self.next_types
                || now >= self.next_list
                || now >= self.next_plan
                || self.listed.is_none()
                || !self.page.is_empty()
                || self.renting.is_some())
    }

    /// The next request, if one is due. `machines` are all homes' machines; `heard` tells whether
    /// every home has spoken since the epoch began, `rebuilt` whether every machine that may hold tasks has.
    pub fn next(
        &mut self,
        now: Micros,
        decider: bool,
        machines: &[&MachineSnapshot],
        heard: bool,
        rebuilt: bool,
        members: &[usize],
    ) -> Option<CloudRequest> {
        if !decider {
            self.acting_since = None;
            self.steers = false;
            self.demands.clear();
            self.drain.clear();
            self.listed = None;
            self.renting = None;
            self.coming.clear();
        }
        if self.busy || now < self.pause_until {
            return None;
        }
        if now >= self.next_types && self.budget.take(now, 1.0, 0.0) {
            self.next_types = now + Micros::from_millis(if self.types.is_empty() { 1000 } else { 5000 });
            return self.out(CloudRequest::Types);
        }
        if !decider {
            return None;
        }
        let since = *self.acting_since.get_or_insert(now);
        self.gone.retain(|_, t| now.since(*t) < Micros::from_millis(60_000));
        if !self.page.is_empty() || now >= self.next_list || self.listed.is_none() {
            if !self.budget.take(now, 1.0, 0.0) {
                return None;
            }
            let after = self.page.last().map(|l| l.name.clone()).unwrap_or_default();
            self.next_list = now + Micros::from_millis(4000);
            return self.out(CloudRequest::List(after));
        }
        if let Some(r) = self.renting.clone() {
            return self.budget.take(now, 1.0, 0.0).then(|| self.out(CloudRequest::Rent(r))).flatten();
        }
        if !heard || now < self.next_plan || self.types.is_empty() || !self.budget.take(now, 1.0, 0.0) {
            return None;
        }
        let by_name: BTreeMap<&str, &MachineSnapshot> =
            machines.iter().map(|d| (d.name.as_str(), *d)).collect();
        // Word on what is kept goes out only once every owner has said what it has seen.
        let all = members.iter().all(|m| self.demands.contains_key(m));
        self.steers = all || now.since(since) > Micros::from_millis(2000);
        self.keep(now, machines);
        if tracing::enabled!(tracing::Level::DEBUG) && now >= self.next_note {
            self.next_note = now + Micros::from_millis(5000);
            let open = machines.iter().filter(|d| d.open);
            let (total, free) =
                open.fold((0, 0), |(t, f), d| (t + d.total.cpus / 1000, f + d.free.cpus.max(0) / 1000));
            let demands = self.fresh_demands(now);
            let queued: f64 = demands
                .iter()
                .map(|d| f64::from(d.count) * d.room.cpus as f64 / 1000.0 * d.estimate.secs())
                .sum();
            let spares = self.spare.len();
            tracing::debug!(machines = machines.len(), coming = self.coming.len(), cpus = total, free, queued_cpu_s = queued as i64, reserve = self.reserve.len(), kept = ?self.kept, spares, "fleet");
        }
        let returns = self.returns(now, &by_name, since, rebuilt);
        if !returns.is_empty() {
            return self.out(CloudRequest::Return(returns));
        }
        if let Some(r) = self.rent(now, &by_name) {
            self.renting = Some(r.clone());
            return self.out(CloudRequest::Rent(r));
        }
        self.next_plan = now + Micros::from_millis(500);
        None
    }

    fn out(&mut self, r: CloudRequest) -> Option<CloudRequest> {
        self.busy = true;
        Some(r)
    }

    fn boot_time(&self, kind: &str) -> Micros {
        Micros::from_secs(self.types.get(kind).map_or(60.0, |t| t.boot_s))
    }

    /// Machines to give back now; also settles which are to be emptied first. Until a takeover is over
    /// (`rebuilt`), work that waits for it asks for nothing and leaves machines idle that it needs a moment
    /// later: only what has failed goes back.
    fn returns(
        &mut self,
        now: Micros,
        machines: &BTreeMap<&str, &MachineSnapshot>,
        since: Micros,
        rebuilt: bool,
    ) -> Vec<String> {
        let mut out = Vec::new();
        if rebuilt {
            self.shrink(now, machines);
        } else {
            self.spare.clear();
        }
        // Room kept for guarantees is of use only while there is work at all.
        // Machines that are gone are named until the next epoch and say nothing about that.
        let there = || machines.values().filter(|d| d.standing != InventoryState::Gone);
        let quiet = there().all(|d| d.busy == 0 && d.idle_for(now) > Micros::from_millis(20_000));
        let mut drain = BTreeSet::new();
        let up_to = self.listed_up_to();
        for d in machines.values() {
            if d.standing == InventoryState::Gone || self.gone.contains_key(&d.name) {
                continue;
            }
            let failed =
                self.listed.as_ref().and_then(|l| l.get(&d.name)).is_some_and(|l| l.state == "failed");
            // Keeping an idle machine is worth it as long as it costs less than booting one.
            // One that urgent work may need before another could boot is kept for longer.
            let boot = self.boot_time(&d.kind).0;
            let patience = if self.guarantees && !quiet {
                Micros::from_millis(900_000)
            } else if self.reserve.contains_key(&d.name)
                || self.kept.iter().any(|(k, spot, _)| *k == d.kind && *spot == d.spot)
            {
                Micros(boot * 5 / 4)
            } else {
                Micros(boot * 3 / 4)
            };
            // Whoever waits for one that is there no more has the cloud's word in a moment.
            if failed || d.silent_for(now) > self.silence || self.absent(d, up_to) {
                out.push(d.name.clone());
            } else if rebuilt
                && (self.spare.contains(&d.name)
                    || d.idle_for(now) > patience
                    || (self.drain.contains(&d.name) && d.busy == 0))
            {
                drain.insert(d.name.clone());
                if self.drain.contains(&d.name)
                    && !d.open
                    && d.busy == 0
                    && d.standing == InventoryState::Known
                {
                    out.push(d.name.clone());
                }
            }
        }
        self.drain = drain;
        // Listed machines that never report: never came up, or are nobody's.
        for l in self.listed.iter().flat_map(|l| l.values()) {
            if machines.contains_key(l.name.as_str()) || self.gone.contains_key(&l.name) {
                continue;
            }
            let patience = Micros(self.boot_time(&l.kind).0 * 3) + Micros::from_millis(10_000);
            let settled = now.since(since) > Micros::from_millis(20_000);
            if settled && (l.state == "failed" || Micros::from_secs(l.age_s) > patience) {
                out.push(l.name.clone());
            }
        }
        self.coming.retain(|n, c| {
            !machines.contains_key(n.as_str()) && now.since(c.since) < Micros::from_millis(300_000)
        });
        out.truncate(RETURN_LIMIT);
        out
    }

    /// Which types to leave to urgent work: those on which alone some shape of job fits that others
    /// of lower priority don't need, as long as that is the smaller part of the fleet.
    fn keep(&mut self, now: Micros, machines: &[&MachineSnapshot]) {
        let shapes = self.fresh_demands(now);
        let mut options: BTreeSet<(String, bool)> = BTreeSet::new();
        for t in self.types.values() {
            options.extend([(t.name.clone(), false), (t.name.clone(), true)]);
        }
        let fits = |d: &Demand, (kind, spot): &(String, bool)| {
            *spot <= d.spot
                && (d.kinds.is_empty() || d.kinds.contains(kind))
                && self.room(kind).is_some_and(|r| r.holds(d.room))
        };
        let lowest = shapes.iter().map(|d| d.priority).min().unwrap_or(0);
        let mut kept = Vec::new();
        let mut enough: BTreeMap<(String, bool), usize> = BTreeMap::new();
        for d in shapes.iter().filter(|d| d.priority > lowest) {
            let only: Vec<&(String, bool)> = options.iter().filter(|o| fits(d, o)).collect();
            let part: i64 = machines
                .iter()
                .filter(|x| only.iter().any(|o| o.0 == x.kind && o.1 == x.spot))
                .map(|x| x.total.cpus)
                .sum();
            let all: i64 = machines.iter().map(|x| x.total.cpus).sum();
            // What is kept idles at times; where it is most of the fleet that costs more than
            // it gains.
            if !only.is_empty()
                && only.len() * 2 <= options.len()
                && (part * 2 <= all || machines.len() < 10)
                && options.len() > 2
            {
                for (kind, spot) in only {
                    // Enough of them to leave a part is enough for all.
                    let there =
                        machines.iter().filter(|x| x.open && x.kind == *kind && x.spot == *spot).count();
                    let enough = enough.entry((kind.clone(), *spot)).or_default();
                    *enough = (*enough).max(at_hand(d) * 3);
                    if there >= *enough {
                        continue;
                    }
                    if !kept.contains(&(kind.clone(), *spot, d.priority)) {
                        kept.push((kind.clone(), *spot, d.priority));
                    }
                }
            }
        }
        // Work of lower priority must have somewhere else to go, or it would wait for ever; a few spot machines beside
        // many that idle are not enough.
        for d in &shapes {
            let left =
                |o: &(String, bool)| !kept.iter().any(|(k, s, p)| *k == o.0 && *s == o.1 && *p > d.priority);
            let (mut there, mut open) = (0, 0);
            for x in machines.iter().filter(|x| x.open) {
                let o = (x.kind.clone(), x.spot);
                if fits(d, &o) {
                    let n = x.total.count_of(d.room).clamp(0, 10_000);
                    there += n;
                    open += if left(&o) { n } else { 0 };
                }
            }
            let few = open * 4 < there && !options.iter().any(|o| fits(d, o) && left(o) && !o.1);
            if few || !options.iter().any(|o| fits(d, o) && left(o)) {
                kept.retain(|(k, s, p)| *p <= d.priority || !fits(d, &(k.clone(), *s)));
            }
        }
        self.kept = kept;
        self.enough = enough;
        self.reserve = self.reserved(&shapes, lowest, machines);
    }

    /// Machines to leave to gangs whose tasks take most of a machine: for the two largest of late at
    /// the most, in one zone if they ask for that, and never more than a small part of those that
    /// would do. The same ones as before as long as they serve, then those that are emptiest.
    fn reserved(&self, shapes: &[Demand], lowest: u8, machines: &[&MachineSnapshot]) -> BTreeMap<String, u8> {
        let mut out: BTreeMap<String, u8> = BTreeMap::new();
        for d in shapes.iter().filter(|d| d.priority > lowest && d.together > 1) {
            let fits: Vec<&&MachineSnapshot> = machines
                .iter()
                .filter(|x| {
                    x.open
                        && x.spot <= d.spot
                        && (d.kinds.is_empty() || d.kinds.contains(&x.kind))
                        && d.zone.as_ref().is_none_or(|z| *z == x.zone)
                        && x.total.count_of(d.room) == 1
                })
                .collect();
            let part = if self.guarantees { RESERVED_PART * 2 } else { RESERVED_PART };
            let n = at_hand(d).min(fits.len() / part);
            let mut zones: BTreeMap<&str, Vec<(bool, i64, &str)>> = BTreeMap::new();
            for x in fits {
                // What is being stopped counts as gone, or it would lose its place while it is emptied.
                let stays = x.by_priority.iter().filter(|(p, _)| *p >= d.priority);
                let could = stays.fold(x.total, |a, (_, r)| a - *r).holds(d.room);
                if could && !self.drain.contains(&x.name) && !out.contains_key(&x.name) {
                    let zone = if d.one_zone { x.zone.as_str() } else { "" };
                    let new = !self.reserve.contains_key(&x.name);
                    zones.entry(zone).or_default().push((new, -x.free.cpus, &x.name));
                }
            }
            let best = zones.into_values().map(|mut at| {
                at.sort_unstable();
                at.truncate(n);
                let kept = at.iter().filter(|(new, ..)| !new).count();
                let free: i64 = at.iter().map(|(_, missing, _)| -missing).sum();
                (kept, free, at)
            });
            if let Some((.., at)) = best.max_by_key(|(kept, free, _)| (*kept, *free)) {
                out.extend(at.into_iter().map(|(_, _, name)| (name.to_owned(), d.priority)));
            }
        }
        out
    }

    /// Empties the dearest machine when the rest of the fleet gets through the queue in a small part
    /// of the time that the work may queue.
    fn shrink(&mut self, now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) {
        self.spare.retain(|n| machines.contains_key(n.as_str()) && !self.gone.contains_key(n));
        let demands = self.fresh_demands(now);
        for d in demands.iter().filter(|d| d.horizon.0 > 0 && d.estimate.0 > 0) {
            let (_, estimate, horizon) = self.usual.get_or_insert((d.room, d.estimate, d.horizon));
            *estimate = Micros((estimate.0 * 7 + d.estimate.0) / 8);
            *horizon = Micros((horizon.0 * 63 / 64).max(d.horizon.0));
        }
        let Some((room, estimate, horizon)) = self.usual else { return };
        if self.guarantees || now < self.next_spare {
            return;
        }
        let for_queue = |d: &&&MachineSnapshot| {
            d.standing == InventoryState::Known
                && !self.reserve.contains_key(&d.name)
                && !self.kept.iter().any(|(k, s, _)| *k == d.kind && *s == d.spot)
        };
        let slots = |d: &MachineSnapshot| d.total.count_of(room).clamp(0, 10_000);
        let all: Vec<&&MachineSnapshot> = machines.values().filter(|d| for_queue(d) && d.open).collect();
        let total: i64 = all.iter().map(|d| slots(d)).sum();
        let busy: i64 = machines.values().filter(for_queue).map(|d| i64::from(d.busy)).sum();
        let queued: f64 = demands
            .iter()
            .filter(|d| d.horizon.0 > 0)
            .map(|d| f64::from(d.count) * d.estimate.0 as f64)
            .sum();
        let load = queued + busy as f64 * estimate.0 as f64 / 2.0;
        let time = |slots: i64| load / slots.max(1) as f64;
        if time(total) > horizon.0 as f64 {
            self.spare.clear();
        }
        let price = |d: &MachineSnapshot| {
            let t = self.types.get(&d.kind)?;
            Some((if d.spot { t.spot_price } else { t.price }) / slots(d).max(1) as f64)
        };
        // A machine costs a minute at least, so one that is younger is no saving.
        let paid = |d: &MachineSnapshot| {
            self.listed.as_ref().and_then(|l| l.get(&d.name)).is_some_and(|l| l.age_s > 60.0)
        };
        let mut dearest: Vec<&&MachineSnapshot> =
            all.iter().filter(|d| paid(d) && !self.spare.contains(&d.name)).copied().collect();
        dearest.sort_by(|a, b| {
            let by_price = price(b).unwrap_or(0.0).total_cmp(&price(a).unwrap_or(0.0));
            by_price.then(a.busy.cmp(&b.busy))
        });
        // Every shape of work must still find a machine that it fits.
        let fits = |s: &Demand, x: &MachineSnapshot| {
            x.spot <= s.spot
                && (s.kinds.is_empty() || s.kinds.contains(&x.kind))
                && s.zone.as_ref().is_none_or(|z| *z == x.zone)
                && x.total.holds(s.room)
        };
        let left: Vec<&&MachineSnapshot> =
            all.iter().filter(|x| !self.spare.contains(&x.name)).copied().collect();
        let mut total: i64 = left.iter().map(|d| slots(d)).sum();
        let mut free: i64 = left.iter().map(|d| d.free.count_of(room).clamp(0, 10_000)).sum();
        let mut chosen: Vec<&str> = Vec::new();
        for d in dearest {
            // One at a time, unless nothing queues and much of the fleet is empty: a large fleet would
            // idle for minutes after a surge.
            let surplus = queued <= 0.0 && (free - slots(d)) * 3 > total - slots(d);
            if chosen.len() >= all.len() / 10 || !(chosen.is_empty() || surplus) {
                break;
            }
            let stays = |x: &MachineSnapshot| x.name != d.name && !chosen.contains(&x.name.as_str());
            let safe = demands.iter().all(|s| !fits(s, d) || left.iter().any(|x| stays(x) && fits(s, x)));
            if !safe || time(total - slots(d)) >= horizon.0 as f64 * 0.5 {
                break;
            }
            total -= slots(d);
            free -= slots(d);
            chosen.push(&d.name);
        }
        if !chosen.is_empty() {
            self.next_spare = now + Micros::from_millis(3000);
            tracing::debug!(machines = ?chosen, "machines are spare");
            let chosen: Vec<String> = chosen.into_iter().map(str::to_owned).collect();
            self.spare.extend(chosen);
        }
    }

    fn fresh_demands(&self, now: Micros) -> Vec<Demand> {
        let fresh = |t: Micros| now.since(t) < Micros::from_millis(3000);
        let mut all: Vec<Demand> =
            self.demands.values().filter(|(t, _)| fresh(*t)).flat_map(|(_, d)| d.iter().cloned()).collect();
        all.sort_by_key(|d| (std::cmp::Reverse(d.priority), d.horizon));
        all
    }

    /// The next rental that the waiting work is worth.
    fn rent(&mut self, now: Micros, machines: &BTreeMap<&str, &MachineSnapshot>) -> Option<ScaleOut> {
        self.no_capacity.retain(|_, until| now < *until);
        // Room on its way: rented by us, or listed as booting.
        let mut coming: Vec<(String, String, bool, Resources)> = Vec::new();
        let mut seen = BTreeSet::new();
        // One that takes twice as long as promised may never come, so it is replaced; but only a few at a
        // time, or a surge would be rented twice when all of them are late.
        let most = (machines.len() / 10).max(2);
        let mut overdue: BTreeSet<String> = BTreeSet::new();
        let mut late = |name: &String, age: Micros, boot: Micros| {
            let late = age.0 > boot.0 * 2 && overdue.len() < most;
            if late {
                overdue.insert(name.clone());
            }
            late
        };
        for (n, c) in &self.coming {
            seen.insert(n.clone());
            if late(n, now.since(c.since), self.boot_time(&c.kind)) {
                continue;
            }
            coming.push((c.kind.clone(), c.zone.clone(), c.spot, self.room(&c.kind).unwrap_or_default()));
        }
        for l in self.listed.iter().flat_map(|l| l.values()) {
            if l.state != "failed"
                && !machines.contains_key(l.name.as_str())
                && !seen.contains(&l.name)
                && !self.gone.contains_key(&l.name)
                && !late(&l.name, Micros::from_secs(l.age_s), self.boot_time(&l.kind))
            {
                coming.push((l.kind.clone(), l.zone.clone(), l.spot, self.room(&l.kind).unwrap_or_default()));
            }
        }
        if overdue != self.overdue {
            tracing::info!(machines = ?overdue, "machines overdue: rented, and twice their boot time has passed");
            self.overdue = overdue;
        }
        let usable: Vec<(String, String, bool, Resources)> = machines
            .values()
            .filter(|d| d.open && !self.reserve.contains_key(&d.name))
            .map(|d| (d.kind.clone(), d.zone.clone(), d.spot, d.total))
            .collect();
        let kept = |kind: &str, spot: bool, priority: u8| {
            self.kept.iter().any(|(k, s, p)| k == kind && *s == spot && *p > priority)
        };
        let mut queued = 0.0;
        let mut demands = self.fresh_demands(now);
        demands.retain(|d| d.count > 0);
        demands.extend(headroom(self.guaranteed, &self.types, machines));
        for d in demands {
            let mut left = i64::from(d.count);
            let mut only: Option<String> = None;
            let fits = |kind: &str, zone: &str, spot: bool| {
                (d.kinds.is_empty() || d.kinds.iter().any(|k| k == kind))
                    && d.zone.as_ref().is_none_or(|z| z == zone)
                    && spot <= d.spot
            };
            // Work that may queue is weighed against what the machines there are get done in that
            // time; only the excess is worth a machine, which earns nothing while it boots.
            if d.horizon.0 > 0 && d.estimate.0 > 0 {
                let estimate = d.estimate.0.max(1_000_000) as f64;
                let horizon = d.horizon.0.max(1_000_000) as f64;
                // The last of the queue should have run by then. How long that takes is taken from the
                // queue as a whole: one long job at its end must not rent for all before it.
                let usual = self.usual.map_or(estimate, |(_, e, _)| e.0 as f64);
                let window = (horizon - usual / 2.0).max(horizon / 2.0);
                let slots: i64 = usable
                    .iter()
                    .map(
                        |(k, z, s, r)| {
                            if fits(k, z, *s) && !kept(k, *s, d.priority) { r.count_of(d.room) } else { 0 }
                        },
                    )
                    .sum::<i64>()
                    + coming
                        .iter()
                        .map(|(k, z, s, r)| if fits(k, z, *s) { r.count_of(d.room) } else { 0 })
                        .sum::<i64>();
                queued += left as f64 * estimate;
                let excess = queued - slots as f64 * window;
                if excess <= 0.0 {
                    continue;
                }
                left = left.min((excess / window).ceil() as i64);
            } else {
                only = headroom::zone_for(&d, &self.types, &coming, |zone| {
                    let none = |t: &&MachineType| {
                        self.no_capacity.contains_key(&(t.name.clone(), zone.to_owned(), false))
                    };
                    self.types.values().filter(|t| fits(&t.name, zone, false)).all(|t| none(&t))
                });
                for (kind, zone, spot, free) in &mut coming {
                    if left > 0 && fits(kind, zone, *spot) && only.as_ref().is_none_or(|z| z == zone) {
                        let n = free.count_of(d.room).clamp(0, left);
                        *free = *free - d.room.times(n);
                        left -= n;
                    }
                }
            }
            if left <= 0 {
                continue;
            }
            let mut options: Vec<(f64, ScaleOut)> = Vec::new();
            for t in self.types.values() {
                let each = t.room().count_of(d.room).min(i64::from(u32::MAX));
                if each <= 0 {
                    continue;
                }
                for zone in &t.zones {
                    for spot in [false, true] {
                        if !fits(&t.name, zone, spot)
                            || only.as_ref().is_some_and(|z| z != zone)
                            || self.no_capacity.contains_key(&(t.name.clone(), zone.clone(), spot))
                        {
                            continue;
                        }
                        let count = ((left + each - 1) / each).min(i64::from(RENT_LIMIT)) as u32;
                        // What is kept from this work is of use to it only once there is enough.
                        let same = |k: &str, s: bool| k == t.name && s == spot;
                        let there = usable.iter().filter(|(k, _, s, _)| same(k, *s)).count()
                            + coming.iter().filter(|(k, _, s, _)| same(k, *s)).count()
                            + count as usize;
                        let enough = self.enough.get(&(t.name.clone(), spot)).copied().unwrap_or(0);
                        if kept(&t.name, spot, d.priority) && there < enough {
                            continue;
                        }
                        let price = if spot { t.spot_price } else { t.price };
                        // For a large backlog the price of room counts, for a small one that of
                        // the machines it takes.
                        let cost = price * f64::from(count).max(left as f64 / each as f64);
                        let r = ScaleOut {
                            name: String::new(),
                            kind: t.name.clone(),
                            zone: zone.clone(),
                            spot,
                            count,
                        };
                        options.push((cost, r));
                    }
                }
            }
            options.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, mut r)) = options.into_iter().next() {
                self.rentals += 1;
                r.name = format!("r-{:016x}-{}", self.boot, self.rentals);
                return Some(r);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind(name: &str, cpus: f64) -> MachineType {
        MachineType {
            name: name.into(),
            cpus,
            gpus: 0.0,
            memory_gb: 64.0,
            price: cpus,
            spot_price: cpus / 3.0,
            boot_s: 40.0,
            zones: vec!["a".into()],
        }
    }
    fn shape(cpus: f64, spot: bool, priority: u8) -> Demand {
        Demand {
            room: Resources::need(cpus, 0.0, 1.0),
            kinds: Vec::new(),
            zone: None,
            one_zone: false,
            spot,
            count: 0,
            estimate: Micros(0),
            priority,
            horizon: Micros(0),
            together: 1,
        }
    }
    fn settings() -> Settings {
        let text = "member = \"c0\"\napi_addr = \"10.0.0.1:1\"\nback = \"10.0.0.1:2\"\n[outside]\ncloud = \"10.0.0.9:1\"\n\
            state = \"10.0.0.9:2\"\n[settings.workers]\nreport_s = 3.0\nlease_s = 18.0\ngang_wait_s = 30.0\n\
            gang_peer_s = 6.0\ncancel_s = 43.0\n[settings.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 4.0\n\
            txn_ops = 8\n[settings.cloud]\nrps = 8.0\nlist_lag_s = 8.0\n";
        Settings::parse("test", text).expect("valid")
    }
    pub(super) fn fleet(shapes: Vec<Demand>) -> Autoscaler {
        let mut f = Autoscaler::new(1, &settings());
        for t in [kind("small", 4.0), kind("large", 32.0)] {
            f.types.insert(t.name.clone(), t);
        }
        f.demand(Micros(1), 0, shapes);
        f.keep(Micros(2), &[]);
        f
    }

    #[test]
    fn big_machines_are_left_to_work_that_fits_nowhere_else() {
        let f = fleet(vec![shape(30.0, false, 2), shape(1.0, true, 0)]);
        assert_eq!(f.kept, vec![("large".to_owned(), false, 2)]);
    }

    /// Found by the simulated world: work that may use ordinary machines only starved, since all
    /// of them were left to more urgent work.
    #[test]
    fn nothing_is_kept_from_work_that_has_nowhere_else_to_go() {
        let f = fleet(vec![shape(4.0, false, 1), shape(1.0, false, 0), shape(1.0, true, 0)]);
        assert_eq!(f.kept, Vec::new());
    }

    pub(super) fn machine(i: usize, kind: &str, free: f64, total: f64) -> MachineSnapshot {
        let d = crate::peer::MachineStatus {
            name: format!("i-{i:03}"),
            kind: kind.into(),
            zone: "a".into(),
            spot: false,
            standing: InventoryState::Known,
            open: true,
            notice: None,
            free: Resources::need(free, 0.0, 64.0),
            total: Resources::need(total, 0.0, 64.0),
            by_priority: vec![(0, Resources::need(total - free, 0.0, 0.0))],
            images: Vec::new(),
            busy: (total - free) as u32,
            idle: None,
            silent: None,
            tasks: Vec::new(),
        };
        MachineSnapshot::new(Micros(1), d)
    }

    fn by_name(list: &[MachineSnapshot]) -> BTreeMap<&str, &MachineSnapshot> {
        list.iter().map(|d| (d.name.as_str(), d)).collect()
    }

    /// Seen on a day with GPUs: all ordinary machines were left to gangs, and arrays had a few spot machines.
    #[test]
    fn a_few_spot_machines_are_nowhere_else_to_go() {
        let gang = Demand { room: Resources::need(96.0, 8.0, 1.0), together: 4, ..shape(96.0, false, 11) };
        let array = Demand { room: Resources::need(8.0, 1.0, 1.0), ..shape(8.0, true, 10) };
        let kept = |spots: usize| {
            let mut f = fleet(vec![gang.clone(), array.clone()]);
            f.types.insert("g".into(), MachineType { gpus: 8.0, ..kind("g", 96.0) });
            let mut seen: Vec<MachineSnapshot> = (0..60).map(|i| machine(i, "large", 0.0, 32.0)).collect();
            for i in 0..12 + spots {
                let d = machine(100 + i, "g", 96.0, 96.0);
                let total = Resources::need(96.0, 8.0, 64.0);
                seen.push(MachineSnapshot::new(
                    Micros(1),
                    crate::peer::MachineStatus { total, spot: i >= 12, ..(*d).clone() },
                ));
            }
            f.keep(Micros(2), &seen.iter().collect::<Vec<_>>());
            f.kept.len()
        };
        assert_eq!((kept(2), kept(8)), (0, 1));
    }

    /// Small tasks on all big machines but a few: gangs find those few, and the rest is not idle.
    #[test]
    fn of_many_big_machines_some_are_left_to_gangs_and_stay_the_same() {
        let mut f = fleet(vec![Demand { together: 3, ..shape(30.0, false, 2) }, shape(1.0, true, 0)]);
        let mut seen: Vec<MachineSnapshot> =
            (0..60).map(|i| machine(i, "large", if i < 6 { 20.0 } else { 2.0 }, 32.0)).collect();
        f.keep(Micros(2), &seen.iter().collect::<Vec<_>>());
        assert_eq!(f.kept, Vec::new(), "enough of them that a part will do");
        let first = f.reserve.clone();
        assert_eq!(first.len(), 6, "two gangs of three");
        assert!(first.keys().all(|n| n.as_str() < "i-006"), "those that are emptiest");
        seen.extend((60..70).map(|i| machine(i, "large", 32.0, 32.0)));
        f.keep(Micros(3), &seen.iter().collect::<Vec<_>>());
        assert_eq!(f.reserve, first, "a choice that moved on would empty one machine after another");
        f.keep(Micros(4), &seen[..8].iter().collect::<Vec<_>>());
        assert!(!f.kept.is_empty(), "of a few, all are left to the gangs");
    }

    #[test]
    fn headroom_follows_what_runs_and_ends_with_it() {
        let f = fleet(vec![]);
        let promised = Resources { cpus: 1_000_000, ..Resources::default() };
        let full: Vec<MachineSnapshot> = (0..20).map(|i| machine(i, "large", 0.0, 32.0)).collect();
        // A quarter of 640 in use, which is less than a fifth of 1,000: 160, five machines.
        assert_eq!(
            headroom(promised, &f.types, &by_name(&full)).first().map(|d| (d.count, d.spot)),
            Some((6, false))
        );
        let idle: Vec<MachineSnapshot> = (0..20).map(|i| machine(i, "large", 32.0, 32.0)).collect();
        assert!(headroom(promised, &f.types, &by_name(&idle)).is_empty());
    }

    /// One machine every few seconds would keep a large fleet for minutes after a surge.
    #[test]
    fn clear_surplus_goes_in_batches_and_queued_work_stops_that() {
        let mut f = fleet(vec![]);
        f.usual = Some((Resources::need(1.0, 0.0, 1.0), Micros(20_000_000), Micros(60_000_000)));
        let idle: Vec<MachineSnapshot> = (0..100).map(|i| machine(i, "small", 3.0, 4.0)).collect();
        let by_name = by_name(&idle);
        let old = |d: &MachineSnapshot| Listed {
            name: d.name.clone(),
            kind: d.kind.clone(),
            zone: d.zone.clone(),
            spot: false,
            state: "running".into(),
            age_s: 100.0,
        };
        f.listed = Some(idle.iter().map(|d| (d.name.clone(), old(d))).collect());
        f.shrink(Micros(10_000_000), &by_name);
        assert_eq!(f.spare.len(), 10);
        f.spare.clear();
        let queue = Demand {
            count: 5,
            estimate: Micros(20_000_000),
            horizon: Micros(60_000_000),
            ..shape(1.0, true, 0)
        };
        f.demand(Micros(20_000_000), 0, vec![queue]);
        f.shrink(Micros(20_000_000), &by_name);
        assert_eq!(f.spare.len(), 1);
    }

    /// Met by on-call: one machine that never came up held up the work it was rented for until it was
    /// given back. All of them late at once must not be rented again.
    #[test]
    fn a_machine_that_does_not_come_is_replaced_but_not_a_whole_surge() {
        for (rented, replaced) in [(1u64, 1), (20, 2)] {
            let mut f = fleet(vec![]);
            let waits = Demand { count: 8 * rented as u32, ..shape(4.0, false, 1) };
            let since = Micros(1_000_000);
            for i in 0..rented {
                let c = Coming { kind: "large".into(), zone: "a".into(), spot: false, since };
                f.coming.insert(format!("i-{i}"), c);
            }
            let mut rent = |s: u64| {
                let now = Micros(s * 1_000_000);
                f.demand(now, 0, vec![waits.clone()]);
                f.rent(now, &BTreeMap::new()).map(|r| (r.kind, r.count))
            };
            assert_eq!(rent(50), None, "boots take 40 s");
            let room = rent(90).map(|(kind, n)| n * if kind == "large" { 8 } else { 1 });
            assert_eq!(room, Some(8 * replaced), "{rented} rented");
        }
    }

    /// Measured on the fleet sites: while takeovers followed one another in a surge, the work that waited for them
    /// asked for nothing, and some 600 machines that idled for its want were returned and rented anew.
    #[test]
    fn while_a_takeover_is_under_way_only_what_has_failed_goes_back() {
        let mut f = fleet(vec![]);
        let late = Micros(200_000_000);
        let mut seen: Vec<MachineSnapshot> = (0..9).map(|i| machine(i, "small", 4.0, 4.0)).collect();
        for (i, d) in seen.iter_mut().enumerate() {
            (d.idle_since, d.silent_since) = (Some(Micros(1)), (i == 4).then_some(Micros(1)));
        }
        let by_name = by_name(&seen);
        assert_eq!(f.returns(late, &by_name, Micros(1), false), ["i-004"], "the silent one");
        assert!(f.drain.is_empty(), "the others stay open to the work that waits");
        f.returns(late, &by_name, Micros(1), true);
        assert_eq!(f.drain.len(), 8, "a moment later they may go");
    }

    #[test]
    fn a_rental_without_an_answer_is_repeated_under_its_name() {
        let mut f = fleet(vec![]);
        let wants = Demand { count: 9, ..shape(1.0, false, 1) };
        f.listed = Some(BTreeMap::new());
        let mut names = BTreeSet::new();
        for i in 1..60u64 {
            let now = Micros(i * 1_000_000);
            f.demand(now, 0, vec![wants.clone()]);
            if let Some(r) = f.next(now, true, &[], true, true, &[0]) {
                let answer = match &r {
                    CloudRequest::List(_) => CloudAnswer::Page(Vec::new(), false),
                    CloudRequest::Types => CloudAnswer::Types(f.types.values().cloned().collect()),
                    CloudRequest::Rent(r) => {
                        names.insert(r.name.clone());
                        CloudAnswer::Failed
                    }
                    CloudRequest::Return(_) => CloudAnswer::Returned,
                };
                f.answer(now, &r, answer);
            }
        }
        assert_eq!(names.len(), 1, "{names:?}");
    }
}
