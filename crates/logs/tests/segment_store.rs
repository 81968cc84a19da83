//! One store's shelf under crashes between any two steps, torn tails, flipped bits, failing syncs and full disks.

mod common;

use common::Platter;
use hazelsaddle_logs::chunk::{Chunk, Kind};
use hazelsaddle_logs::key::{AttemptKey, StreamKey};
use hazelsaddle_logs::segment::{self, Head, What};
use hazelsaddle_logs::segment_store::{Put, Retention, SegmentStore, SegmentStoreError, SegmentStoreOptions};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::collections::BTreeMap;

fn key(job: u32, task: u32) -> StreamKey {
    StreamKey::log(AttemptKey::new(&format!("wk-{job}"), task, 1).expect("valid"))
}

fn chunk(n: u32, salt: u64, len: usize) -> Chunk {
    let text = format!("{salt} {n} ").into_bytes();
    Chunk { n, at: 7, kind: Kind::Out, body: text.into_iter().cycle().take(len).collect() }
}

fn options(segment_bytes: u64) -> SegmentStoreOptions {
    SegmentStoreOptions {
        segment_bytes,
        checkpoint_bytes: 4000,
        tombstone: 500,
        cache_bytes: 1 << 20,
        ..Default::default()
    }
}

/// What was committed is there after any crash, as it was written, whatever else happened on the way.
#[test]
fn what_was_committed_survives_and_is_what_was_written() {
    let (mut crashes, mut dropped, mut moved) = (0, 0, 0);
    for seed in 0..120u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let platter = Platter::new();
        let open = |wall| SegmentStore::open(platter.open(), options(3000), wall).expect("it opens").0;
        let mut shelf = open(1);
        let mut certain: BTreeMap<(StreamKey, u32), Chunk> = BTreeMap::new();
        let mut staged = Vec::new();
        // When each stream was last dropped.
        let mut gone: BTreeMap<StreamKey, u64> = BTreeMap::new();
        let mut wall = 1;
        for _ in 0..150 {
            wall += rng.random_range(1..20);
            let k = key(rng.random_range(0..3), rng.random_range(0..4));
            match rng.random_range(0..100) {
                0..55 => {
                    let c = chunk(rng.random_range(0..40), u64::from(k.of.task), rng.random_range(1..400));
                    match shelf.append(&k, "t", 9, &c, wall) {
                        Ok(Put::New) => {
                            let long_ago = |at: &u64| wall > at + options(0).tombstone;
                            assert!(gone.get(&k).is_none_or(long_ago), "seed {seed}: {k} came back");
                            staged.push((k, c));
                        }
                        Ok(Put::Same) => {}
                        Err(SegmentStoreError::Dropped) => assert!(gone.contains_key(&k), "seed {seed}"),
                        Err(SegmentStoreError::Different(n)) => {
                            let old = certain.get(&(k.clone(), n)).cloned();
                            let old =
                                old.or(staged.iter().find(|s| s.0 == k && s.1.n == n).map(|s| s.1.clone()));
                            assert_ne!(old.as_ref(), Some(&c), "seed {seed}");
                        }
                        Err(e) => panic!("seed {seed}: {e}"),
                    }
                }
                55..80 => match shelf.commit(wall) {
                    Ok(()) => certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c))),
                    Err(_) => staged.clear(),
                },
                80..84 => {
                    let all = [k.clone()];
                    let already = shelf.stream(&k).expect("listed").is_some_and(|s| s.dropped.is_some());
                    if shelf.drop_streams(&all, wall).is_ok() {
                        certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c)));
                        certain.retain(|(s, _), _| *s != k);
                        if !already {
                            gone.insert(k, wall);
                        }
                        dropped += 1;
                    } else {
                        staged.clear();
                    }
                }
                84..87 => {
                    if shelf.release(std::slice::from_ref(&k), wall).is_ok() {
                        certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c)));
                        certain.retain(|(s, _), _| *s != k);
                    } else {
                        staged.clear();
                    }
                }
                87..93 => match shelf.compact(rng.random_range(100..3000), wall) {
                    Ok(did) => {
                        certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c)));
                        moved += u32::from(did);
                    }
                    Err(_) => staged.clear(),
                },
                93 => platter.fail_next_sync(),
                94 => {
                    platter.set_room(Some(rng.random_range(0..600)));
                    if shelf.commit(wall).is_ok() {
                        certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c)));
                    } else {
                        staged.clear();
                    }
                    platter.set_room(None);
                }
                _ => {
                    crashes += 1;
                    platter.crash(&mut rng);
                    drop(shelf);
                    shelf = open(wall);
                    // What was staged may have come through, or not.
                    for (k, c) in staged.drain(..) {
                        if shelf.read(&k, c.n).expect("readable") == Some(c.clone()) {
                            certain.insert((k, c.n), c);
                        }
                    }
                }
            }
            if rng.random_bool(0.1) {
                for ((k, n), c) in &certain {
                    assert_eq!(
                        shelf.read(k, *n).expect("readable").as_ref(),
                        Some(c),
                        "seed {seed}: {k} {n}"
                    );
                }
            }
        }
        if shelf.commit(wall).is_ok() {
            certain.extend(staged.drain(..).map(|(k, c)| ((k, c.n), c)));
        }
        // The index says what can be read, no more and no less; so does one that is made anew.
        for anew in [false, true] {
            if anew {
                drop(shelf);
                platter.lose_index();
                shelf = open(wall);
            }
            for (k, s) in shelf.streams("", None, 1000).expect("listed") {
                let held: Vec<u32> = certain.keys().filter(|c| c.0 == k).map(|c| c.1).collect();
                assert_eq!(s.held.iter().collect::<Vec<_>>(), held, "seed {seed} {anew}: {k}");
                assert!(s.dropped.is_none() || gone.contains_key(&k), "seed {seed} {anew}: {k}");
            }
            for ((k, n), c) in &certain {
                assert_eq!(
                    shelf.read(k, *n).expect("readable").as_ref(),
                    Some(c),
                    "seed {seed} {anew}: {k} {n}"
                );
            }
        }
        let live: u64 = shelf.segments().expect("listed").values().map(|s| s.live).sum();
        assert!(live <= shelf.used(), "seed {seed}");
    }
    assert!(crashes > 500 && dropped > 300 && moved > 100, "{crashes} {dropped} {moved}");
}

