//! Model check of the start of a rotation: explores all interleavings of a small model of the protocol.
//!
//! The model has one release, two renders and three controllers. Two controllers, possibly at the same time, close the
//! release, run the census and start the rotation; each render is accepted by another controller; the third controller carries
//! out an operator's `reopen`, once. A controller's copy of the record may be stale. Every write may be lost or delayed, and
//! may be applied even after its sender has crashed. Checked invariants: the rotation never starts before all accepted
//! renders are done according to their records, and as long as no render is cancelled, the rotation can still start from
//! every state. Without any one of the guards, an interleaving breaks this.

use std::collections::{HashMap, VecDeque};

/// The guards of `docs/releases.md`.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A render is accepted on condition that the open record still has the store version that was read.
    join_conditional: bool,
    /// The census begins only after *closing* is stored.
    closing_before_census: bool,
    /// The census reads live records before final ones.
    live_before_final: bool,
    /// *Closed* is written on condition that the record still has the store version at which the census began.
    closed_conditional: bool,
    /// Pages belong to one version of the record.
    page_per_version: bool,
    /// A render counts as done only if its final record is stored.
    done_by_record: bool,
    /// All members must be done.
    all_members: bool,
    /// *Rotated* is written on condition that the record still has the store version on which the decision is based.
    rotated_conditional: bool,
    /// *Rotated* is stored before a task starts.
    rotated_before_start: bool,
    /// A release that has rotated is not reopened.
    no_reopen_after_rotation: bool,
    /// The release is reopened on condition that the record is unchanged.
    reopen_conditional: bool,
}

const ALL: Guards = Guards {
    join_conditional: true,
    closing_before_census: true,
    live_before_final: true,
    closed_conditional: true,
    page_per_version: true,
    done_by_record: true,
    all_members: true,
    rotated_conditional: true,
    rotated_before_start: true,
    no_reopen_after_rotation: true,
    reopen_conditional: true,
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
    /// Its tasks have ended, but the final record is not stored; a crash loses this state.
    Ended,
    Done,
    Cancelled,
}

/// The progress of a census of the members. Sets of renders are bit masks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Census {
    NotStarted,
    /// The live records or the final ones have been read, whichever come first.
    Half(u8),
    /// All records have been read.
    Complete(u8),
    /// The page is stored.
    Paged,
}

/// A controller that closes releases and starts rotations: its state and its writes in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Closer {
    /// The copy of the record that it read last.
    cached: Option<Head>,
    census: Census,
    /// A page in flight: the version that it is for, and its members.
    page: Option<(u8, u8)>,
    /// A head in flight: the store version that its writer had read, and the head.
    head: Option<(u8, Head)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct State {
    head: Head,
    pages: [Option<u8>; 2],
    jobs: [Job; 2],
    /// Acceptances in flight, with the store version that the accepting controller had read.
    joins: [Option<u8>; 2],
    closers: [Closer; 2],
    /// The operator's reopening in flight, with the store version that its controller had read.
    reopen: Option<(u8, Head)>,
    reopened: bool,
    started: bool,
}

const FIRST: State = State {
    head: Head { store_version: 1, version: 0, phase: Phase::Open, rotated: false },
    pages: [None; 2],
    jobs: [Job::Absent; 2],
    joins: [None; 2],
    closers: [Closer { cached: None, census: Census::NotStarted, page: None, head: None }; 2],
    reopen: None,
    reopened: false,
    started: false,
};

impl State {
    /// Whether the rotation has started although an accepted render is not done.
    fn is_violation(&self) -> bool {
        self.started && self.jobs.iter().any(|job| matches!(job, Job::Live | Job::Ended | Job::Cancelled))
    }
    /// The set of renders in a state, as a bit mask.
    fn renders_in(&self, is_in_state: impl Fn(Job) -> bool) -> u8 {
        (0..2).filter(|&render| is_in_state(self.jobs[render])).map(|render| 1 << render).sum()
    }
    fn store_head(&mut self, head: Head) {
        self.head = Head { store_version: self.head.store_version + 1, ..head };
    }
}

impl Guards {
    /// Index in `pages` of the page of a version.
    fn page_index(self, version: u8) -> usize {
        if self.page_per_version { usize::from(version) } else { 0 }
    }

    fn is_done(self, job: Job) -> bool {
        job == Job::Done || (!self.done_by_record && job == Job::Ended)
    }

    /// Whether the members on the page of this head are done, as far as the guards require it.
    fn can_rotate(self, state: &State, head: Head) -> bool {
        let Some(members) = state.pages[self.page_index(head.version)] else { return false };
        let done = |render: &usize| self.is_done(state.jobs[*render]);
        let mut members = (0..2).filter(|render| members & (1 << render) != 0).peekable();
        members.peek().is_none()
            || if self.all_members {
                members.all(|render| done(&render))
            } else {
                members.any(|render| done(&render))
            }
    }

