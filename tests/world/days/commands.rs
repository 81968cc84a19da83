//! Direct commands of a leader that has ended, or was deposed, come to workers after those of the next one, while users cancel.

use super::compound::*;
use crate::*;

/// Leaders follow one another every few seconds, each in a way that `befall` brings about, and half of what each sends straight
/// to workers, or all, is 2 to 16 s late.
fn late_commands(base: u64, befall: impl Fn(&mut World, usize)) {
    let rounds = if std::env::var("WORLD_SEEDS").is_ok() { seeds() } else { 0..8 };
    let (mut met, mut confirmed) = ([0; 7], 0);
    for seed in rounds.map(|r| base + r) {
        let mut w = World::new(seed, Shape { machines: 12, zone_capacity: 10, jobs: 30, ..SMALL });
        (w.answer_gaps.pollers, w.shape.run) = (true, 40 * S);
        guarded(seed, &mut w, |w| {
            w.run(0, 20 * S);
            let ids = long_jobs(w, 12, 110 * S);
            w.run(0, 40 * S);
            w.delay_fencing_probes([0.5, 1.0][seed as usize % 2], 110 * S);
            for (i, some) in ids[..8].chunks(2).enumerate() {
                let n = (seed as usize + i) % 3;
                // Somebody is back: machines change their home, and are asked under a new epoch.
                w.crash_for((n + 1) % 3, S / 20..S / 10);
                let until = w.now + w.rng.random_range(S / 2..4 * S);
                w.run(0, until);
                befall(w, n);
                cancel_all(w, some, 12 * S);
                let until = w.now + w.rng.random_range(4 * S..16 * S);
                w.run(0, until);
            }
            confirmed += w.compound.cancel_answers.values().filter(|t| t.tasks > 0).count();
            settle(w, 520 * S);
        });
        ended(&mut w, seed);
        let c = &w.commands;
        let of = [c.late_all, c.ended, c.after_newer, c.by_token, c.by_incarnation, c.carried_out, c.deposed];
        met.iter_mut().zip(of).for_each(|(a, b)| *a += b);
    }
    let [all, ended, newer, by_token, by_incarnation, carried, deposed] = met;
    eprintln!(
        "{all} late, {ended} of ended processes, {newer} after a newer epoch, dropped: {by_token} by token, \
        {by_incarnation} by session; {carried} carried out, {deposed} of deposed leaders; {confirmed} cancellations"
    );
    assert!(
        newer > 40 && by_token > 20 && carried > 40 && deposed > 0 && confirmed > 20,
        "{met:?}, {confirmed}"
    );
}

#[test]
fn commands_of_a_leader_that_has_ended_come_after_the_next_ones() {
    late_commands(31_000, |w, n| w.crash_for(n, 8 * S..14 * S));
}

/// It stands still, also between deciding and doing, for longer than its lease, and goes on.
#[test]
fn commands_of_a_leader_that_stood_still_come_after_the_next_ones() {
    late_commands(31_200, |w, n| {
        w.paused_until[n] = w.now + w.rng.random_range(7 * S..16 * S);
    });
}

#[test]
fn commands_of_a_leader_that_is_cut_from_store_and_peers_come_after_the_next_ones() {
    late_commands(31_400, |w, n| {
        let (long, hold) = (w.rng.random_range(10 * S..20 * S), w.rng.random_bool(0.5));
        w.cut_from_store_and_peers(n, long, hold);
    });
}