/// Damage in the middle is found, never served, and hides nothing else.
#[test]
fn flipped_bits_are_never_served() {
    let mut found = 0;
    for seed in 0..60u64 {
        let mut rng = StdRng::seed_from_u64(seed);
        let platter = Platter::new();
        let (mut shelf, _) = SegmentStore::open(platter.open(), options(5000), 1).expect("it opens");
        let mut all = Vec::new();
        for n in 0..60 {
            let c = chunk(n, seed, 150);
            shelf.append(&key(1, n % 3), "t", 1, &c, 1).expect("taken");
            all.push((key(1, n % 3), c));
            if n % 7 == 0 {
                shelf.commit(1).expect("committed");
            }
        }
        shelf.commit(1).expect("committed");
        assert!(platter.flip(&mut rng));
        if seed % 2 == 0 {
            drop(shelf);
            platter.lose_index();
            shelf = SegmentStore::open(platter.open(), options(5000), 1).expect("it opens").0;
        } else {
            while shelf.scrub().expect("scrubbed") > 0 {}
            shelf.commit(1).expect("committed");
        }
        let bad = all
            .iter()
            .filter(|(k, c)| shelf.read(k, c.n).expect("told apart by now").as_ref() != Some(c))
            .count();
        assert!(bad <= 1, "seed {seed}: {bad} chunks for one bit");
        for (k, c) in &all {
            let held = shelf.stream(k).expect("listed").expect("known").held.contains(c.n);
            assert_eq!(shelf.read(k, c.n).expect("readable"), held.then(|| c.clone()), "seed {seed}");
            // It can be put back.
            assert!(shelf.append(k, "t", 1, c, 1).is_ok(), "seed {seed}");
        }
        found += bad;
    }
    assert!(found > 40, "{found} of 60 flips hit a chunk");
}

