//! The guard's argument, checked over all interleavings of a small world, with the decisions that run.
//!
//! Two merges of one batch rest on run `s` of version 1. The version may be replaced at any moment; run `n` of version 2 is done
//! some time after that. Machines die, the owner changes once, commits are lost or come late, questions come late. No permit is
//! given on an old run, every newer version is marked on each write under way, fences rise, nobody is refused wrongly, no write
//! is cut short, no owner starts a merge on what was old before its time, and wherever things stand both merges can still
//! get done. With any guard taken out, one of these breaks.

use hazelsaddle_coordination::record_cache::CachedRecord;
use hazelsaddle_freshness::batch::{Batch, Permit, VersionChange, Writer};
use hazelsaddle_freshness::guard::{Merge, PermitAnswer, Verdict, decide_permit};
use hazelsaddle_freshness::settings::Settings;
use hazelsaddle_freshness::upstream::{BatchVersion, JobDeclaration, JobLookup, Run};
use std::collections::{BTreeSet, HashMap, VecDeque};

#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A merge starts only on a verdict.
    verdict: bool,
    /// A new owner looks anew.
    anew: bool,
    /// A change of the batch's record is conditional on the mark that was read.
    store_version: bool,
    /// A question is answered from a reading that began after it came.
    after_question: bool,
    /// Permits end only with their attempts.
    with_attempt: bool,
    /// The fence goes on rising when permits end.
    fence: bool,
    /// An older attempt's late question does not take a newer one's permit.
    overtaken: bool,
    /// Who writes is not stopped.
    writes_on: bool,
    /// Runs done under the batch supersede old ones.
    superseded: bool,
    /// A permit is given once it is on record.
    on_record: bool,
}

