//! The argument for opening a rotation, checked over all interleavings.
//!
//! One set, two renders, three controllers. Two of them close it, count its members and open the rotation, both at once if it comes to
//! that; each render is accepted by a controller of its own; the third takes an operator's `reopen`, once. What a controller holds of the
//! record may be old. Every write may be lost or applied at any later time, also when its sender has forgotten it in a
//! crash. Never may the rotation have started while a render that was accepted is not done on record; and as long as
//! none was cancelled, the rotation can still start, wherever it has all got to. With any guard taken out, a way to break that is found.

use std::collections::{HashMap, VecDeque};

/// The guards of `docs/releases.md`.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A render is accepted on condition of the mark of the open record.
    join_on_mark: bool,
    /// The census begins once *closing* is on record.
    closing_first: bool,
    /// Live records are read before final ones.
    live_before_ends: bool,
    /// *Closed* is written on condition of the mark that the census began at.
    closed_on_mark: bool,
    /// Pages belong to a version.
    page_of_version: bool,
    /// A render counts as done from its record alone.
    from_records: bool,
    /// All members must be done.
    all_members: bool,
    /// *Rotated* is written on condition of the mark that the verdict was made of.
    rotated_on_mark: bool,
    /// *Rotated* is on record before a task starts.
    rotated_first: bool,
    /// What has rotated is not reopened.
    no_reopen_after: bool,
    /// It is reopened on condition of the mark.
    reopen_on_mark: bool,
}

const ALL: Guards = Guards {
    join_on_mark: true,
    closing_first: true,
    live_before_ends: true,
    closed_on_mark: true,
    page_of_version: true,
    from_records: true,
    all_members: true,
    rotated_on_mark: true,
    rotated_first: true,
    no_reopen_after: true,
    reopen_on_mark: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Open,
    Closing,
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Head {
    store_version: u8,
    version: u8,
    phase: Phase,
    rotated: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Job {
    Absent,
    Live,
    /// Its tasks have ended; that is not on record, and a crash forgets it.
    Ended,
    Done,
    Cancelled,
}

/// How far a count of members has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Census {
    NotStarted,
    /// The first half of the records is read.
    Half(u8),
    Whole(u8),
    /// The page is on record.
    Paged,
}

/// A controller that closes sets and opens rotations: what it holds, and its writes on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Closer {
    held: Option<Head>,
    census: Census,
    /// A page, and the version that it is for.
    page: Option<(u8, u8)>,
    /// A head, and the mark that its writer held.
    head: Option<(u8, Head)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    head: Head,
    pages: [Option<u8>; 2],
    jobs: [Job; 2],
    /// An acceptance on the way, with the mark that its controller held.
    joins: [Option<u8>; 2],
    closers: [Closer; 2],
    reopen: Option<(u8, Head)>,
    reopened: bool,
    started: bool,
}

const FIRST: State = State {
    head: Head { store_version: 1, version: 0, phase: Phase::Open, rotated: false },
    pages: [None; 2],
    jobs: [Job::Absent; 2],
    joins: [None; 2],
    closers: [Closer { held: None, census: Census::NotStarted, page: None, head: None }; 2],
    reopen: None,
    reopened: false,
    started: false,
};

impl State {
    fn broken(&self) -> bool {
        self.started && self.jobs.iter().any(|j| matches!(j, Job::Live | Job::Ended | Job::Cancelled))
    }
    fn found(&self, of: impl Fn(Job) -> bool) -> u8 {
        (0..2).filter(|&j| of(self.jobs[j])).map(|j| 1 << j).sum()
    }
    fn put(&mut self, head: Head) {
        self.head = Head { store_version: self.head.store_version + 1, ..head };
    }
}

impl Guards {
    fn shelf(self, version: u8) -> usize {
        if self.page_of_version { usize::from(version) } else { 0 }
    }

    fn is_done(self, j: Job) -> bool {
        j == Job::Done || (!self.from_records && j == Job::Ended)
    }

    /// Whether all members on the page of this head are done, as far as its reader asks.
    fn opens(self, s: &State, head: Head) -> bool {
        let Some(members) = s.pages[self.shelf(head.version)] else { return false };
        let done = |j: &usize| self.is_done(s.jobs[*j]);
        let mut members = (0..2).filter(|j| members & (1 << j) != 0).peekable();
        members.peek().is_none()
            || if self.all_members { members.all(|j| done(&j)) } else { members.any(|j| done(&j)) }
    }