#[test]
fn another_writer_another_content_and_what_lies_behind_the_end_are_refused() {
    let (mut s, _) = SegmentStore::open(Platter::new().open(), options(1 << 20), 1).expect("it opens");
    let k = key(1, 1);
    s.append(&k, "t", 1, &chunk(0, 1, 10), 1).expect("taken");
    assert!(matches!(s.append(&k, "t", 2, &chunk(1, 1, 10), 1), Err(SegmentStoreError::Token)));
    assert!(matches!(s.append(&k, "t", 1, &chunk(0, 2, 10), 1), Err(SegmentStoreError::Different(0))));
    assert!(matches!(s.append(&k, "t", 1, &chunk(0, 1, 10), 1), Ok(Put::Same)));
    let end = Chunk { n: 3, at: 1, kind: Kind::Close, body: b"{\"why\":\"done\"}".to_vec() };
    s.append(&k, "t", 1, &end, 1).expect("taken");
    s.commit(1).expect("committed");
    assert!(matches!(s.append(&k, "t", 1, &chunk(4, 1, 10), 1), Err(SegmentStoreError::BehindEnd(4))));
    assert!(!s.stream(&k).expect("listed").expect("known").whole());
    for n in 1..3 {
        s.append(&k, "t", 1, &chunk(n, 1, 10), 1).expect("late ones before the end");
    }
    s.commit(1).expect("committed");
    assert!(s.stream(&k).expect("listed").expect("known").whole());
}

#[test]
fn retention_drops_the_oldest_closed_streams_and_never_a_running_one() {
    let (mut s, _) = SegmentStore::open(Platter::new().open(), options(1000), 1).expect("it opens");
    let end = |n| Chunk { n, at: 1, kind: Kind::Close, body: b"{\"why\":\"done\"}".to_vec() };
    for task in 0..10 {
        let wall = 1000 + u64::from(task);
        s.append(&key(1, task), "t", 1, &chunk(0, 1, 800), wall).expect("taken");
        // Task 0 is the oldest, and runs.
        if task > 0 {
            s.append(&key(1, task), "t", 1, &end(1), wall).expect("taken");
        }
    }
    s.commit(1010).expect("committed");
    let team = s.teams().expect("listed")["t"];
    let keep = Retention { age: 1_000_000, team_bytes: team / 2 };
    let gone = s.retire(&keep, 1020, |_| false).expect("retired");
    let tasks: Vec<u32> = gone.iter().map(|k| k.of.task).collect();
    assert!(tasks.len() >= 4 && tasks.windows(2).all(|w| w[0] + 1 == w[1]) && tasks[0] == 1, "{tasks:?}");
    assert!(s.teams().expect("listed")["t"] <= team / 2);
    assert!(s.retire(&keep, 1020, |_| false).expect("retired").is_empty());
    // Age takes the rest of the closed ones; the running one only once it is as old itself.
    let keep = Retention { age: 5000, team_bytes: u64::MAX };
    let rest = s.retire(&keep, 6009, |of| of.task == 0).expect("retired");
    assert!(!rest.is_empty() && rest.iter().all(|k| k.of.task != 0), "{rest:?}");
    assert!(s.retire(&keep, 6009, |_| false).expect("retired").iter().any(|k| k.of.task == 0));
    assert!(matches!(s.append(&key(1, 1), "t", 1, &chunk(2, 1, 10), 6010), Err(SegmentStoreError::Dropped)));
    // What is dropped gives its room back.
    let used = s.used();
    while s.compact(1 << 20, 6020).expect("compacted") {}
    assert!(s.used() < used / 2, "{} of {used}", s.used());
}

