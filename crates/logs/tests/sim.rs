//! Stores, shippers and readers under seeded failures: crashes between any two steps and between a write and its
//! sync, cuts, slow and full disks, disks that die, stores that join and leave. What was acknowledged can be read
//! back, in order and once, or a gap stands there.

mod common;

use common::Platter;
use hazelsaddle_cluster::time::Micros;
use hazelsaddle_cluster::transport::Framed;
use hazelsaddle_logs::chunk::{Chunk, Gap, Kind};
use hazelsaddle_logs::key::{AttemptKey, StreamKey};
use hazelsaddle_logs::limits::Rates;
use hazelsaddle_logs::members::{List, Member, Members};
use hazelsaddle_logs::replica::{Effect, Event, Read, Replica, ReplicaOptions, Reply};
use hazelsaddle_logs::segment_store::{SegmentStore, SegmentStoreOptions};
use hazelsaddle_logs::spool::{Offer, Policy, Spool, SpoolOptions};
use hazelsaddle_logs::wire::{Answer, Ask, Batch, FORM, Frame, Page, Request};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::{BTreeMap, BTreeSet};

const S: u64 = 1_000_000;

struct Store {
    platter: Platter,
    node: Option<Replica>,
    back_at: u64,
    /// Effects of a step that were not let out yet, and whether a flush is due.
    dirty: bool,
    list: List,
}

struct Shipper {
    key: StreamKey,
    spool: Spool,
    token: u64,
    written: u32,
    target: usize,
    /// Numbers under way, and when they were sent.
    flight: Option<(u64, Vec<u32>, u64)>,
    next: u64,
    acked: BTreeMap<u32, Chunk>,
    ends_at: u64,
    dead: bool,
    failed: Option<u16>,
}

enum What {
    Peer(usize, Frame),
    Ask(usize, u64, Request),
    Answer(usize, u64, Answer),
}

struct World {
    rng: StdRng,
    now: u64,
    serial: u64,
    queue: BTreeMap<(u64, u64), What>,
    stores: Vec<Store>,
    shippers: Vec<Shipper>,
    tickets: BTreeMap<u64, (usize, u64)>,
    cuts: Vec<(usize, usize, u64)>,
    replies: BTreeMap<u64, Reply>,
    flips: bool,
    /// Nothing fails of itself.
    calm: bool,
    /// No disk dies and no bit rots: copies can be counted.
    counts: bool,
    options: ReplicaOptions,
    crashes: u32,
}

fn member(i: usize) -> Member {
    Member {
        name: format!("s{i}"),
        zone: ["a", "b", "c"][i % 3].into(),
        link: format!("10.0.0.{}:1", i + 1),
        peer: format!("10.0.0.{}:3", i + 1),
        http: format!("10.0.0.{}:2", i + 1),
        leaving: false,
    }
}

impl World {
    fn new(seed: u64, stores: usize) -> World {
        let list = List { version: 1, members: (0..stores).map(member).collect() };
        let mut w = World {
            rng: StdRng::seed_from_u64(seed),
            now: S,
            serial: 0,
            queue: BTreeMap::new(),
            stores: Vec::new(),
            shippers: Vec::new(),
            tickets: BTreeMap::new(),
            cuts: Vec::new(),
            replies: BTreeMap::new(),
            flips: false,
            calm: false,
            counts: true,
            options: ReplicaOptions {
                heal_every: Micros::from_millis(2),
                heal_bytes: 1 << 20,
                rates: Rates { attempt: 1 << 20, job: 1 << 20, team: 1 << 20 },
                ..ReplicaOptions::default()
            },
            crashes: 0,
        };
        for i in 0..stores {
            w.add_store(i, list.clone());
        }
        w
    }

    fn add_store(&mut self, i: usize, list: List) {
        assert_eq!(i, self.stores.len());
        self.stores.push(Store { platter: Platter::new(), node: None, back_at: 0, dirty: false, list });
        self.start(i);
    }