    /// All successor states.
    fn next(self, state: &State) -> Vec<State> {
        let mut successors = Vec::new();
        let mut add_successor = |apply: &dyn Fn(&mut State)| {
            let mut successor = *state;
            apply(&mut successor);
            // The two closers are interchangeable; sorting them reduces the number of states.
            successor.closers.sort();
            if successor != *state {
                successors.push(successor);
            }
        };
        for render in 0..2 {
            // The accepting controller has just read the record, which may change before the acceptance is applied.
            if state.jobs[render] == Job::Absent
                && state.joins[render].is_none()
                && state.head.phase == Phase::Open
            {
                add_successor(&|successor| successor.joins[render] = Some(state.head.store_version));
            }
            if let Some(store_version) = state.joins[render]
                && (store_version == state.head.store_version || !self.join_conditional)
            {
                add_successor(&|successor| {
                    (successor.joins[render], successor.jobs[render]) = (None, Job::Live)
                });
            }
            match state.jobs[render] {
                Job::Live => {
                    add_successor(&|successor| successor.jobs[render] = Job::Ended);
                    add_successor(&|successor| successor.jobs[render] = Job::Cancelled);
                }
                Job::Ended => {
                    add_successor(&|successor| successor.jobs[render] = Job::Live);
                    add_successor(&|successor| successor.jobs[render] = Job::Done);
                }
                Job::Absent | Job::Done | Job::Cancelled => {}
            }
        }
        for closer in 0..2 {
            let me = state.closers[closer];
            // The closer reads the record, or starts again after a crash. Its writes stay in flight.
            add_successor(&|successor| {
                (successor.closers[closer].cached, successor.closers[closer].census) =
                    (Some(state.head), Census::NotStarted)
            });
            if let Some((version, members)) = me.page {
                add_successor(&|successor| {
                    successor.closers[closer].page = None;
                    successor.pages[self.page_index(version)] = Some(members);
                    if me.census == Census::Complete(members)
                        && me.cached.is_some_and(|head| head.version == version)
                    {
                        successor.closers[closer].census = Census::Paged;
                    }
                });
            }
            if let Some((store_version, head)) = me.head {
                let is_conditional = match head.phase {
                    Phase::Closed if head.rotated => self.rotated_conditional,
                    Phase::Closed => self.closed_conditional,
                    _ => true,
                };
                if store_version == state.head.store_version || !is_conditional {
                    add_successor(&|successor| {
                        successor.closers[closer].head = None;
                        successor.store_head(head);
                    });
                } else {
                    add_successor(&|successor| successor.closers[closer].head = None);
                }
            }
            let Some(cached) = me.cached else { continue };
            let mut send = |head: Head| {
                if me.head.is_none() {
                    add_successor(&|successor| {
                        successor.closers[closer].head = Some((cached.store_version, head))
                    });
                }
            };
            match (cached.phase, me.census) {
                (Phase::Open, _) => send(Head { phase: Phase::Closing, ..cached }),
                (Phase::Closing, Census::Paged) => send(Head { phase: Phase::Closed, ..cached }),
                (Phase::Closed, _) if !cached.rotated && self.can_rotate(state, cached) => {
                    send(Head { rotated: true, ..cached })
                }
                _ => {}
            }
            if cached.phase == Phase::Closing || (!self.closing_before_census && cached.phase == Phase::Open)
            {
                let live = |job| matches!(job, Job::Live | Job::Ended);
                let ended = |job| matches!(job, Job::Done | Job::Cancelled);
                match me.census {
                    Census::NotStarted if self.live_before_final => add_successor(&|successor| {
                        successor.closers[closer].census = Census::Half(state.renders_in(live))
                    }),
                    Census::NotStarted => add_successor(&|successor| {
                        successor.closers[closer].census = Census::Half(state.renders_in(ended))
                    }),
                    Census::Half(half) => {
                        let rest = if self.live_before_final {
                            state.renders_in(ended)
                        } else {
                            state.renders_in(live)
                        };
                        add_successor(&|successor| {
                            successor.closers[closer].census = Census::Complete(half | rest)
                        });
                    }
                    Census::Complete(members) if me.page.is_none() => {
                        add_successor(&|successor| {
                            successor.closers[closer].page = Some((cached.version, members))
                        });
                    }
                    Census::Complete(_) | Census::Paged => {}
                }
            }
            // Without this guard, a census that began before the release was closing is continued.
            if !self.closing_before_census
                && cached.phase == Phase::Open
                && state.head.phase == Phase::Closing
                && state.head.version == cached.version
            {
                add_successor(&|successor| successor.closers[closer].cached = Some(state.head));
            }
            let can_start = cached.rotated
                || (!self.rotated_before_start
                    && cached.phase == Phase::Closed
                    && self.can_rotate(state, cached));
            if can_start {
                add_successor(&|successor| successor.started = true);
            }
        }
        // The operator reopens the release once, by a controller that has just read the record.
        if !state.reopened
            && state.head.phase == Phase::Closed
            && (!state.head.rotated || !self.no_reopen_after_rotation)
        {
            let head = Head { version: 1, phase: Phase::Open, rotated: false, ..state.head };
            add_successor(&|successor| {
                (successor.reopened, successor.reopen) = (true, Some((state.head.store_version, head)))
            });
        }
        if let Some((store_version, head)) = state.reopen
            && (store_version == state.head.store_version || !self.reopen_conditional)
        {
            add_successor(&|successor| {
                successor.reopen = None;
                successor.store_head(head);
            });
        }
        successors
    }
}

