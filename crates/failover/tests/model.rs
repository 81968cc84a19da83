//! The argument for starting a taken-over task at once, checked over all interleavings.
//!
//! One task. C leads its job and machine 0, and may start it there; A and B are the other members. C may crash at
//! any moment, B too; messages may be lost or late. Then A leads the job and may start it on machine 1. Never may both
//! machines run it, and wherever nothing more can happen it must run. With any guard taken out, a way to break that is found.

use std::collections::{HashSet, VecDeque};

/// The guards of `docs/takeovers.md`.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A start goes out only once a replica holds it.
    replicated_first: bool,
    /// What replicas say of a dead leader counts only once every other member of its epoch has spoken.
    all_speak: bool,
    /// A leader that goes on without replicas has that on record first.
    on_record_first: bool,
    /// What replicas say of a leader that has it on record doesn't count.
    record_read: bool,
    /// A start that a replica names is waited for until its machine has spoken.
    named_is_waited_for: bool,
    /// A heartbeat counts only if it shows the new token: until then an older response may still be executed.
    token: bool,
}

const ALL: Guards = Guards {
    replicated_first: true,
    all_speak: true,
    on_record_first: true,
    record_read: true,
    named_is_waited_for: true,
    token: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Transit {
    NotSent,
    OnTheWay,
    Arrived,
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Degraded {
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
    /// A leads the job.
    next_epoch: bool,
    placed: bool,
    /// The delta with the start, to A and to B, and their acknowledgements.
    delta: [Transit; 2],
    acknowledgement: [Transit; 2],
    degraded: Degraded,
    /// The start, to machine 0.
    start: Transit,
    machine: Machine,
    /// Machine 0 has seen the new token; A has a heartbeat of it that counts.
    new_token: bool,
    reported: bool,
    /// A and B have spoken to the new leader.
    spoken: [bool; 2],
    /// A has started the task on machine 1.
    elsewhere: bool,
}

const FIRST: State = State {
    c_lives: true,
    b_lives: true,
    next_epoch: false,
    placed: false,
    delta: [Transit::NotSent; 2],
    acknowledgement: [Transit::NotSent; 2],
    degraded: Degraded::No,
    start: Transit::NotSent,
    machine: Machine::Idle,
    new_token: false,
    reported: false,
    spoken: [false; 2],
    elsewhere: false,
};

impl Guards {
    fn may_send(self, s: &State) -> bool {
        let may_go_alone = match self.on_record_first {
            true => s.degraded == Degraded::Known,
            false => s.degraded != Degraded::No,
        };
        !self.replicated_first || may_go_alone || s.acknowledgement.contains(&Transit::Arrived)
    }

    /// Whether the task may be on machine 0 for all that A knows. A heartbeat that counts shows it.
    fn may_be_there(self, s: &State) -> bool {
        // Its lease is certainly over.
        if s.machine == Machine::Dead {
            return false;
        }
        if s.reported {
            return s.machine == Machine::Runs;
        }
        let all = if self.all_speak { s.spoken == [true, true] } else { s.spoken.contains(&true) };
        let on_record = matches!(s.degraded, Degraded::OnRecord | Degraded::Known);
        let counts = all && !(self.record_read && on_record);
        let named = |p: usize| s.spoken[p] && s.delta[p] == Transit::Arrived;
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
                if s.placed && s.delta[p] == Transit::NotSent {
                    then(&|n| n.delta[p] = Transit::OnTheWay);
                }
                if s.acknowledgement[p] == Transit::OnTheWay {
                    then(&|n| n.acknowledgement[p] = Transit::Arrived);
                    then(&|n| n.acknowledgement[p] = Transit::Lost);
                }
            }
            if s.placed && s.degraded == Degraded::No {
                then(&|n| n.degraded = Degraded::Asked);
            }
            if s.degraded == Degraded::OnRecord {
                then(&|n| n.degraded = Degraded::Known);
            }
            if s.placed && s.start == Transit::NotSent && self.may_send(s) {
                then(&|n| n.start = Transit::OnTheWay);
            }
        }
        for p in [0, 1] {
            // A frame names its epoch: who has adopted the next one drops it.
            if s.delta[p] == Transit::OnTheWay && b(p) && !s.next_epoch {
                then(&|n| (n.delta[p], n.acknowledgement[p]) = (Transit::Arrived, Transit::OnTheWay));
                then(&|n| n.delta[p] = Transit::Lost);
            }
            if s.next_epoch && b(p) {
                then(&|n| n.spoken[p] = true);
            }
        }
        if s.degraded == Degraded::Asked {
            // Its condition is the epoch: late, it fails.
            then(&|n| n.degraded = if s.next_epoch { Degraded::No } else { Degraded::OnRecord });
            then(&|n| n.degraded = Degraded::No);
        }
        if s.start == Transit::OnTheWay {
            // A worker drops a response whose token is lower than one that it has seen.
            let taken = s.machine == Machine::Idle && !s.new_token;
            then(&|n| {
                (n.start, n.machine) = (Transit::Arrived, if taken { Machine::Runs } else { s.machine })
            });
            then(&|n| n.start = Transit::Lost);
        }
        if s.c_lives {
            then(&|n| n.c_lives = false);
        } else {
            then(&|n| n.next_epoch = true);
        }
        if s.b_lives {
            // What it held is gone with it, unless it has spoken.
            then(&|n| {
                n.b_lives = false;
                if !n.spoken[1] {
                    n.delta[1] = Transit::Lost;
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
        ("replicated first", Guards { replicated_first: false, ..ALL }),
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
