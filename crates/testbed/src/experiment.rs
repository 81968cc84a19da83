//! Experiments: a deployment under seeded faults, and an account of what came of it.

use crate::http::lock;
use crate::local_cluster::{LocalCluster, Size};
use crate::measure;
use crate::worker::{Script, Written, line};
use hazelsaddle_logs::chunk::{BackPressure, Gap, Kind};
use hazelsaddle_logs::key::{AttemptKey, StreamKey};
use hazelsaddle_logs::reader::{Piece, Reader};
use hazelsaddle_logs::spool::Policy;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use std::path::Path;
use std::time::{Duration, Instant};

/// What is done to the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Where all chance comes from.
    pub seed: u64,
    /// Machines at the start.
    pub workers: usize,
    /// Machines, stores and controllers killed.
    pub kills: usize,
    /// Machines drained.
    pub drains: usize,
    /// MiB written for the measurement of the disk.
    pub mib: u64,
}

/// What came of it. The middle ones are 0, and `files_intact` is `files_put`, whatever the seed.
#[derive(Debug, Default, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Jobs that were done in time, and all of them.
    pub jobs_done: usize,
    /// See `jobs_done`.
    pub jobs: usize,
    /// Attempts that wrote something.
    pub attempts: usize,
    /// Lines acknowledged to their writers.
    pub lines_acked: u64,
    /// Lines read back.
    pub lines_recovered: u64,
    /// Lines that gaps stand for.
    pub lines_in_gaps: u64,
    /// Lines that are missing without a gap, acknowledged or in the middle.
    pub lost_unmarked: u64,
    /// Lines read twice or out of order.
    pub duplicated: u64,
    /// Lines of one attempt in the log of another.
    pub mixed_attempts: u64,
    /// Files whose writer was told that they are kept.
    pub files_put: u64,
    /// Of those, the ones that were fetched with the right content.
    pub files_intact: u64,
    /// Closed logs whose waits are not all on record.
    pub stalls_unreported: u64,
    /// Machines, stores and controllers killed; machines drained.
    pub kills: (u32, u32, u32),
    /// See `kills`.
    pub drains: u32,
    /// What one store takes, in MB/s, compression off, 64 KiB chunks.
    pub store_mb_per_s: f64,
    /// Plain writes with as many bytes a sync, on the same disk.
    pub disk_mb_per_s: f64,
    /// From writing a line to reading it as a follower, in milliseconds, while all this went on.
    pub follow_p50_ms: f64,
    /// See `follow_p50_ms`.
    pub follow_p99_ms: f64,
    /// The longest time from starting a killed store to its first answer, in seconds.
    pub recover_s: f64,
}

impl Outcome {
    /// Whether all that must hold on every seed does.
    pub fn holds(&self) -> bool {
        self.lost_unmarked == 0
            && self.duplicated == 0
            && self.mixed_attempts == 0
            && self.stalls_unreported == 0
            && self.files_intact == self.files_put
            && self.jobs_done == self.jobs
            && self.lines_recovered > 0
    }
}

fn scripts(rng: &mut StdRng) -> Script {
    let policy = if rng.random_bool(0.5) { Policy::Block } else { Policy::Drop };
    let burst = rng.random_range(5..60);
    Script {
        team: "lab-team".into(),
        cpus: 1.0,
        lines: rng.random_range(200..4000),
        width: rng.random_range(60..400),
        pause: Duration::from_millis(rng.random_range(5..60)),
        burst,
        policy,
        spool: rng.random_range(16..256) << 10,
        file: if rng.random_bool(0.6) { rng.random_range(1..2_000_000) } else { 0 },
    }
}