struct Explored {
    states: usize,
    /// A state in which the rotation has started although an accepted render is not done.
    early_start: Option<State>,
    /// A state from which the rotation can never start.
    stuck: Option<State>,
    /// Whether in some state the rotation of the reopened release has started with both renders done.
    started_after_reopen: bool,
}

/// Explores all states, or those up to the first one that violates the invariant.
fn explore(guards: Guards) -> Explored {
    let mut result = Explored { states: 0, early_start: None, stuck: None, started_after_reopen: false };
    let mut index_of: HashMap<State, u32> = HashMap::from([(FIRST, 0)]);
    let mut predecessors: Vec<Vec<u32>> = vec![Vec::new()];
    let mut list = vec![FIRST];
    let mut queue = VecDeque::from([0u32]);
    while let Some(at) = queue.pop_front() {
        let state = list[at as usize];
        result.started_after_reopen |=
            state.started && state.head.version == 1 && state.jobs == [Job::Done; 2];
        if state.is_violation() {
            result.early_start = Some(state);
            return result;
        }
        // States after the start are explored as well: a render must not be able to join any more.
        for successor in guards.next(&state) {
            let index = *index_of.entry(successor).or_insert_with(|| {
                list.push(successor);
                predecessors.push(Vec::new());
                queue.push_back(list.len() as u32 - 1);
                list.len() as u32 - 1
            });
            predecessors[index as usize].push(at);
        }
    }
    result.states = list.len();
    let mut can_start: Vec<bool> = list.iter().map(|state| state.started).collect();
    let mut queue: VecDeque<u32> = (0..list.len() as u32).filter(|&i| can_start[i as usize]).collect();
    while let Some(at) = queue.pop_front() {
        for &predecessor in &predecessors[at as usize] {
            if !std::mem::replace(&mut can_start[predecessor as usize], true) {
                queue.push_back(predecessor);
            }
        }
    }
    // A cancelled render holds the rotation until an operator waives it, which the model leaves out.
    let has_no_cancelled_render = |state: &State| !state.jobs.contains(&Job::Cancelled);
    result.stuck = list
        .iter()
        .zip(&can_start)
        .find(|(state, can_start)| !**can_start && has_no_cancelled_render(state))
        .map(|(state, _)| *state);
    result
}

#[test]
fn no_interleaving_starts_a_rotation_early_or_holds_it_for_ever() {
    let result = explore(ALL);
    assert!(result.early_start.is_none(), "early start: {:#?}", result.early_start);
    assert!(result.stuck.is_none(), "stuck: {:#?}", result.stuck);
    println!("{} states", result.states);
    assert!(result.started_after_reopen && result.states > 10_000, "{} states", result.states);
}

#[test]
fn without_any_one_guard_some_interleaving_starts_a_rotation_early() {
    let without = [
        ("join conditional", Guards { join_conditional: false, ..ALL }),
        ("closing before census", Guards { closing_before_census: false, ..ALL }),
        ("live before final", Guards { live_before_final: false, ..ALL }),
        ("closed conditional", Guards { closed_conditional: false, ..ALL }),
        ("page per version", Guards { page_per_version: false, ..ALL }),
        ("done by record", Guards { done_by_record: false, ..ALL }),
        ("all members", Guards { all_members: false, ..ALL }),
        ("rotated conditional", Guards { rotated_conditional: false, ..ALL }),
        ("rotated before start", Guards { rotated_before_start: false, ..ALL }),
        ("no reopen after rotation", Guards { no_reopen_after_rotation: false, ..ALL }),
        ("reopen conditional", Guards { reopen_conditional: false, ..ALL }),
    ];
    let unneeded: Vec<&str> = without
        .iter()
        .filter(|(_, guards)| explore(*guards).early_start.is_none())
        .map(|(name, _)| *name)
        .collect();
    assert!(unneeded.is_empty(), "without one of these guards no invariant breaks: {unneeded:?}");
}