/// A sync fails, so the segment is left, since what its end holds is in doubt. The next process must not add to it either,
/// although the one that was begun in its place has no file yet.
#[test]
fn a_segment_whose_sync_failed_is_never_added_to_again() {
    let platter = Platter::new();
    let open = || SegmentStore::open(platter.open(), options(1 << 20), 1).expect("it opens").0;
    let mut s = open();
    s.append(&key(1, 0), "t", 1, &chunk(0, 1, 50), 1).expect("taken");
    s.commit(1).expect("committed");
    s.append(&key(1, 0), "t", 1, &chunk(1, 1, 50), 1).expect("taken");
    platter.fail_next_sync();
    assert!(s.commit(1).is_err());
    s.checkpoint(1).expect("the index is durable");
    drop(s);
    let left = platter.segments()[&1].clone();
    let mut s = open();
    s.append(&key(1, 0), "t", 1, &chunk(2, 1, 50), 1).expect("taken");
    s.commit(1).expect("committed");
    assert_eq!(platter.segments()[&1], left);
    drop(s);
    let mut s = open();
    assert_eq!(s.read(&key(1, 0), 2).expect("readable"), Some(chunk(2, 1, 50)));
    assert_eq!(s.read(&key(1, 0), 1).expect("readable"), None);
}

/// After a crash, too, what is kept for how long goes by when the store took it. An artefact's chunks have no time of
/// their own, and a writer's clock may be wrong: once, both were dropped as years old by the first look after a start.
#[test]
fn retention_goes_by_the_stores_own_time_after_a_crash() {
    let platter = Platter::new();
    let day = 86_400_000_000u64;
    let wall = 20_000 * day;
    let (mut s, _) = SegmentStore::open(platter.open(), options(1 << 20), wall).expect("it opens");
    for (task, at) in [(0, 0), (1, 3 * day), (2, wall + 900 * day)] {
        s.append(&key(1, task), "t", 1, &Chunk { at, ..chunk(0, 1, 50) }, wall).expect("taken");
        let end = Chunk { n: 1, at, kind: Kind::Close, body: b"{\"why\":\"done\"}".to_vec() };
        s.append(&key(1, task), "t", 1, &end, wall).expect("taken");
    }
    s.commit(wall).expect("committed");
    drop(s);
    platter.lose_index();
    let (mut s, _) = SegmentStore::open(platter.open(), options(1 << 20), wall + 60).expect("it opens");
    let keep = Retention { age: 14 * day, team_bytes: u64::MAX };
    assert!(s.retire(&keep, wall + 60, |_| false).expect("retired").is_empty());
    assert_eq!(s.retire(&keep, wall + 15 * day, |_| false).expect("retired").len(), 3);
}

#[test]
fn a_full_disk_refuses_new_data_and_keeps_serving() {
    let platter = Platter::new();
    let limited = SegmentStoreOptions { max_bytes: 3000, ..options(1 << 20) };
    let (mut s, _) = SegmentStore::open(platter.open(), limited, 1).expect("it opens");
    let mut n = 0;
    while s.append(&key(1, 0), "t", 1, &chunk(n, n.into(), 300), 1).is_ok() {
        s.commit(1).expect("committed");
        n += 1;
    }
    assert!(n > 2);
    assert!(matches!(s.append(&key(1, 0), "t", 1, &chunk(n, 1, 300), 1), Err(SegmentStoreError::Full)));
    assert!((0..n).all(|i| s.read(&key(1, 0), i).expect("readable").is_some()));
}