    /// All that may happen next.
    fn next(self, s: &State) -> Vec<State> {
        let mut out = Vec::new();
        let mut then = |change: &dyn Fn(&mut State)| {
            let mut n = *s;
            change(&mut n);
            // Which of the two is which makes no difference.
            n.closers.sort();
            if n != *s {
                out.push(n);
            }
        };
        for j in 0..2 {
            // The controller has just read the record; it may have changed by the time that the write is applied.
            if s.jobs[j] == Job::Absent && s.joins[j].is_none() && s.head.phase == Phase::Open {
                then(&|n| n.joins[j] = Some(s.head.store_version));
            }
            if let Some(store_version) = s.joins[j]
                && (store_version == s.head.store_version || !self.join_on_mark)
            {
                then(&|n| (n.joins[j], n.jobs[j]) = (None, Job::Live));
            }
            match s.jobs[j] {
                Job::Live => {
                    then(&|n| n.jobs[j] = Job::Ended);
                    then(&|n| n.jobs[j] = Job::Cancelled);
                }
                Job::Ended => {
                    then(&|n| n.jobs[j] = Job::Live);
                    then(&|n| n.jobs[j] = Job::Done);
                }
                Job::Absent | Job::Done | Job::Cancelled => {}
            }
        }
        for c in 0..2 {
            let me = s.closers[c];
            // It reads, or begins anew after a crash: its writes are still on their way.
            then(&|n| (n.closers[c].held, n.closers[c].census) = (Some(s.head), Census::NotStarted));
            if let Some((version, members)) = me.page {
                then(&|n| {
                    n.closers[c].page = None;
                    n.pages[self.shelf(version)] = Some(members);
                    if me.census == Census::Whole(members) && me.held.is_some_and(|h| h.version == version) {
                        n.closers[c].census = Census::Paged;
                    }
                });
            }
            if let Some((store_version, head)) = me.head {
                let on_mark = match head.phase {
                    Phase::Closed if head.rotated => self.rotated_on_mark,
                    Phase::Closed => self.closed_on_mark,
                    _ => true,
                };
                if store_version == s.head.store_version || !on_mark {
                    then(&|n| {
                        n.closers[c].head = None;
                        n.put(head);
                    });
                } else {
                    then(&|n| n.closers[c].head = None);
                }
            }
            let Some(held) = me.held else { continue };
            let mut send = |head: Head| {
                if me.head.is_none() {
                    then(&|n| n.closers[c].head = Some((held.store_version, head)));
                }
            };
            match (held.phase, me.census) {
                (Phase::Open, _) => send(Head { phase: Phase::Closing, ..held }),
                (Phase::Closing, Census::Paged) => send(Head { phase: Phase::Closed, ..held }),
                (Phase::Closed, _) if !held.rotated && self.opens(s, held) => {
                    send(Head { rotated: true, ..held })
                }
                _ => {}
            }
            if held.phase == Phase::Closing || (!self.closing_first && held.phase == Phase::Open) {
                let live = |j| matches!(j, Job::Live | Job::Ended);
                let ended = |j| matches!(j, Job::Done | Job::Cancelled);
                match me.census {
                    Census::NotStarted if self.live_before_ends => {
                        then(&|n| n.closers[c].census = Census::Half(s.found(live)))
                    }
                    Census::NotStarted => then(&|n| n.closers[c].census = Census::Half(s.found(ended))),
                    Census::Half(half) => {
                        let rest = if self.live_before_ends { s.found(ended) } else { s.found(live) };
                        then(&|n| n.closers[c].census = Census::Whole(half | rest));
                    }
                    Census::Whole(members) if me.page.is_none() => {
                        then(&|n| n.closers[c].page = Some((held.version, members)));
                    }
                    Census::Whole(_) | Census::Paged => {}
                }
            }
            // Without the guard, a count that was begun before the close is kept over the close.
            if !self.closing_first
                && held.phase == Phase::Open
                && s.head.phase == Phase::Closing
                && s.head.version == held.version
            {
                then(&|n| n.closers[c].held = Some(s.head));
            }
            let may =
                held.rotated || (!self.rotated_first && held.phase == Phase::Closed && self.opens(s, held));
            if may {
                then(&|n| n.started = true);
            }
        }
        // The operator asks once, of a controller that has just read.
        if !s.reopened && s.head.phase == Phase::Closed && (!s.head.rotated || !self.no_reopen_after) {
            let head = Head { version: 1, phase: Phase::Open, rotated: false, ..s.head };
            then(&|n| (n.reopened, n.reopen) = (true, Some((s.head.store_version, head))));
        }
        if let Some((store_version, head)) = s.reopen
            && (store_version == s.head.store_version || !self.reopen_on_mark)
        {
            then(&|n| {
                n.reopen = None;
                n.put(head);
            });
        }
        out
    }
}

