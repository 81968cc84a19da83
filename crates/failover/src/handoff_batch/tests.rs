use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Batches and their acknowledgements are lost, doubled and overtaken, epochs pass in between: each is applied once
/// at the most, none of an older epoch ever, and all arrive that had an epoch of quiet.
#[test]
fn batches_arrive_once_and_only_in_their_epoch() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut out, mut inbox) = (Outbox::default(), Inbox::default());
        let mut now = Micros(1_000_000);
        let mut epoch = 1u64;
        let mut packed = 0;
        let mut got: Vec<(u64, u32)> = Vec::new();
        let mut road: Vec<(u64, u64, (u64, u32))> = Vec::new();
        let mut back: Vec<u64> = Vec::new();
        for step in 0..400 {
            now = now + Micros::from_millis(100);
            let calm = step > 330;
            if !calm && rng.random_bool(0.02) {
                epoch += 1;
                out.clear();
                inbox.clear();
                got.clear();
                packed = 0;
            }
            if !calm && rng.random_bool(0.1) {
                packed += 1;
                out.push(now, 1, (epoch, packed));
            }
            for (n, p) in out.take_due(now, 1, Micros::from_millis(500)) {
                for _ in 0..if calm { 1 } else { rng.random_range(0..3) } {
                    road.push((epoch, n, p));
                }
            }
            while !road.is_empty() && rng.random_bool(0.7) {
                let (e, n, p) = road.swap_remove(rng.random_range(0..road.len()));
                // Frames of another epoch are dropped on arrival.
                if e == epoch {
                    inbox.accept(0, 7, n, p);
                    if calm || rng.random_bool(0.5) {
                        back.push(n);
                    }
                }
            }
            if rng.random_bool(0.5) {
                out.acknowledge(1, &std::mem::take(&mut back));
            }
            for (_, p) in inbox.take_waiting() {
                assert_eq!(p.0, epoch, "seed {seed}: of an older epoch");
                assert!(!got.contains(&p), "seed {seed}: {p:?} twice");
                got.push(p);
            }
        }
        assert!(got.len() as u32 <= packed && out.len() <= (packed as usize) - got.len());
        assert_eq!(got.len() as u32, packed, "seed {seed}");
    }
}

#[test]
fn a_batch_that_nobody_acknowledges_is_given_up() {
    let mut out = Outbox::default();
    out.push(Micros(1), 2, "p");
    assert_eq!(out.take_due(Micros(2), 2, Micros(10)).len(), 1);
    assert!(out.take_due(Micros(5), 2, Micros(10)).is_empty(), "not yet again");
    assert!(out.take_due(Micros(2), 1, Micros(10)).is_empty(), "not to others");
    assert!(out.take_due(LIFE + Micros(1), 2, Micros(10)).is_empty() && out.is_empty());
}