    fn start(&mut self, i: usize) {
        let s = &mut self.stores[i];
        let shelf = SegmentStoreOptions {
            segment_bytes: 20_000,
            checkpoint_bytes: 30_000,
            cache_bytes: 1 << 20,
            ..Default::default()
        };
        let (shelf, recovery) =
            SegmentStore::open(s.platter.open(), shelf, self.now).expect("a store starts");
        let options = ReplicaOptions { name: format!("s{i}"), ..self.options.clone() };
        s.node = Some(Replica::new(options, s.list.clone(), shelf, recovery, Micros(self.now)));
        s.dirty = false;
    }

    fn crash(&mut self, i: usize) {
        self.crashes += 1;
        self.stores[i].platter.crash(&mut self.rng);
        self.stores[i].node = None;
        self.stores[i].back_at = self.now + self.rng.random_range(S / 2..8 * S);
    }

    fn add_shipper(&mut self, task: u32, policy: Policy) {
        let key = StreamKey::log(AttemptKey::new("wk-7", task, 1).expect("valid"));
        let options = SpoolOptions { policy, bytes: 4000, chunk: 500, linger: 100_000 };
        let ends_at = self.now + self.rng.random_range(5 * S..60 * S);
        let target = self.rng.random_range(0..self.stores.len());
        self.shippers.push(Shipper {
            key,
            spool: Spool::new(options),
            token: u64::from(task) + 100,
            written: 0,
            target,
            flight: None,
            next: self.now,
            acked: BTreeMap::new(),
            ends_at,
            dead: false,
            failed: None,
        });
    }