struct Explored {
    states: usize,
    /// Some state in which the rotation has started and an accepted render is not on record.
    early: Option<State>,
    /// Some state from which the rotation can never start.
    never: Option<State>,
    /// It was reopened, a render joined only then, and all went well.
    reopened: bool,
}

/// All states, or those up to the first in which a rule is broken.
fn explore(g: Guards) -> Explored {
    let mut e = Explored { states: 0, early: None, never: None, reopened: false };
    let mut seen: HashMap<State, u32> = HashMap::from([(FIRST, 0)]);
    let mut before: Vec<Vec<u32>> = vec![Vec::new()];
    let mut list = vec![FIRST];
    let mut queue = VecDeque::from([0u32]);
    while let Some(at) = queue.pop_front() {
        let s = list[at as usize];
        e.reopened |= s.started && s.head.version == 1 && s.jobs == [Job::Done; 2];
        if s.broken() {
            e.early = Some(s);
            return e;
        }
        // Once it has started, what matters is whether a render can still join.
        for n in g.next(&s) {
            let to = *seen.entry(n).or_insert_with(|| {
                list.push(n);
                before.push(Vec::new());
                queue.push_back(list.len() as u32 - 1);
                list.len() as u32 - 1
            });
            before[to as usize].push(at);
        }
    }
    e.states = list.len();
    let mut reaches: Vec<bool> = list.iter().map(|s| s.started).collect();
    let mut queue: VecDeque<u32> = (0..list.len() as u32).filter(|&i| reaches[i as usize]).collect();
    while let Some(at) = queue.pop_front() {
        for &b in &before[at as usize] {
            if !std::mem::replace(&mut reaches[b as usize], true) {
                queue.push_back(b);
            }
        }
    }
    // A render that was cancelled holds it until an operator says otherwise.
    let free = |s: &State| !s.jobs.contains(&Job::Cancelled);
    e.never = list.iter().zip(&reaches).find(|(s, r)| !**r && free(s)).map(|(s, _)| *s);
    e
}

#[test]
fn no_interleaving_opens_a_rotation_early_or_holds_it_for_ever() {
    let e = explore(ALL);
    assert!(e.early.is_none(), "early: {:#?}", e.early);
    assert!(e.never.is_none(), "never: {:#?}", e.never);
    println!("{} states", e.states);
    assert!(e.reopened && e.states > 10_000, "{} states", e.states);
}

#[test]
fn without_any_one_guard_some_interleaving_does() {
    let without = [
        ("join on mark", Guards { join_on_mark: false, ..ALL }),
        ("closing first", Guards { closing_first: false, ..ALL }),
        ("live before ends", Guards { live_before_ends: false, ..ALL }),
        ("closed on mark", Guards { closed_on_mark: false, ..ALL }),
        ("page of version", Guards { page_of_version: false, ..ALL }),
        ("from records", Guards { from_records: false, ..ALL }),
        ("all members", Guards { all_members: false, ..ALL }),
        ("rotated on mark", Guards { rotated_on_mark: false, ..ALL }),
        ("rotated first", Guards { rotated_first: false, ..ALL }),
        ("no reopen after", Guards { no_reopen_after: false, ..ALL }),
        ("reopen on mark", Guards { reopen_on_mark: false, ..ALL }),
    ];
    let held: Vec<&str> =
        without.iter().filter(|(_, g)| explore(*g).early.is_none()).map(|(n, _)| *n).collect();
    assert!(held.is_empty(), "without one of these nothing breaks: {held:?}");
}
