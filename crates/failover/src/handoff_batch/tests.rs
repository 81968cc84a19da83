use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Batches and their acknowledgements are lost, duplicated and reordered, and epochs change in between. Each batch
/// must be applied at most once and none of an older epoch ever, and all must arrive once their epoch lasts without
/// losses.
#[test]
fn batches_are_applied_once_and_only_in_their_epoch() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut outbox, mut inbox) = (Outbox::default(), Inbox::default());
        let mut now = Micros(1_000_000);
        let mut epoch = 1u64;
        let mut pushed = 0;
        let mut applied: Vec<(u64, u32)> = Vec::new();
        let mut messages: Vec<(u64, u64, (u64, u32))> = Vec::new();
        let mut acknowledgements: Vec<u64> = Vec::new();
        for step in 0..400 {
            now = now + Micros::from_millis(100);
            let is_lossless = step > 330;
            if !is_lossless && rng.random_bool(0.02) {
                epoch += 1;
                outbox.clear();
                inbox.clear();
                applied.clear();
                pushed = 0;
            }
            if !is_lossless && rng.random_bool(0.1) {
                pushed += 1;
                outbox.push(now, 1, (epoch, pushed));
            }
            for (number, batch) in outbox.take_due(now, 1, Micros::from_millis(500)) {
                for _ in 0..if is_lossless { 1 } else { rng.random_range(0..3) } {
                    messages.push((epoch, number, batch));
                }
            }
            while !messages.is_empty() && rng.random_bool(0.7) {
                let (sent_in_epoch, number, batch) =
                    messages.swap_remove(rng.random_range(0..messages.len()));
                // Frames of another epoch are dropped on arrival.
                if sent_in_epoch == epoch {
                    inbox.accept(0, 7, number, batch);
                    if is_lossless || rng.random_bool(0.5) {
                        acknowledgements.push(number);
                    }
                }
            }
            if rng.random_bool(0.5) {
                outbox.acknowledge(1, &std::mem::take(&mut acknowledgements));
            }
            for (_, batch) in inbox.take_waiting() {
                assert_eq!(batch.0, epoch, "seed {seed}: a batch of an older epoch");
                assert!(!applied.contains(&batch), "seed {seed}: {batch:?} was applied twice");
                applied.push(batch);
            }
        }
        assert!(applied.len() as u32 <= pushed && outbox.len() <= (pushed as usize) - applied.len());
        assert_eq!(applied.len() as u32, pushed, "seed {seed}");
    }
}

#[test]
fn an_unacknowledged_batch_is_dropped_after_its_lifetime() {
    let mut outbox = Outbox::default();
    outbox.push(Micros(1), 2, "p");
    assert_eq!(outbox.take_due(Micros(2), 2, Micros(10)).len(), 1);
    assert!(outbox.take_due(Micros(5), 2, Micros(10)).is_empty(), "the pause has not passed");
    assert!(outbox.take_due(Micros(2), 1, Micros(10)).is_empty(), "it is for another controller");
    assert!(outbox.take_due(BATCH_LIFETIME + Micros(1), 2, Micros(10)).is_empty() && outbox.is_empty());
}