    fn later(&mut self, delay: u64, what: What) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), what);
    }

    /// Shippers are behind end 99.
    fn travel(&mut self, a: usize, b: usize) -> Option<u64> {
        let now = self.now;
        let cut =
            self.cuts.iter().any(|&(x, y, until)| ((x, y) == (a, b) || (y, x) == (a, b)) && now < until);
        if cut || (!self.calm && self.rng.random_bool(0.01)) {
            return None;
        }
        Some(self.rng.random_range(200..3000) + if self.rng.random_bool(0.02) { 400_000 } else { 0 })
    }

    fn drive(&mut self, i: usize, event: Event) {
        let mut out = Vec::new();
        let (now, wall) = (Micros(self.now), self.now);
        let Some(node) = self.stores[i].node.as_mut() else { return };
        node.step(now, wall, event, &mut out);
        self.stores[i].dirty = true;
        if !self.calm && self.rng.random_bool(0.002) {
            // Between a step and what it let out.
            return self.crash(i);
        }
        self.let_out(i, out);
        if self.rng.random_bool(0.4) {
            self.flush(i);
        }
    }

    fn flush(&mut self, i: usize) {
        let dies = !self.calm && self.rng.random_bool(0.003);
        if dies {
            self.stores[i].platter.die_after(1);
        }
        let mut out = Vec::new();
        let Some(node) = self.stores[i].node.as_mut() else { return };
        node.flush(Micros(self.now), self.now, &mut out);
        self.stores[i].dirty = false;
        if self.stores[i].platter.is_dying() {
            // Between the write and its sync; nothing of what follows was ever said.
            return self.crash(i);
        }
        if dies {
            self.stores[i].platter.live_on();
        }
        self.let_out(i, out);
    }

    fn let_out(&mut self, i: usize, out: Vec<Effect>) {
        for e in out {
            match e {
                Effect::Send(to, frame) => {
                    let n: usize = to[1..].parse().expect("a name");
                    let bytes = frame.encode().expect("frames can be encoded");
                    let frame = Frame::decode(&bytes[4..]).expect("and read again");
                    if n < self.stores.len()
                        && let Some(d) = self.travel(i, n)
                    {
                        self.later(d, What::Peer(n, frame));
                    }
                }
                Effect::Answer(ticket, answer) => {
                    if let Some((shipper, id)) = self.tickets.remove(&ticket)
                        && let Some(d) = self.travel(i, 99)
                    {
                        self.later(d, What::Answer(shipper, id, answer));
                    }
                }
                Effect::Reply(ticket, reply) => {
                    self.replies.insert(ticket, reply);
                }
            }
        }
    }

    fn run_shipper(&mut self, k: usize) {
        let now = self.now;
        let s = &mut self.shippers[k];
        if s.dead || s.failed.is_some() {
            return;
        }
        if now < s.ends_at {
            for _ in 0..self.rng.random_range(0..6) {
                let line =
                    format!("{} {} {}\n", s.key.of.task, s.written, "y".repeat(s.written as usize % 50));
                match s.spool.offer(now, Kind::Out, line.as_bytes()) {
                    Offer::Taken => s.written += 1,
                    Offer::Full(0) => break,
                    Offer::Full(_) => panic!("a short line is taken whole or not at all"),
                }
            }
        } else if !s.spool.is_closed() {
            s.spool.close(now, "done");
        }
        if let Some((_, _, sent)) = &s.flight
            && now > sent + 3 * S
        {
            // Nobody answered: the next store clockwise.
            s.flight = None;
            s.target += 1;
        }
        if s.flight.is_some() || now < s.next {
            return;
        }
        let again = s.spool.unacked();
        let chunks = s.spool.batch(now, 2000, again);
        if chunks.is_empty() {
            return;
        }
        let candidates: Vec<usize> = {
            let list = self.stores[0].list.clone();
            let members = Members::new(list);
            let names = members.clockwise(s.key.of.place());
            names.iter().map(|m| m.name[1..].parse().expect("a name")).collect()
        };
        let to = candidates[s.target % candidates.len()];
        self.serial += 1;
        let id = self.serial;
        s.flight = Some((id, chunks.iter().map(|c| c.n).collect(), now));
        let batch = Batch { stream: s.key.clone(), team: "t".into(), token: s.token, chunks };
        let request = Request { form: FORM, ask: Ask::Append { batch, stalled: 0 } };
        self.tickets.insert(id, (k, id));
        // A request may be repeated by a network that duplicates, or arrive late.
        for _ in 0..1 + u32::from(self.rng.random_bool(0.02)) {
            if let Some(d) = self.travel(99, to) {
                self.later(d, What::Ask(to, id, request.clone()));
            }
        }
    }

    fn answered(&mut self, k: usize, id: u64, answer: Answer) {
        let now = self.now;
        let s = &mut self.shippers[k];
        if s.flight.as_ref().is_none_or(|f| f.0 != id) {
            return;
        }
        let Some((_, numbers, _)) = s.flight.take() else { return };
        let Answer::Ack(ack) = answer else { panic!("an append is answered by an ack") };
        match ack.status {
            200 => {
                let sent: Vec<Chunk> = s
                    .spool
                    .batch(0, usize::MAX, true)
                    .into_iter()
                    .filter(|c| numbers.contains(&c.n))
                    .collect();
                s.acked.extend(sent.into_iter().map(|c| (c.n, c)));
                s.spool.acked(numbers);
            }
            429 => s.next = now + u64::from(ack.retry_ms) * 1000,
            503 | 507 => {
                s.next = now + u64::from(ack.retry_ms) * 1000;
                s.target += 1;
            }
            other => s.failed = Some(other),
        }
    }

    /// Whatever was acknowledged would survive on two disks at least if all stores died right now. Reading it back later
    /// would not show one that is only on one.
    fn on_two_disks(&self) {
        let open = |s: &Store| {
            let o = SegmentStoreOptions { cache_bytes: 1 << 20, ..Default::default() };
            SegmentStore::open(s.platter.survivor().open(), o, self.now).expect("it opens").0
        };
        let shelves: Vec<SegmentStore> = self.stores.iter().map(open).collect();
        for s in &self.shippers {
            let held: Vec<_> = shelves
                .iter()
                .map(|shelf| shelf.stream(&s.key).expect("listed").map(|s| s.held).unwrap_or_default())
                .collect();
            for n in s.acked.keys() {
                let copies = held.iter().filter(|h| h.contains(*n)).count();
                assert!(copies >= 2, "{} chunk {n} is on {copies} disks at {}", s.key, self.now);
            }
        }
    }

    fn run(&mut self, end: u64, troubles: bool) {
        let mut next_look = self.now + S;
        self.calm = self.calm && !troubles;
        let mut next_trouble = self.now + S;
        while self.now < end {
            for i in 0..self.stores.len() {
                if self.stores[i].node.is_none() && self.now >= self.stores[i].back_at {
                    self.start(i);
                }
                let mut out = Vec::new();
                let now = self.now;
                if let Some(node) = self.stores[i].node.as_mut() {
                    node.tick(Micros(now), now, &mut out);
                    self.let_out(i, out);
                    self.flush(i);
                }
            }
            for k in 0..self.shippers.len() {
                self.run_shipper(k);
            }
            if self.counts && self.now >= next_look {
                next_look = self.now + 3 * S;
                self.on_two_disks();
            }
            if troubles && self.now >= next_trouble {
                next_trouble = self.now + self.rng.random_range(S / 2..6 * S);
                self.trouble();
            }
            let until = self.now + 20_000;
            while let Some((&(t, s), _)) = self.queue.first_key_value() {
                if t > until {
                    break;
                }
                let what = self.queue.remove(&(t, s)).expect("it is there");
                self.now = self.now.max(t);
                match what {
                    What::Peer(i, frame) => self.drive(i, Event::Peer(frame)),
                    What::Ask(i, ticket, request) => self.drive(i, Event::Ask(ticket, request)),
                    What::Answer(k, id, answer) => self.answered(k, id, answer),
                }
            }
            self.now = until;
        }
    }

    fn trouble(&mut self) {
        let (now, n) = (self.now, self.stores.len());
        let i = self.rng.random_range(0..n);
        let long = self.rng.random_range(S..10 * S);
        match self.rng.random_range(0..9) {
            0 | 1 => self.crash(i),
            2 => (0..n).for_each(|i| self.crash(i)),
            3 => self.cuts.push((i, 99, now + long)),
            4 => (0..n).for_each(|j| self.cuts.push((i, j, now + long))),
            5 => self.stores[i].platter.fail_next_sync(),
            6 => {
                let free =
                    if self.rng.random_bool(0.5) { Some(self.rng.random_range(0..5000)) } else { None };
                self.stores[i].platter.set_room(free);
            }
            7 => {
                if let Some(s) = self.shippers.iter_mut().find(|s| !s.dead) {
                    // The machine dies with what was not acknowledged.
                    s.dead = self.rng.random_bool(0.3);
                }
            }
            _ if self.flips => {
                self.stores[i].platter.flip(&mut self.rng);
            }
            _ => {}
        }
    }

    fn heal(&mut self, seconds: u64) {
        self.calm = true;
        self.cuts.clear();
        for s in &mut self.stores {
            s.platter.set_room(None);
            s.back_at = 0;
        }
        let end = self.now + seconds * S;
        self.run(end, false);
    }

    fn status(&mut self, i: usize) -> serde_json::Value {
        self.serial += 1;
        let ticket = self.serial;
        self.drive(i, Event::Read(ticket, Read::Status));
        let body = self.replies.remove(&ticket).expect("answered").body;
        serde_json::from_slice(&body).expect("JSON")
    }

    fn page(&mut self, i: usize, stream: &StreamKey, from: u32) -> Option<Page> {
        self.serial += 1;
        let ticket = self.serial;
        let read = Read::Chunks { stream: stream.clone(), from, wait: Micros(0) };
        self.stores[i].node.as_ref()?;
        self.drive(i, Event::Read(ticket, read));
        let reply = self.replies.remove(&ticket)?;
        Page::decode(&reply.body)
    }

    /// All chunks of a stream that any of these stores serves; two never differ.
    fn read(&mut self, stream: &StreamKey, from: &[usize]) -> BTreeMap<u32, Chunk> {
        let mut all: BTreeMap<u32, Chunk> = BTreeMap::new();
        for &i in from {
            let mut next = 0;
            while let Some(page) = self.page(i, stream, next) {
                let Some(last) = page.chunks.last() else { break };
                next = last.n + 1;
                for c in page.chunks {
                    let old = all.insert(c.n, c.clone());
                    assert!(old.is_none_or(|o| o == c), "{stream} {}: two stores differ", c.n);
                }
            }
        }
        all
    }

    /// Everything acknowledged is there, as it was sent; lines are in order, and those that are missing are counted.
    fn check(&mut self, seed: u64, from: &[usize]) -> (usize, u64) {
        let (mut chunks, mut gaps) = (0, 0);
        for k in 0..self.shippers.len() {
            let stream = self.shippers[k].key.clone();
            let all = self.read(&stream, from);
            let s = &self.shippers[k];
            assert_eq!(s.failed, None, "seed {seed}: {stream} was refused for good");
            for (n, c) in &s.acked {
                assert_eq!(all.get(n), Some(c), "seed {seed}: {stream} chunk {n} was acknowledged");
            }
            chunks += s.acked.len();
            let mut expected = 0u32;
            for (i, c) in all.values().enumerate() {
                if c.n as usize != i {
                    assert!(s.dead, "seed {seed}: {stream} has a hole at {i}");
                    break;
                }
                if c.kind == Kind::Gap {
                    let gap: Gap = serde_json::from_slice(&c.body).expect("a gap");
                    expected += gap.lines as u32;
                    gaps += gap.lines;
                }
                if c.kind == Kind::Out {
                    for line in std::str::from_utf8(&c.body).expect("text").lines() {
                        let head = format!("{} {expected} ", stream.of.task);
                        assert!(line.starts_with(&head), "seed {seed}: {line:?} where {head:?} should be");
                        expected += 1;
                    }
                }
            }
            if !s.dead {
                assert!(s.spool.is_empty(), "seed {seed}: {stream} is not through");
                assert_eq!(expected, s.written, "seed {seed}: {stream}: lines and gaps");
            }
        }
        (chunks, gaps)
    }

    /// Every owner holds all that any store holds.
    fn converged(&mut self, seed: u64) {
        let all: Vec<usize> = (0..self.stores.len()).filter(|&i| self.stores[i].node.is_some()).collect();
        for k in 0..self.shippers.len() {
            let stream = self.shippers[k].key.clone();
            let whole: BTreeSet<u32> = self.read(&stream, &all).into_keys().collect();
            let list = self.stores[all[0]].node.as_ref().expect("it runs").list().clone();
            let members = Members::new(list);
            for m in members.owners(stream.of.place(), self.options.copies) {
                let i: usize = m.name[1..].parse().expect("a name");
                let held: BTreeSet<u32> = self.read(&stream, &[i]).into_keys().collect();
                assert_eq!(held, whole, "seed {seed}: {stream} at {}", m.name);
            }
        }
    }
}

