//! Commands that a leader sent directly to workers arrive after those of its successor, when the leader has crashed or was
//! deposed, while users cancel jobs.

use super::compound::*;
use crate::*;

/// Leadership changes every few seconds by a fault that `inject_fault` causes. Half or all of the commands that each leader
/// sends directly to workers are delayed by 2 to 16 s.
fn play_late_commands(base: u64, inject_fault: impl Fn(&mut World, usize)) {
    let rounds = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..8 };
    let (mut totals, mut confirmed) = ([0; 7], 0);
    for seed in rounds.map(|r| base + r) {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 10, jobs: 30, ..SMALL });
        (w.answer_gaps.pollers, w.shape.run) = (true, 40 * S);
        print_log_on_panic(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = add_long_jobs(w, 12, 110 * S);
            w.run(0, 40 * S);
            w.delay_fencing_probes([0.5, 1.0][seed as usize % 2], 110 * S);
            for (i, cancelled) in ids[..8].chunks(2).enumerate() {
                let n = (seed as usize + i) % 3;
                // The controller that returns raises the epoch: machines change their leader and get commands of a new epoch.
                w.crash_for((n + 1) % 3, S / 20..S / 10);
                let until = w.now + w.rng.random_range(S / 2..4 * S);
                w.run(0, until);
                inject_fault(w, n);
                cancel_all(w, cancelled, 12 * S);
                let until = w.now + w.rng.random_range(4 * S..16 * S);
                w.run(0, until);
            }
            confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
            run_until_finished(w, 520 * S);
        });
        assert_all_finished(&mut w, seed);
        let commands = &w.commands;
        let counts = [
            commands.late_all,
            commands.ended,
            commands.after_newer,
            commands.by_token,
            commands.by_incarnation,
            commands.carried_out,
            commands.deposed,
        ];
        totals.iter_mut().zip(counts).for_each(|(a, b)| *a += b);
    }
    let [all, ended, newer, by_token, by_incarnation, carried, deposed] = totals;
    eprintln!(
        "{all} late, {ended} of ended processes, {newer} after a newer epoch, dropped: {by_token} by token, \
        {by_incarnation} by session; {carried} carried out, {deposed} of deposed leaders; {confirmed} cancellations"
    );
    assert!(
        newer > 40 && by_token > 20 && carried > 40 && deposed > 0 && confirmed > 20,
        "{totals:?}, {confirmed}"
    );
}

#[test]
fn commands_of_a_crashed_leader_arrive_after_those_of_its_successor() {
    play_late_commands(31_000, |w, n| w.crash_for(n, 8 * S..14 * S));
}

/// The leader pauses for longer than its lease, also between a decision and its execution, and resumes.
#[test]
fn commands_of_a_paused_leader_arrive_after_those_of_its_successor() {
    play_late_commands(31_200, |w, n| {
        w.paused_until[n] = w.now + w.rng.random_range(7 * S..16 * S);
    });
}

#[test]
fn commands_of_a_leader_partitioned_from_store_and_peers_arrive_after_those_of_its_successor() {
    play_late_commands(31_400, |w, n| {
        let (duration, hold) = (w.rng.random_range(10 * S..20 * S), w.rng.random_bool(0.5));
        w.cut_from_store_and_peers(n, duration, hold);
    });
}