const ALL: Guards = Guards {
    verdict: true,
    anew: true,
    store_version: true,
    after_question: true,
    with_attempt: true,
    fence: true,
    overtaken: true,
    writes_on: true,
    superseded: true,
    on_record: true,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    attempt: u64,
    /// All was fresh when it came and ever since.
    fresh: bool,
    /// The owner has read the record since it came.
    read: bool,
    /// A commit for it is under way.
    busy: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Job {
    attempt: u64,
    runs: bool,
    done: bool,
    asks: Option<Question>,
    /// A question of an attempt that is over, still on its way.
    late: Option<Question>,
    /// What the attempt was answered with 200.
    given: Option<Permit>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum For {
    Permit(usize, Permit),
    Release,
    Version,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Change {
    epoch: u8,
    store_version: u8,
    next: Batch,
    what: For,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    batch: Batch,
    store_version: u8,
    /// Run `n` is done on record.
    again: bool,
    epoch: u8,
    /// All was old when this epoch began, and ever since.
    old_since: bool,
    /// What the owner has read: the record, its mark, and whether `n` was done.
    known: Option<(Batch, u8, bool)>,
    jobs: [Job; 2],
    changes: Vec<Change>,
    highest: u64,
    /// Attempts of a merge at the most.
    most: u64,
    broken: Option<&'static str>,
}

fn id(m: usize) -> String {
    format!("m{m}")
}

impl Guards {
    fn look(self, batch: &Batch, again: bool) -> (CachedRecord, Verdict) {
        let mut s = Settings::default();
        s.set("sources", "split").expect("valid");
        let of = BatchVersion { name: "b".into(), version: 1 };
        let says =
            JobDeclaration { class: Some("split".into()), batch: Some(of.clone()), dependencies: vec![] };
        let run = Run { job: "n".into(), class: "split".into(), version: 2 };
        let runs: BTreeSet<Run> = if again && self.superseded { [run].into() } else { [].into() };
        let held = CachedRecord::Present(batch.record());
        let merge = Merge { batch: of, dependencies: vec!["s".into()] };
        let v = merge.assess(&s, &held, |_| JobLookup::Ended(says.clone()), &runs);
        (held, v)
    }

    /// Whether all was fresh by the records themselves, whatever the guards.
    fn fresh(w: &World) -> bool {
        w.batch.version == 1 || w.again
    }

    fn next(self, w: &World) -> Vec<World> {
        let mut out = Vec::new();
        let mut then = |change: &dyn Fn(&mut World)| {
            let mut n = w.clone();
            change(&mut n);
            n.old_since &= !Guards::fresh(&n);
            for j in &mut n.jobs {
                for q in [&mut j.asks, &mut j.late].into_iter().flatten() {
                    q.fresh &= n.batch.version == 1 || n.again;
                }
            }
            self.judge(&mut n);
            if n != *w {
                out.push(n);
            }
        };
        let room = w.changes.len() < 2;
        then(&|n| {
            n.known = Some((n.batch.clone(), n.store_version, n.again));
            for q in n.jobs.iter_mut().flat_map(|j| [&mut j.asks, &mut j.late]).flatten() {
                q.read = true;
            }
        });
        if w.epoch == 0 {
            then(&|n| {
                n.epoch = 1;
                n.old_since = !Guards::fresh(n);
                if self.anew {
                    n.known = None;
                }
                for j in &mut n.jobs {
                    (j.asks, j.late) = (None, None);
                }
            });
        }
        // Somebody names version 2, from a reading of now; the change is applied later, or never.
        if room
            && !w.changes.iter().any(|c| c.what == For::Version)
            && let Ok(VersionChange::Raised(next)) = w.batch.put_version(2)
        {
            let c = Change { epoch: w.epoch, store_version: w.store_version, next, what: For::Version };
            then(&|n| n.changes.push(c.clone()));
        }
        if w.batch.version == 2 {
            then(&|n| n.again = true);
        }
        for (i, c) in w.changes.iter().enumerate() {
            then(&|n| {
                n.changes.remove(i);
                self.applied(n, c, true);
            });
            // Lost, or never carried out: whoever waits asks again.
            then(&|n| {
                n.changes.remove(i);
                self.applied(n, c, false);
            });
        }
        for (m, j) in w.jobs.iter().enumerate() {
            self.job(w, m, j, room, &mut then);
        }
        out
    }

    fn applied(self, n: &mut World, c: &Change, reached: bool) {
        let good =
            reached && c.epoch == n.epoch && (!self.store_version || c.store_version == n.store_version);
        if good {
            if c.next.version < n.batch.version {
                n.broken = Some("a version that goes back");
            }
            n.batch = c.next.clone();
            n.store_version += 1;
        }
        let For::Permit(m, p) = &c.what else { return };
        if good && !Guards::fresh(n) {
            n.broken = Some("a permit on an old run");
        }
        if good && p.fence <= n.highest {
            n.broken = Some("a fence that does not rise");
        }
        if good {
            n.highest = n.highest.max(p.fence);
        }
        let j = &mut n.jobs[*m];
        if j.asks.as_ref().is_some_and(|q| q.attempt == p.attempt) {
            j.asks = None;
            if good && j.runs && j.attempt == p.attempt {
                j.given = Some(p.clone());
            }
        }
        if j.late.as_ref().is_some_and(|q| q.attempt == p.attempt) {
            j.late = None;
        }
    }

    fn stop(j: &mut Job) {
        j.runs = false;
        j.given = None;
        if let Some(q) = j.asks.take() {
            j.late = Some(q);
        }
    }

    fn job(self, w: &World, m: usize, j: &Job, room: bool, then: &mut impl FnMut(&dyn Fn(&mut World))) {
        if j.done {
            return;
        }
        let known = w.known.as_ref();
        let seen = known.map(|(b, store_version, again)| (b, *store_version, self.look(b, *again)));
        let may = !self.verdict || seen.as_ref().is_some_and(|(.., (_, v))| v.may_start());
        if !j.runs && j.attempt < w.most && may {
            then(&|n| {
                let j = &mut n.jobs[m];
                (j.attempt, j.runs) = (j.attempt + 1, true);
                if n.old_since {
                    n.broken = Some("a start on what was old before");
                }
            });
        }
        if j.runs {
            if j.attempt + 1 < w.most {
                then(&|n| Guards::stop(&mut n.jobs[m]));
            }
            if j.asks.is_none() && j.given.is_none() {
                let q = Question { attempt: j.attempt, fresh: true, read: false, busy: false };
                then(&|n| n.jobs[m].asks = Some(q.clone()));
            }
            if j.given.is_some() {
                then(&|n| {
                    let j = &mut n.jobs[m];
                    (j.runs, j.done, j.given, j.late) = (false, true, None, None);
                });
            }
            if let Some((.., (held, v))) = &seen {
                let writer = Writer { job: id(m), attempt: j.attempt, task: None };
                let stops = match self.writes_on {
                    true => v.must_stop(held, &writer),
                    false => matches!(v, Verdict::Stale(..)),
                };
                // A stop that is decided from an older reading may meet a write that has begun since.
                let writes = w.batch.permit_of(&writer).is_some() && held_by(held, &writer);
                if stops {
                    then(&|n| {
                        if writes {
                            n.broken = Some("a write cut short");
                        }
                        Guards::stop(&mut n.jobs[m]);
                    });
                }
            }
        }
        for (late, q) in [(false, &j.asks), (true, &j.late)] {
            let (Some(q), Some((b, store_version, (held, v)))) = (q, &seen) else { continue };
            if q.busy || (self.after_question && !q.read) {
                continue;
            }
            let writer = Writer { job: id(m), attempt: q.attempt, task: None };
            let mut answer = decide_permit(v, held, &writer, 4000);
            if !self.overtaken && answer == PermitAnswer::Superseded {
                let mut without = (*b).clone();
                without.permits.retain(|p| p.job != writer.job);
                answer = decide_permit(v, &CachedRecord::Present(without.record()), &writer, 4000);
            }
            match answer {
                PermitAnswer::GrantAfterWrite(mut next, mut p) => {
                    if !self.fence {
                        p.fence = b.permits.iter().map(|p| p.fence).max().unwrap_or(0) + 1;
                        next.fence = p.fence;
                        next.permits.last_mut().expect("new").fence = p.fence;
                    }
                    let what = For::Permit(m, p.clone());
                    let c = Change { epoch: w.epoch, store_version: *store_version, next, what };
                    if room {
                        then(&|n| {
                            n.changes.push(c.clone());
                            let j = &mut n.jobs[m];
                            let q = if late { &mut j.late } else { &mut j.asks };
                            q.as_mut().expect("asked").busy = true;
                            if !self.on_record && !late {
                                (j.asks, j.given) = (None, Some(p.clone()));
                            }
                        });
                    }
                }
                PermitAnswer::AlreadyHeld(p) if !late => then(&|n| {
                    let j = &mut n.jobs[m];
                    (j.asks, j.given) = (None, Some(p.clone()));
                }),
                PermitAnswer::Stale(..) if !late => then(&|n| {
                    if q.fresh {
                        n.broken = Some("refused although all was fresh");
                    }
                    n.jobs[m].asks = None;
                    Guards::stop(&mut n.jobs[m]);
                }),
                _ => then(&|n| {
                    let j = &mut n.jobs[m];
                    if late { j.late = None } else { j.asks = None }
                }),
            }
        }
        // What has ended gives its permit back.
        if let Some((b, store_version, _)) = known
            && room
        {
            let jobs = &w.jobs;
            let over = |p: &Permit| {
                let j = &jobs[usize::from(p.job == "m1")];
                p.attempt < j.attempt || !j.runs || !self.with_attempt
            };
            if let Some(next) = b.release_permits(over) {
                let c = Change { epoch: w.epoch, store_version: *store_version, next, what: For::Release };
                if !w.changes.contains(&c) {
                    then(&|n| n.changes.push(c.clone()));
                }
            }
        }
    }

    /// What must hold in every state.
    fn judge(self, n: &mut World) {
        for (m, j) in n.jobs.iter().enumerate() {
            let Some(p) = &j.given else { continue };
            let writer = Writer { job: id(m), attempt: j.attempt, task: None };
            if n.batch.permit_of(&writer) != Some(p) {
                n.broken = Some("a permit that is not on record");
            } else if n.batch.version > p.version
                && !n.batch.outdated_writes.iter().any(|(_, f)| *f == p.fence)
            {
                n.broken = Some("a newer version that is not marked as after the write");
            }
        }
    }
}

fn held_by(held: &CachedRecord, w: &Writer) -> bool {
    matches!(held, CachedRecord::Present(r) if Batch::read(r) .is_ok_and( | b | b.permit_of(w) .is_some() ) )
}

struct Explored {
    states: usize,
    /// All of it was searched.
    whole: bool,
    broken: BTreeSet<&'static str>,
    stuck: Option<World>,
    /// Some merge has waited for the new run, and got done.
    went_on: bool,
}

fn explore(g: Guards, most: usize) -> Explored {
    let first = World {
        batch: Batch::new(1),
        store_version: 1,
        again: false,
        epoch: 0,
        old_since: false,
        known: None,
        jobs: [Job::default(), Job { done: true, ..Job::default() }],
        changes: vec![],
        highest: 0,
        most: 3,
        broken: None,
    };
    let second = World { jobs: [Job::default(), Job::default()], most: 2, ..first.clone() };
    let mut e = Explored { states: 0, whole: true, broken: BTreeSet::new(), stuck: None, went_on: false };
    for first in [first, second] {
        let mut number = HashMap::from([(first.clone(), 0usize)]);
        let mut back: Vec<Vec<usize>> = vec![vec![]];
        let mut all = vec![first.clone()];
        let mut queue = VecDeque::from([0usize]);
        while let Some(i) = queue.pop_front() {
            if all.len() > most {
                break;
            }
            let w = all[i].clone();
            if let Some(why) = w.broken {
                e.broken.insert(why);
                continue;
            }
            for n in g.next(&w) {
                let k = *number.entry(n.clone()).or_insert_with(|| {
                    all.push(n);
                    back.push(vec![]);
                    queue.push_back(all.len() - 1);
                    all.len() - 1
                });
                back[k].push(i);
            }
        }
        let over = |w: &World| w.jobs.iter().all(|j| j.done);
        let whole = all.len() <= most && e.broken.is_empty();
        let mut good: Vec<bool> = all.iter().map(over).collect();
        let mut reach: Vec<usize> = (0..all.len()).filter(|i| good[*i]).collect();
        e.went_on |= all.iter().any(|w| over(w) && w.again && w.batch.outdated_writes.is_empty());
        while let Some(i) = reach.pop() {
            for &b in &back[i] {
                if !std::mem::replace(&mut good[b], true) {
                    reach.push(b);
                }
            }
        }
        if whole && let Some(i) = good.iter().position(|g| !g) {
            e.stuck.get_or_insert_with(|| all[i].clone());
        }
        e.states += all.len();
        e.whole &= all.len() <= most;
    }
    e
}

#[test]
fn no_interleaving_writes_on_old_runs_or_waits_for_ever() {
    let e = explore(ALL, 3_000_000);
    println!("{} states, all {}", e.states, e.whole);
    assert!(e.broken.is_empty(), "{:?}", e.broken);
    assert!(e.stuck.is_none(), "stuck: {:#?}", e.stuck);
    assert!(e.went_on && e.states > 5000, "{} states", e.states);
}

#[test]
fn without_any_one_guard_some_interleaving_does() {
    let without = [
        ("verdict", Guards { verdict: false, ..ALL }, "a start on what was old before"),
        ("anew", Guards { anew: false, ..ALL }, "a start on what was old before"),
        ("mark", Guards { store_version: false, ..ALL }, "a version that goes back"),
        ("after question", Guards { after_question: false, ..ALL }, "refused although all was fresh"),
        ("with attempt", Guards { with_attempt: false, ..ALL }, "a permit that is not on record"),
        ("fence", Guards { fence: false, ..ALL }, "a fence that does not rise"),
        ("overtaken", Guards { overtaken: false, ..ALL }, "a permit that is not on record"),
        ("writes on", Guards { writes_on: false, ..ALL }, "a write cut short"),
        ("superseded", Guards { superseded: false, ..ALL }, "refused although all was fresh"),
        ("on record", Guards { on_record: false, ..ALL }, "a permit that is not on record"),
    ];
    for (name, guards, what) in without {
        let e = explore(guards, 60_000);
        assert!(e.broken.contains(what), "without {name}: {:?}", e.broken);
    }
}