fn seeds(from: u64, n: u64) -> std::ops::Range<u64> {
    let given = std::env::var("SIM_SEEDS").ok();
    let range = given.as_deref().and_then(|g| g.split_once(".."));
    range.and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?)).unwrap_or(from..from + n)
}

#[test]
fn what_was_acknowledged_is_read_back_whatever_fails() {
    let (mut chunks, mut gaps, mut crashes) = (0, 0, 0);
    for seed in seeds(1, 40) {
        let mut w = World::new(seed, 3 + seed as usize % 3);
        w.flips = seed % 4 == 0;
        w.counts = !w.flips;
        for task in 0..8 {
            w.add_shipper(task, if task % 2 == 0 { Policy::Drop } else { Policy::Block });
        }
        let end = w.now + 70 * S;
        w.run(end, true);
        w.heal(40);
        let all: Vec<usize> = (0..w.stores.len()).collect();
        if w.flips {
            // What is damaged shows when it is read, and comes back from a copy.
            for k in 0..w.shippers.len() {
                let stream = w.shippers[k].key.clone();
                w.read(&stream, &all);
            }
            w.heal(20);
        }
        let (c, g) = w.check(seed, &all);
        w.converged(seed);
        (chunks, gaps, crashes) = (chunks + c, gaps + g, crashes + w.crashes);
    }
    assert!(
        chunks > 5000 && gaps > 0 && crashes > 300,
        "{chunks} chunks, {gaps} lines in gaps, {crashes} crashes"
    );
}