#[test]
fn a_search_finds_text_and_skips_segments_by_their_sketch() {
    let (mut s, _) = SegmentStore::open(Platter::new().open(), options(1000), 1).expect("it opens");
    for n in 0..40u32 {
        let body = format!("line {n} says {}\n", if n == 17 { "Zanzibar" } else { "nothing" }).into_bytes();
        s.append(&key(1, n), "t", 1, &Chunk { n: 0, at: 1, kind: Kind::Out, body }, 1).expect("taken");
        s.commit(1).expect("committed");
    }
    let sketched = s.segments().expect("listed").values().filter(|g| g.sketch.is_some()).count();
    assert!(sketched > 2, "{sketched}");
    let (hits, next) = s.search("zanzibar", 0, 100).expect("searched");
    assert_eq!((hits, next), (vec![(key(1, 17), 0)], None));
    let (hits, _) = s.search("17 says zanzibar", 0, 100).expect("searched");
    assert_eq!(hits.len(), 1);
    assert!(s.search("anzibar", 0, 100).expect("searched").0.is_empty(), "whole words");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Any bytes at all: never a panic, and no record that was not written.
    #[test]
    fn damaged_segments_yield_only_records_that_were_written(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 1..20),
        cuts in proptest::collection::vec((any::<u16>(), any::<u8>(), 0..40usize), 0..8),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = Vec::new();
        let mut written = Vec::new();
        for (n, body) in bodies.iter().enumerate() {
            let head = Head { stream: key(1, 1), team: "t".into(), token: 1, n: n as u32, at: 5, taken: 5 };
            segment::write(&mut bytes, n as u64, What::Chunk(Kind::Out), &head, body, n % 2 == 0).expect("it fits");
            written.push(body.clone());
        }
        for (at, with, len) in cuts {
            let at = usize::from(at) % bytes.len();
            let end = (at + len).min(bytes.len());
            bytes[at..end].fill(with);
        }
        bytes.extend_from_slice(&noise);
        let platter = Platter::new();
        let len = bytes.len() as u64;
        platter.set_segment(1, bytes.clone());
        let mut seen = Vec::new();
        let scan = segment::scan(platter.open().as_mut(), 1, 0, len, |_, _, r| {
            seen.push(r);
            true
        }).expect("scanned");
        for r in &seen {
            prop_assert_eq!(&r.body, &written[r.head.n as usize]);
        }
        prop_assert!(scan.end + scan.tail == len);
        let _ = segment::read(&noise);
        // A store opens over it, and serves no more than that.
        let (mut shelf, _) = SegmentStore::open(platter.open(), options(1 << 20), 1).expect("it opens");
        for (n, body) in written.iter().enumerate() {
            if let Some(c) = shelf.read(&key(1, 1), n as u32).expect("readable") {
                prop_assert_eq!(&c.body, body);
            }
        }
    }

    /// Frames from anybody: never a panic; what is taken is taken as a whole.
    #[test]
    fn frames_of_any_bytes_are_taken_whole_or_not_at_all(
        noise in proptest::collection::vec(any::<u8>(), 0..400),
        at in any::<u16>(), with in any::<u8>(),
    ) {
        use hazelsaddle_cluster::transport::Framed;
        use hazelsaddle_logs::wire::{Answer, Ask, Batch, Frame, Page, Request};
        let _ = (Request::decode(&noise), Answer::decode(&noise), Frame::decode(&noise), Page::decode(&noise));
        // An artefact's manifest is its last chunk.
        let _ = serde_json::from_slice::<hazelsaddle_logs::chunk::Close>(&noise);
        let batch = Batch { stream: key(1, 2), team: "t".into(), token: 3, chunks: vec![chunk(1, 2, 100)] };
        let request = Request { form: 1, ask: Ask::Append { batch, stalled: 0 } };
        let mut bytes = request.encode().expect("encoded")[4..].to_vec();
        prop_assert_eq!(Request::decode(&bytes), Some(request));
        let at = usize::from(at) % bytes.len();
        bytes[at] ^= with;
        let _ = Request::decode(&bytes);
    }
}

/// `FUZZ_CASES=100000` fuzzes for longer.
fn cases() -> u32 {
    std::env::var("FUZZ_CASES").ok().and_then(|c| c.parse().ok()).unwrap_or(300)
}