/// The experiment on logs: jobs write known output while machines, stores and controllers are killed and machines
/// drained; then everything is read back.
///
/// # Errors
/// If the deployment can't be started at all.
pub fn logs(program: &Path, plan: Plan) -> Result<Outcome, Box<dyn std::error::Error>> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    // One attempt may write 300 KiB/s: some scripts are faster, so that spools fill up.
    let settings = vec![
        ("limits", "attempt_kib_s = 300".to_owned()),
        ("disk", "segment_mib = 2".to_owned()),
        ("disk", "checkpoint_mib = 2".to_owned()),
        ("retention", "silent_s = 5".to_owned()),
        ("copies", "heal_ms = 3".to_owned()),
    ];
    let mut town = LocalCluster::start(
        program,
        &Size { workers: plan.workers, stores: 4, settings, ..Size::default() },
    )?;
    let mut out = Outcome { seed: plan.seed, ..Outcome::default() };
    let mut jobs = Vec::new();
    for j in 0..3 + plan.workers / 3 {
        let id = format!("wk-{:06}", plan.seed % 1000 * 1000 + j as u64);
        let tasks = rng.random_range(2..6);
        town.submit(&id, tasks, scripts(&mut rng))?;
        jobs.push(id);
    }
    let follow = measure::Follow::start(&town.links, &town.doors);
    // Kills and drains come at seeded moments; whatever was killed comes back a while later.
    let mut events: Vec<(u64, u32)> = Vec::new();
    for _ in 0..plan.kills {
        events.push((rng.random_range(1500..14_000), rng.random_range(0..5)));
    }
    for _ in 0..plan.drains {
        events.push((rng.random_range(1500..14_000), 9));
    }
    events.sort_unstable();
    let begun = Instant::now();
    let mut back: Vec<(Instant, bool, usize)> = Vec::new();
    for (at, kind) in events {
        loop {
            revive(&mut town, &mut back, &mut out)?;
            lock(&town.cloud).sweep();
            if begun.elapsed() >= Duration::from_millis(at) {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let later = Instant::now() + Duration::from_millis(rng.random_range(500..5000));
        let up = lock(&town.cloud).up();
        let pick = rng.random_range(0..1000usize);
        match kind {
            // One store at a time: two of three copies must be there to acknowledge.
            0 | 1 if town.stores_up().len() == town.doors.len() => {
                let i = pick % town.doors.len();
                town.kill_store(i);
                back.push((later, true, i));
                out.kills.1 += 1;
            }
            2 if town.controllers_up().len() == 3 => {
                town.kill_controller(pick % 3);
                back.push((later, false, pick % 3));
                out.kills.2 += 1;
            }
            9 if !up.is_empty() => {
                let notice = Duration::from_millis(rng.random_range(1500..6000));
                lock(&town.cloud).drain(&up[pick % up.len()], notice);
                out.drains += 1;
            }
            _ if !up.is_empty() => {
                lock(&town.cloud).kill(&up[pick % up.len()]);
                out.kills.0 += 1;
            }
            _ => {}
        }
    }
    while !back.is_empty() {
        revive(&mut town, &mut back, &mut out)?;
        std::thread::sleep(Duration::from_millis(20));
    }
    let late = town.wait(&jobs, Duration::from_secs(180), || {});
    if !late.is_empty() {
        tracing::error!(jobs = ?late, "not done in time");
    }
    (out.jobs, out.jobs_done) = (jobs.len(), jobs.len() - late.len());
    // Killed attempts fall silent; copies that were missed are healed.
    std::thread::sleep(Duration::from_secs(7));
    (out.follow_p50_ms, out.follow_p99_ms) = follow.end();
    check(&town, &mut out);
    if !out.holds() {
        let kept = std::env::temp_dir().join(format!("hazelsaddle-testbed-{}.log", plan.seed));
        std::fs::write(&kept, town.logs())?;
        tracing::error!(seed = plan.seed, logs = %kept.display(), "the experiment does not hold");
    }
    drop(town);
    if plan.mib > 0 {
        (out.store_mb_per_s, out.disk_mb_per_s) = measure::ingest(plan.mib)?;
    }
    Ok(out)
}

/// Starts again what was killed, once its time has come.
fn revive(
    town: &mut LocalCluster,
    back: &mut Vec<(Instant, bool, usize)>,
    out: &mut Outcome,
) -> Result<(), Box<dyn std::error::Error>> {
    while let Some(n) = back.iter().position(|b| Instant::now() >= b.0) {
        let (_, store, i) = back.swap_remove(n);
        if store {
            town.start_store(i)?;
            let took = town.store_answers(i, Duration::from_secs(30)).ok_or("a store does not start")?;
            out.recover_s = out.recover_s.max(took.as_secs_f64());
        } else {
            town.start_controller(i)?;
        }
    }
    Ok(())
}

/// Reads everything back and compares it with what the writers say.
fn check(town: &LocalCluster, out: &mut Outcome) {
    let mut reader = Reader::new(town.doors.clone());
    // Threads of machines that were killed may still be counting.
    std::thread::sleep(Duration::from_millis(500));
    let written = lock(&town.registry.written).clone();
    let scripts = lock(&town.registry.scripts).clone();
    for (of, w) in &written {
        let Some(script) = scripts.get(&of.job) else { continue };
        out.attempts += 1;
        out.lines_acked += w.shipped.lines;
        read(&mut reader, of, w, script.width, out);
        for (name, size, hash) in &w.files {
            out.files_put += 1;
            let into = town.folder().join("fetched");
            let Ok(key) = StreamKey::artefact(of.clone(), name) else { continue };
            match reader.fetch(&key, &into, |_, _| {}) {
                Ok(end) if end.size == Some(*size) && end.hash.as_deref() == Some(hash) => {
                    let right = std::fs::read(&into).is_ok_and(|c| c.len() as u64 == *size);
                    out.files_intact += u64::from(right);
                }
                other => tracing::error!(%of, name, ?other, "a file is not what was kept"),
            }
        }
    }
}

fn read(reader: &mut Reader, of: &AttemptKey, w: &Written, width: usize, out: &mut Outcome) {
    // Numbers below `next` were read, or a gap stands for them. A gap lies between two chunks, so what it stands for
    // is known only when the next line has been read.
    let (mut next, mut gaps, mut recovered, mut waited) = (0u64, 0u64, 0u64, 0u64);
    let (mut closed, mut unmarked, mut duplicated, mut mixed) = (false, 0u64, 0u64, 0u64);
    let own = format!("{of} ");
    let done = reader.stream(&StreamKey::log(of.clone()), 0, false, |piece| {
        match piece {
            Piece::Chunk(c) if c.kind.is_output() => {
                for text in String::from_utf8_lossy(&c.body).split_inclusive('\n') {
                    let Some(n) =
                        text.strip_prefix(&own).and_then(|t| t.split(' ').next()?.parse::<u32>().ok())
                    else {
                        mixed += 1;
                        continue;
                    };
                    if text != line(of, n, width) {
                        mixed += 1;
                        continue;
                    }
                    let n = u64::from(n);
                    // Standard error and standard output go in chunks of their own, in the order of writing.
                    match n.checked_sub(next) {
                        None => duplicated += 1,
                        Some(skipped) => {
                            unmarked += skipped.saturating_sub(gaps);
                            gaps = gaps.saturating_sub(skipped);
                            next = n + 1;
                            recovered += 1;
                        }
                    }
                }
            }
            Piece::Chunk(c) if c.kind == Kind::Gap => {
                let g: Gap = serde_json::from_slice(&c.body).unwrap_or_default();
                gaps += g.lines;
                out.lines_in_gaps += g.lines;
            }
            Piece::Chunk(c) if c.kind == Kind::BackPressure => {
                let s: BackPressure = serde_json::from_slice(&c.body).unwrap_or_default();
                waited += s.waited;
            }
            Piece::Chunk(_) => {}
            Piece::Missing(a, b) => {
                tracing::error!(%of, a, b, "chunks are missing");
                unmarked += u64::from(b - a + 1);
            }
            Piece::End { closed: c, .. } => closed = c,
        }
        true
    });
    if let Err(e) = done {
        tracing::error!(%of, reason = %e, "a log can't be read");
        unmarked += w.shipped.lines;
    }
    out.lines_recovered += recovered;
    out.duplicated += duplicated;
    out.mixed_attempts += mixed;
    if closed {
        // Everything that was written is there, or a gap is.
        unmarked += u64::from(w.lines).saturating_sub(next + gaps);
        out.stalls_unreported += u64::from(waited != w.shipped.waited);
    } else {
        // All that was acknowledged is there at least.
        unmarked += w.shipped.lines.saturating_sub(recovered);
    }
    if unmarked > 0 {
        tracing::error!(%of, unmarked, recovered, closed, written = ?w, "lines are missing without a gap");
    }
    out.lost_unmarked += unmarked;
}