/// One disk at a time dies for good; after each the copies are healed onto the one that takes its place.
#[test]
fn a_disk_that_dies_takes_nothing_with_it() {
    for seed in seeds(100, 4) {
        let mut w = World::new(seed, 3);
        w.counts = false;
        for task in 0..6 {
            w.add_shipper(task, Policy::Block);
        }
        for i in 0..3 {
            let end = w.now + 15 * S;
            w.run(end, true);
            w.heal(25);
            w.stores[i].node = None;
            w.stores[i].platter = Platter::new();
            w.start(i);
            w.heal(25);
        }
        w.heal(20);
        w.check(seed, &[0, 1, 2]);
        w.converged(seed);
    }
}

/// A store joins and takes over its part; another leaves, says when it has handed everything over, and is switched
/// off. Writers write all the while.
#[test]
fn stores_join_and_leave_without_a_line_lost() {
    for seed in seeds(200, 6) {
        let mut w = World::new(seed, 3);
        for task in 0..10 {
            w.add_shipper(task, Policy::Block);
        }
        let end = w.now + 20 * S;
        w.run(end, true);
        w.heal(1);
        let mut list = w.stores[0].node.as_ref().expect("it runs").list().clone();
        list.members.push(member(3));
        list.version += 1;
        w.add_store(3, list.clone());
        w.serial += 1;
        let ticket = w.serial;
        w.drive(1, Event::Read(ticket, Read::SetMembers(list.clone())));
        w.flush(1);
        assert_eq!(w.replies.remove(&ticket).map(|r| r.status), Some(200));
        w.stores.iter_mut().for_each(|s| s.list = list.clone());
        w.heal(30);
        // Everybody knows by now; store 0 leaves.
        for s in &w.stores {
            assert_eq!(s.node.as_ref().expect("it runs").list().version, 2, "seed {seed}");
        }
        list.members[0].leaving = true;
        list.version += 1;
        w.serial += 1;
        let ticket = w.serial;
        w.drive(2, Event::Read(ticket, Read::SetMembers(list.clone())));
        w.flush(2);
        assert_eq!(w.replies.remove(&ticket).map(|r| r.status), Some(200));
        w.stores.iter_mut().for_each(|s| s.list = list.clone());
        // It lets go of nothing while one of the owners can't say that it has everything.
        w.cuts.push((0, 3, u64::MAX));
        let end = w.now + 40 * S;
        w.run(end, false);
        assert_eq!(w.status(0)["handed_over"], false, "seed {seed}");
        w.heal(60);
        let status = w.status(0);
        assert_eq!(status["handed_over"], true, "seed {seed}: {status}");
        w.check(seed, &[1, 2, 3]);
        w.stores[0].node = None;
        w.stores[0].back_at = u64::MAX;
        w.converged(seed);
    }
}

/// Two operators change the list at once: all stores end up with the same one.
#[test]
fn two_lists_of_one_version_end_in_one() {
    let mut w = World::new(7, 4);
    let end = w.now + 2 * S;
    w.run(end, false);
    let base = w.stores[0].node.as_ref().expect("it runs").list().clone();
    for (i, leaving) in [(0, 2), (1, 3)] {
        let mut list = base.clone();
        list.version += 1;
        list.members[leaving].leaving = true;
        w.serial += 1;
        let ticket = w.serial;
        w.drive(i, Event::Read(ticket, Read::SetMembers(list)));
        w.flush(i);
    }
    w.heal(10);
    let lists: BTreeSet<String> =
        w.stores.iter().map(|s| format!("{:?}", s.node.as_ref().expect("it runs").list())).collect();
    assert_eq!(lists.len(), 1, "{lists:#?}");
    // Who read an older version than there is must read again.
    w.serial += 1;
    let ticket = w.serial;
    let mut list = base;
    list.version = 2;
    w.drive(0, Event::Read(ticket, Read::SetMembers(list)));
    w.flush(0);
    assert_eq!(w.replies.remove(&ticket).map(|r| r.status), Some(409));
}
