//! Model check of the failover rules that allow a task of a failed leader to be started at once, over all
//! interleavings.
//!
//! There is one task. Controller C leads its job and machine 0, and may start it there; A and B are the other
//! members. C may crash at any moment, and so may B; messages may be lost or late. After a crash of C, A leads the
//! job and may start the task on machine 1. The task must never run on both machines, and it must run in every state
//! without further steps. For each guard, the check must find an interleaving that runs the task twice without that
//! guard.

use std::collections::{HashSet, VecDeque};

/// The guards that `docs/takeovers.md` explains.
#[derive(Clone, Copy, Debug)]
struct Guards {
    /// A start is sent only after a replica has acknowledged it.
    replication_before_start: bool,
    /// The replicas of a failed leader count only once every other member of its epoch has reported.
    all_members_report: bool,
    /// A leader enters degraded mode, in which it starts tasks without replicas, only after that is stored.
    degraded_stored_first: bool,
    /// The replicas of a leader whose degraded mode is stored don't count.
    degraded_checked: bool,
    /// If a replica has a start, the new leader waits for a heartbeat of the start's machine.
    replicated_start_awaited: bool,
    /// A heartbeat counts only if it carries the new fencing token: until then an older response may still be executed.
    fencing_token: bool,
}

const ALL_GUARDS: Guards = Guards {
    replication_before_start: true,
    all_members_report: true,
    degraded_stored_first: true,
    degraded_checked: true,
    replicated_start_awaited: true,
    fencing_token: true,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Transit {
    NotSent,
    InFlight,
    Arrived,
    Lost,
}

/// Whether C is in degraded mode, as stored in the state store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Degraded {
    No,
    /// The write is in flight; it fails once the epoch has changed.
    Requested,
    Stored,
    /// C has the confirmation that it is stored.
    Confirmed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Machine {
    Idle,
    Running,
    Dead,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    is_c_alive: bool,
    is_b_alive: bool,
    /// Whether A leads the job.
    is_next_epoch: bool,
    is_placed: bool,
    /// The deltas with the start to A and to B, and their acknowledgements.
    delta: [Transit; 2],
    acknowledgement: [Transit; 2],
    degraded: Degraded,
    /// The start command to machine 0.
    start: Transit,
    machine: Machine,
    /// Whether machine 0 has seen the new token, and whether A has a heartbeat of it that counts.
    has_new_token: bool,
    has_counting_heartbeat: bool,
    /// Whether A and B have reported their replicas to the new leader.
    has_reported: [bool; 2],
    /// Whether A has started the task on machine 1.
    is_started_elsewhere: bool,
}

const INITIAL_STATE: State = State {
    is_c_alive: true,
    is_b_alive: true,
    is_next_epoch: false,
    is_placed: false,
    delta: [Transit::NotSent; 2],
    acknowledgement: [Transit::NotSent; 2],
    degraded: Degraded::No,
    start: Transit::NotSent,
    machine: Machine::Idle,
    has_new_token: false,
    has_counting_heartbeat: false,
    has_reported: [false; 2],
    is_started_elsewhere: false,
};

impl Guards {
    fn can_send_start(self, state: &State) -> bool {
        let can_start_without_replica = match self.degraded_stored_first {
            true => state.degraded == Degraded::Confirmed,
            false => state.degraded != Degraded::No,
        };
        !self.replication_before_start
            || can_start_without_replica
            || state.acknowledgement.contains(&Transit::Arrived)
    }

    /// Whether the task may be on machine 0, as far as A can determine. A heartbeat that counts lists it.
    fn can_be_on_machine_0(self, state: &State) -> bool {
        // Its lease has certainly expired.
        if state.machine == Machine::Dead {
            return false;
        }
        if state.has_counting_heartbeat {
            return state.machine == Machine::Running;
        }
        let has_enough_reports = if self.all_members_report {
            state.has_reported == [true, true]
        } else {
            state.has_reported.contains(&true)
        };
        let is_degraded_stored = matches!(state.degraded, Degraded::Stored | Degraded::Confirmed);
        let can_rely_on_replicas = has_enough_reports && !(self.degraded_checked && is_degraded_stored);
        let has_replica = |peer: usize| state.has_reported[peer] && state.delta[peer] == Transit::Arrived;
        !can_rely_on_replicas || (self.replicated_start_awaited && (has_replica(0) || has_replica(1)))
    }

    /// Returns all states that can follow.
    fn successors(self, state: &State) -> Vec<State> {
        let mut states = Vec::new();
        let mut add = |change: &dyn Fn(&mut State)| {
            let mut next = state.clone();
            change(&mut next);
            if next != *state {
                states.push(next);
            }
        };
        let is_alive = |peer: usize| peer == 0 || state.is_b_alive;
        if state.is_c_alive && !state.is_next_epoch {
            add(&|next| next.is_placed = true);
            for peer in [0, 1] {
                if state.is_placed && state.delta[peer] == Transit::NotSent {
                    add(&|next| next.delta[peer] = Transit::InFlight);
                }
                if state.acknowledgement[peer] == Transit::InFlight {
                    add(&|next| next.acknowledgement[peer] = Transit::Arrived);
                    add(&|next| next.acknowledgement[peer] = Transit::Lost);
                }
            }
            if state.is_placed && state.degraded == Degraded::No {
                add(&|next| next.degraded = Degraded::Requested);
            }
            if state.degraded == Degraded::Stored {
                add(&|next| next.degraded = Degraded::Confirmed);
            }
            if state.is_placed && state.start == Transit::NotSent && self.can_send_start(state) {
                add(&|next| next.start = Transit::InFlight);
            }
        }
        for peer in [0, 1] {
            // A frame names its epoch, and a receiver that has adopted the next epoch drops it.
            if state.delta[peer] == Transit::InFlight && is_alive(peer) && !state.is_next_epoch {
                add(&|next| {
                    (next.delta[peer], next.acknowledgement[peer]) = (Transit::Arrived, Transit::InFlight)
                });
                add(&|next| next.delta[peer] = Transit::Lost);
            }
            if state.is_next_epoch && is_alive(peer) {
                add(&|next| next.has_reported[peer] = true);
            }
        }
        if state.degraded == Degraded::Requested {
            // The epoch is the precondition of the write, so a late write fails.
            add(&|next| next.degraded = if state.is_next_epoch { Degraded::No } else { Degraded::Stored });
            add(&|next| next.degraded = Degraded::No);
        }
        if state.start == Transit::InFlight {
            // A worker drops a response whose token is lower than one that it has seen.
            let is_executed = state.machine == Machine::Idle && !state.has_new_token;
            add(&|next| {
                (next.start, next.machine) =
                    (Transit::Arrived, if is_executed { Machine::Running } else { state.machine })
            });
            add(&|next| next.start = Transit::Lost);
        }
        if state.is_c_alive {
            add(&|next| next.is_c_alive = false);
        } else {
            add(&|next| next.is_next_epoch = true);
        }
        if state.is_b_alive {
            // The replica that B held is lost, unless B has reported it.
            add(&|next| {
                next.is_b_alive = false;
                if !next.has_reported[1] {
                    next.delta[1] = Transit::Lost;
                }
            });
        }
        add(&|next| next.machine = Machine::Dead);
        if state.is_next_epoch && state.machine != Machine::Dead {
            add(&|next| next.has_new_token = true);
            if state.has_new_token || !self.fencing_token {
                add(&|next| next.has_counting_heartbeat = true);
            }
        }
        if state.is_next_epoch && !self.can_be_on_machine_0(state) {
            add(&|next| next.is_started_elsewhere = true);
        }
        states
    }
}

struct Explored {
    state_count: usize,
    /// A state in which both machines run the task.
    runs_twice: Option<State>,
    /// A state without further steps in which no machine runs the task.
    never_runs: Option<State>,
    /// Whether some interleaving starts the task on machine 1 before machine 0's heartbeat counts, which is the
    /// purpose of the replicas.
    starts_early: bool,
}

fn explore(guards: Guards) -> Explored {
    let mut visited = HashSet::from([INITIAL_STATE]);
    let mut queue = VecDeque::from([INITIAL_STATE]);
    let mut explored = Explored { state_count: 0, runs_twice: None, never_runs: None, starts_early: false };
    while let Some(state) = queue.pop_front() {
        explored.state_count += 1;
        let is_running = state.machine == Machine::Running;
        explored.starts_early |=
            state.is_started_elsewhere && !state.has_counting_heartbeat && state.machine != Machine::Dead;
        if state.is_started_elsewhere && is_running {
            explored.runs_twice.get_or_insert_with(|| state.clone());
        }
        let successors = guards.successors(&state);
        // The machine may fail at any time, but a state that only this failure would end counts as stuck.
        let is_stuck =
            successors.iter().all(|next| next.machine == Machine::Dead && state.machine != Machine::Dead);
        if is_stuck && !state.is_started_elsewhere && !is_running {
            explored.never_runs.get_or_insert_with(|| state.clone());
        }
        queue.extend(successors.into_iter().filter(|next| visited.insert(next.clone())));
    }
    explored
}

#[test]
fn no_interleaving_runs_the_task_twice_or_never() {
    let explored = explore(ALL_GUARDS);
    assert!(explored.runs_twice.is_none(), "the task runs twice: {:#?}", explored.runs_twice);
    assert!(explored.never_runs.is_none(), "the task never runs: {:#?}", explored.never_runs);
    assert!(explored.starts_early && explored.state_count > 1000, "{} states", explored.state_count);
}

#[test]
fn without_any_single_guard_some_interleaving_runs_the_task_twice() {
    let without = [
        ("replication before start", Guards { replication_before_start: false, ..ALL_GUARDS }),
        ("all members report", Guards { all_members_report: false, ..ALL_GUARDS }),
        ("degraded mode stored first", Guards { degraded_stored_first: false, ..ALL_GUARDS }),
        ("degraded mode checked", Guards { degraded_checked: false, ..ALL_GUARDS }),
        ("replicated start awaited", Guards { replicated_start_awaited: false, ..ALL_GUARDS }),
        ("fencing token", Guards { fencing_token: false, ..ALL_GUARDS }),
    ];
    for (name, guards) in without {
        assert!(
            explore(guards).runs_twice.is_some(),
            "the check finds no violation without the guard: {name}"
        );
    }
}
