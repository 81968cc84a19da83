//! The argument for starting a taken-over task at once, checked over all interleavings.
//!
//! One task. Its owner C is also the home of machine 0, and may start it there; A and B are the other members. C may crash at
//! any moment, B too; messages may be lost or late. Then A owns the task and may start it on machine 1. Never may both
//! machines run it, and wherever nothing more can happen it must run. With any guard taken out, a way to break that is found.

use std::collections::{HashSet, VecDeque};

/// The guards of `docs/takeovers.md`.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A start goes out only once a witness holds it.
    witness_first: bool,
    /// Word on the dead one counts only once every other member of its epoch has spoken.
    all_speak: bool,
    /// Who goes on without witnesses has that on record first.
    on_record_first: bool,
    /// Nobody's word counts about one that has it on record.
    record_read: bool,
    /// A start that a witness names is waited for until its machine has spoken.
    named_is_waited_for: bool,
    /// A report counts only if it shows the new token: until then an older answer may still be executed.
    token: bool,
}

const ALL: Guards = Guards {
    witness_first: true,
    all_speak: true,
    on_record_first: true,
    record_read: true,
    named_is_waited_for: true,
    token: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Road {
    Not,
    OnTheWay,
    Arrived,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    No,
    /// The write is on its way; with the epoch it fails.
    Asked,
    OnRecord,
    /// C knows that it is on record.
    Known,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Machine {
    Idle,
    Runs,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    c_lives: bool,
    b_lives: bool,
    /// A owns the task.
    next_epoch: bool,
    placed: bool,
    /// The word on the start, to A and to B, and their answers.
    told: [Road; 2],
    noted: [Road; 2],
    without: Without,
    /// The start, to machine 0.
    start: Road,
    machine: Machine,
    /// Machine 0 has seen the new token; A has a report of it that counts.
    new_token: bool,
    reported: bool,
    /// A and B have spoken to the new owner.
    spoken: [bool; 2],
    /// A has started the task on machine 1.
    elsewhere: bool,
}

const FIRST: State = State {
    c_lives: true,
    b_lives: true,
    next_epoch: false,
    placed: false,
    told: [Road::Not; 2],
    noted: [Road::Not; 2],
    without: Without::No,
    start: Road::Not,
    machine: Machine::Idle,
    new_token: false,
    reported: false,
    spoken: [false; 2],
    elsewhere: false,
};

impl Guards {
    fn may_send(self, s: &State) -> bool {
        let without = match self.on_record_first {
            true => s.without == Without::Known,
            false => s.without != Without::No,
        };
        !self.witness_first || without || s.noted.contains(&Road::Arrived)
    }

    /// Whether the task may be on machine 0 for all that A knows. `seen`: the report that counts showed the task.
    fn may_be_there(self, s: &State) -> bool {
        // Its lease is certainly over.
        if s.machine == Machine::Dead {
            return false;
        }
        if s.reported {
            return s.machine == Machine::Runs;
        }
        let all = if self.all_speak { s.spoken == [true, true] } else { s.spoken.contains(&true) };
        let on_record = matches!(s.without, Without::OnRecord | Without::Known);
        let counts = all && !(self.record_read && on_record);
        let named = |p: usize| s.spoken[p] && s.told[p] == Road::Arrived;
        !counts || (self.named_is_waited_for && (named(0) || named(1)))
    }

    /// All that may happen next.
    fn next(self, s: &State) -> Vec<State> {
        let mut out = Vec::new();
        let mut then = |change: &dyn Fn(&mut State)| {
            let mut n = s.clone();
            change(&mut n);
            if n != *s {
                out.push(n);
            }
        };
        let b = |p: usize| p == 0 || s.b_lives;
        if s.c_lives && !s.next_epoch {
            then(&|n| n.placed = true);
            for p in [0, 1] {
                if s.placed && s.told[p] == Road::Not {
                    then(&|n| n.told[p] = Road::OnTheWay);
                }
                if s.noted[p] == Road::OnTheWay {
                    then(&|n| n.noted[p] = Road::Arrived);
                    then(&|n| n.noted[p] = Road::Lost);
                }
            }
            if s.placed && s.without == Without::No {
                then(&|n| n.without = Without::Asked);
            }
            if s.without == Without::OnRecord {
                then(&|n| n.without = Without::Known);
            }
            if s.placed && s.start == Road::Not && self.may_send(s) {
                then(&|n| n.start = Road::OnTheWay);
            }
        }
        for p in [0, 1] {
            // A frame names its epoch: who has adopted the next one drops it.
            if s.told[p] == Road::OnTheWay && b(p) && !s.next_epoch {
                then(&|n| (n.told[p], n.noted[p]) = (Road::Arrived, Road::OnTheWay));
                then(&|n| n.told[p] = Road::Lost);
            }
            if s.next_epoch && b(p) {
                then(&|n| n.spoken[p] = true);
            }
        }
        if s.without == Without::Asked {
            // Its condition is the epoch: late, it fails.
            then(&|n| n.without = if s.next_epoch { Without::No } else { Without::OnRecord });
            then(&|n| n.without = Without::No);
        }
        if s.start == Road::OnTheWay {
            // A worker drops an answer whose token is lower than one that it has seen.
            let taken = s.machine == Machine::Idle && !s.new_token;
            then(&|n| (n.start, n.machine) = (Road::Arrived, if taken { Machine::Runs } else { s.machine }));
            then(&|n| n.start = Road::Lost);
        }
        if s.c_lives {
            then(&|n| n.c_lives = false);
        } else {
            then(&|n| n.next_epoch = true);
        }
        if s.b_lives {
            // What it held is gone with it, unless it has told.
            then(&|n| {
                n.b_lives = false;
                if !n.spoken[1] {
                    n.told[1] = Road::Lost;
                }
            });
        }
        then(&|n| n.machine = Machine::Dead);
        if s.next_epoch && s.machine != Machine::Dead {
            then(&|n| n.new_token = true);
            if s.new_token || !self.token {
                then(&|n| n.reported = true);
            }
        }
        if s.next_epoch && !self.may_be_there(s) {
            then(&|n| n.elsewhere = true);
        }
        out
    }
}

struct Explored {
    states: usize,
    /// Some state in which both machines run the task.
    twice: Option<State>,
    /// Some state in which nothing more happens and none does.
    never: Option<State>,
    /// The task was started elsewhere before machine 0 had spoken: what all this is for.
    at_once: bool,
}

fn explore(g: Guards) -> Explored {
    let mut seen = HashSet::from([FIRST]);
    let mut queue = VecDeque::from([FIRST]);
    let mut e = Explored { states: 0, twice: None, never: None, at_once: false };
    while let Some(s) = queue.pop_front() {
        e.states += 1;
        let runs = s.machine == Machine::Runs;
        e.at_once |= s.elsewhere && !s.reported && s.machine != Machine::Dead;
        if s.elsewhere && runs {
            e.twice.get_or_insert_with(|| s.clone());
        }
        let next = g.next(&s);
        // The machine may die at any time; what only that would end is stuck all the same.
        let stuck = next.iter().all(|n| n.machine == Machine::Dead && s.machine != Machine::Dead);
        if stuck && !s.elsewhere && !runs {
            e.never.get_or_insert_with(|| s.clone());
        }
        queue.extend(next.into_iter().filter(|n| seen.insert(n.clone())));
    }
    e
}

#[test]
fn no_interleaving_runs_a_task_twice_or_leaves_it_for_ever() {
    let e = explore(ALL);
    assert!(e.twice.is_none(), "twice: {:#?}", e.twice);
    assert!(e.never.is_none(), "never: {:#?}", e.never);
    assert!(e.at_once && e.states > 1000, "{} states", e.states);
}

#[test]
fn without_any_one_guard_some_interleaving_does() {
    let without = [
        ("witness first", Guards { witness_first: false, ..ALL }),
        ("all speak", Guards { all_speak: false, ..ALL }),
        ("on record first", Guards { on_record_first: false, ..ALL }),
        ("record read", Guards { record_read: false, ..ALL }),
        ("named is waited for", Guards { named_is_waited_for: false, ..ALL }),
        ("token", Guards { token: false, ..ALL }),
    ];
    for (name, guards) in without {
        assert!(explore(guards).twice.is_some(), "without {name} nothing breaks");
    }
}
