//! What a shipper still has to send: output that has no number yet, and numbered chunks that are not yet
//! acknowledged. Pure state; `shipper` has the threads.
//!
//! A chunk gets its number when it is sent for the first time, and is never changed from then on: only what was never
//! sent may be dropped. So whatever became of a request, sending its chunks again is safe.

use crate::chunk::{BackPressure, Chunk, Close, Gap, Kind};
use std::collections::{BTreeSet, VecDeque};

/// What to do with output while storage is slower than the task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The task waits. How long stands in the log.
    Block,
    /// The oldest output that was not sent yet is dropped. A gap stands in its place.
    Drop,
}

/// Sizes of a spool.
#[derive(Clone, Copy, Debug)]
pub struct SpoolOptions {
    /// What to do when it is full.
    pub policy: Policy,
    /// Bytes it holds at the most.
    pub bytes: usize,
    /// Bytes of a chunk at the most.
    pub chunk: usize,
    /// Output that waits for so long is sent however little it is, in microseconds.
    pub linger: u64,
}

impl Default for SpoolOptions {
    fn default() -> SpoolOptions {
        SpoolOptions { policy: Policy::Block, bytes: 8 << 20, chunk: 64 << 10, linger: 200_000 }
    }
}

/// Output without a number.
#[derive(Debug)]
struct Piece {
    kind: Kind,
    at: u64,
    to: u64,
    body: Vec<u8>,
    gap: Option<Gap>,
}

/// What became of output that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// All of it was taken.
    Taken,
    /// So many bytes were; the task must wait before it offers the rest.
    Full(usize),
}

/// One attempt's log on its way to the stores.
#[derive(Debug)]
pub struct Spool {
    options: SpoolOptions,
    /// Oldest first. At most one gap, and nothing sent, in front of what was offered.
    unsent: VecDeque<Piece>,
    sent: VecDeque<Chunk>,
    acked: BTreeSet<u32>,
    next: u32,
    bytes: usize,
    in_flight: usize,
    waiting_since: Option<u64>,
    waited: u64,
    dropped: Gap,
    /// Line ends in output that was acknowledged.
    lines: u64,
    closed: bool,
}

fn lines(body: &[u8]) -> u64 {
    body.iter().filter(|&&b| b == b'\n').count() as u64
}

impl Spool {
    /// An empty one.
    pub fn new(options: SpoolOptions) -> Spool {
        Spool {
            options: SpoolOptions {
                chunk: options.chunk.clamp(1, options.bytes.max(4) / 4),
                bytes: options.bytes.max(4),
                ..options
            },
            unsent: VecDeque::new(),
            sent: VecDeque::new(),
            acked: BTreeSet::new(),
            next: 0,
            bytes: 0,
            in_flight: 0,
            waiting_since: None,
            waited: 0,
            dropped: Gap::default(),
            lines: 0,
            closed: false,
        }
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
    /// For how long the task has been waiting by now, in microseconds; 0: it is not.
    pub fn stalled(&self, now: u64) -> u64 {
        self.waiting_since.map_or(0, |since| now.saturating_sub(since).max(1))
    }
    /// How long the task has waited altogether, in microseconds.
    pub fn waited(&self, now: u64) -> u64 {
        self.waited + self.stalled(now)
    }
    /// All that was dropped so far.
    pub fn dropped(&self) -> &Gap {
        &self.dropped
    }
    /// Lines that are on enough disks.
    pub fn lines_acked(&self) -> u64 {
        self.lines
    }
    /// Whether everything is acknowledged.
    pub fn is_empty(&self) -> bool {
        self.unsent.is_empty() && self.sent.is_empty()
    }
    /// How many chunks have a number.
    pub fn numbered(&self) -> u32 {
        self.next
    }

    /// Takes output of the task.
    pub fn offer(&mut self, now: u64, kind: Kind, mut output: &[u8]) -> Offer {
        if self.closed {
            return Offer::Taken;
        }
        let all = output.len();
        while !output.is_empty() {
            let room = self.options.bytes.saturating_sub(self.bytes);
            let grows = matches!(self.unsent.back(), Some(p)
                if p.kind == kind && p.gap.is_none() && p.body.len() < self.options.chunk);
            let free = match self.unsent.back() {
                Some(p) if grows => self.options.chunk - p.body.len(),
                _ => self.options.chunk,
            };
            let most = output.len().min(room).min(free);
            // Chunks end at a line's end, so that a gap takes whole lines; only a line longer than a chunk is cut.
            let n = match output[..most].iter().rposition(|&b| b == b'\n') {
                Some(end) => end + 1,
                None => {
                    let line = output.iter().position(|&b| b == b'\n').map_or(output.len(), |end| end + 1);
                    let line = line.min(self.options.chunk);
                    if line > room {
                        if self.options.policy == Policy::Block {
                            self.waiting_since.get_or_insert(now);
                            return Offer::Full(all - output.len());
                        }
                        if !self.drop_oldest(now) {
                            // All that is held is under way already: the newest goes instead.
                            self.note_gap(now, &output[..line], "storage was slower than the task");
                            output = &output[line..];
                        }
                        continue;
                    }
                    if line > free {
                        self.unsent.push_back(Piece { kind, at: now, to: now, body: Vec::new(), gap: None });
                        continue;
                    }
                    line
                }
            };
            if !grows {
                self.unsent.push_back(Piece { kind, at: now, to: now, body: Vec::new(), gap: None });
            }
            if let Some(p) = self.unsent.back_mut() {
                p.body.extend_from_slice(&output[..n]);
                p.to = now;
            }
            self.bytes += n;
            output = &output[n..];
        }
        self.end_wait(now);
        Offer::Taken
    }

    /// The task waits no more: how long it did goes on record.
    fn end_wait(&mut self, now: u64) {
        if let Some(since) = self.waiting_since.take() {
            let waited = now.saturating_sub(since);
            self.waited += waited;
            self.note(Kind::BackPressure, now, &BackPressure { waited });
        }
    }

    fn note<T: serde::Serialize>(&mut self, kind: Kind, now: u64, what: &T) {
        let body = serde_json::to_vec(what).unwrap_or_default();
        self.bytes += body.len();
        self.unsent.push_back(Piece { kind, at: now, to: now, body, gap: None });
    }

    /// Drops the oldest output that was not sent; false if there is none.
    fn drop_oldest(&mut self, now: u64) -> bool {
        let Some(i) = self.unsent.iter().position(|p| p.gap.is_none() && p.kind.is_output()) else {
            return false;
        };
        let Some(piece) = self.unsent.remove(i) else { return false };
        self.bytes -= piece.body.len();
        let gap = Gap {
            bytes: piece.body.len() as u64,
            lines: lines(&piece.body),
            from: piece.at,
            to: piece.to,
            why: "storage was slower than the task".into(),
        };
        self.put_gap(i, gap, now);
        true
    }

    /// Output that was not even taken.
    fn note_gap(&mut self, now: u64, output: &[u8], why: &str) {
        let gap =
            Gap { bytes: output.len() as u64, lines: lines(output), from: now, to: now, why: why.into() };
        self.put_gap(self.unsent.len(), gap, now);
    }

    /// Puts a gap in front of the piece at `i`, or into the gap that is there.
    fn put_gap(&mut self, i: usize, gap: Gap, now: u64) {
        self.dropped.bytes += gap.bytes;
        self.dropped.lines += gap.lines;
        if let Some(Piece { gap: Some(g), .. }) = i.checked_sub(1).and_then(|i| self.unsent.get_mut(i)) {
            g.bytes += gap.bytes;
            g.lines += gap.lines;
            g.to = gap.to;
            return;
        }
        self.unsent.insert(i, Piece { kind: Kind::Gap, at: now, to: now, body: Vec::new(), gap: Some(gap) });
    }

    /// Gives up output so that no more than `bytes` are left to send, the oldest first: what was written last before
    /// an end says most, and its last chunk stays in any case. What is under way already stays, too.
    pub fn shorten(&mut self, now: u64, bytes: usize) {
        let mut left = self.unsent.iter().filter(|p| p.gap.is_none() && p.kind.is_output()).count();
        while self.bytes > bytes && left > 1 && self.drop_oldest(now) {
            left -= 1;
        }
    }

    /// The task has ended: nothing is taken any more, and the last chunk says so.
    pub fn close(&mut self, now: u64, why: &str) {
        if !self.closed {
            self.end_wait(now);
            self.note(Kind::Close, now, &Close { why: why.into(), size: None, hash: None });
            self.closed = true;
        }
    }
    /// Whether `close` was called.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// When there will be something to send for the first time; None: there is nothing.
    pub fn ready_at(&self) -> Option<u64> {
        let p = self.unsent.front()?;
        let full = p.body.len() >= self.options.chunk || self.unsent.len() > 1 || self.closed;
        Some(if full { 0 } else { p.at + self.options.linger })
    }

    /// Chunks to send now, at most so many bytes of them: first what was sent and is not acknowledged, if `again`,
    /// then new ones, as far as half of the spool is under way at the most.
    pub fn batch(&mut self, now: u64, most: usize, again: bool) -> Vec<Chunk> {
        let mut out = Vec::new();
        let mut bytes = 0;
        if again {
            for c in &self.sent {
                if bytes > 0 && bytes + c.body.len() > most {
                    return out;
                }
                bytes += c.body.len();
                out.push(c.clone());
            }
        }
        while bytes < most
            && self.in_flight <= self.options.bytes / 2
            && self.ready_at().is_some_and(|at| now >= at)
            && let Some(p) = self.unsent.pop_front()
        {
            if p.body.is_empty() && p.gap.is_none() {
                continue;
            }
            let body = match &p.gap {
                Some(gap) => {
                    let body = serde_json::to_vec(gap).unwrap_or_default();
                    self.bytes += body.len();
                    body
                }
                None => p.body,
            };
            let chunk = Chunk { n: self.next, at: p.at, kind: p.kind, body };
            self.next += 1;
            bytes += chunk.body.len();
            self.in_flight += chunk.body.len();
            self.sent.push_back(chunk.clone());
            out.push(chunk);
        }
        out
    }

    /// Whether anything was sent and is not acknowledged.
    pub fn unacked(&self) -> bool {
        !self.sent.is_empty()
    }

    /// These chunks are on enough disks.
    pub fn acked(&mut self, numbers: impl IntoIterator<Item = u32>) {
        self.acked.extend(numbers);
        while let Some(c) = self.sent.front()
            && self.acked.remove(&c.n)
        {
            let len = c.body.len();
            if c.kind.is_output() {
                self.lines += lines(&c.body);
            }
            self.bytes -= len;
            self.in_flight -= len;
            self.sent.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng, rngs::StdRng};

    /// Whatever is offered, dropped, sent again and acknowledged in whatever order: lines come out in order and once,
    /// and those that don't are counted by gaps at their place.
    #[test]
    fn every_line_comes_out_once_or_is_counted_by_a_gap() {
        for seed in 0..300 {
            let mut rng = StdRng::seed_from_u64(seed);
            let policy = if seed % 2 == 0 { Policy::Drop } else { Policy::Block };
            let bytes = rng.random_range(200..2000);
            let mut s =
                Spool::new(SpoolOptions { policy, bytes, chunk: rng.random_range(40..200), linger: 50 });
            let mut got: Vec<Chunk> = Vec::new();
            let (mut line, mut now) = (0u32, 1);
            for step in 0..400 {
                now += rng.random_range(1..40);
                if step < 350 && rng.random_bool(0.7) {
                    for _ in 0..rng.random_range(1..8) {
                        let text = format!("{line} {}\n", "x".repeat(rng.random_range(0..30)));
                        let kind = if rng.random_bool(0.2) { Kind::Err } else { Kind::Out };
                        let mut rest = text.as_bytes();
                        while let Offer::Full(n) = s.offer(now, kind, rest) {
                            rest = &rest[n..];
                            now += 10;
                            let sent = s.batch(now, 300, true);
                            s.acked(sent.iter().map(|c| c.n));
                            got.extend(sent);
                        }
                        line += 1;
                    }
                }
                if step == 350 {
                    s.shorten(now, rng.random_range(0..400));
                    s.close(now, "done");
                }
                let slow = policy == Policy::Drop && step < 350 && rng.random_bool(0.6);
                if !slow {
                    let sent = s.batch(now, rng.random_range(50..400), true);
                    // A request may be lost, or its answer.
                    if rng.random_bool(0.7) {
                        if rng.random_bool(0.8) {
                            s.acked(sent.iter().map(|c| c.n));
                        }
                        got.extend(sent);
                    }
                }
                assert!(s.bytes() <= bytes + 400, "seed {seed}: {} of {bytes}", s.bytes());
            }
            while !s.is_empty() {
                now += 100;
                let sent = s.batch(now, 1000, true);
                s.acked(sent.iter().map(|c| c.n));
                got.extend(sent);
            }
            got.sort_by_key(|c| c.n);
            for pair in got.windows(2) {
                assert!(
                    pair[0].n != pair[1].n || pair[0] == pair[1],
                    "seed {seed}: chunk {} changed",
                    pair[0].n
                );
            }
            got.dedup();
            assert!(
                got.iter().enumerate().all(|(i, c)| c.n as usize == i),
                "seed {seed}: a number is missing"
            );
            assert_eq!(got.last().map(|c| c.kind), Some(Kind::Close));
            let (mut expected, mut missing) = (0u64, 0u64);
            for kind in [Kind::Out, Kind::Err] {
                let text: Vec<u8> =
                    got.iter().filter(|c| c.kind == kind).flat_map(|c| c.body.clone()).collect();
                let numbers: Vec<u64> = String::from_utf8(text)
                    .expect("text")
                    .lines()
                    .map(|l| l.split(' ').next().and_then(|n| n.parse().ok()).expect("a line's number"))
                    .collect();
                assert!(numbers.windows(2).all(|p| p[0] < p[1]), "seed {seed}: order");
                expected += numbers.len() as u64;
            }
            for c in got.iter().filter(|c| c.kind == Kind::Gap) {
                missing += serde_json::from_slice::<Gap>(&c.body).expect("a gap").lines;
            }
            assert_eq!(expected + missing, u64::from(line), "seed {seed}");
            if policy == Policy::Drop {
                assert_eq!(missing, s.dropped().lines, "seed {seed}");
            }
        }
    }

    /// Little time is left and what is under way alone takes more than that: the end of the output goes all the same.
    #[test]
    fn the_last_output_stays_however_little_time_is_left() {
        let mut s = Spool::new(SpoolOptions { policy: Policy::Block, bytes: 4000, chunk: 100, linger: 0 });
        let mut all = Vec::new();
        for n in 0..30 {
            assert_eq!(
                s.offer(1, Kind::Out, format!("{n:02} {}\n", "x".repeat(60)).as_bytes()),
                Offer::Taken
            );
            if n == 15 {
                all = s.batch(1, 1000, false);
            }
        }
        s.shorten(2, 0);
        s.close(2, "drained");
        while !s.is_empty() {
            let sent = s.batch(2, 1000, false);
            s.acked(all.iter().chain(&sent).map(|c| c.n));
            all.extend(sent);
        }
        let text: Vec<u8> = all.iter().filter(|c| c.kind == Kind::Out).flat_map(|c| c.body.clone()).collect();
        assert!(String::from_utf8_lossy(&text).lines().last().is_some_and(|l| l.starts_with("29 ")));
        assert!(s.dropped().lines > 10);
    }

    #[test]
    fn a_wait_of_the_task_stands_in_the_log_and_in_the_status() {
        let mut s = Spool::new(SpoolOptions { policy: Policy::Block, bytes: 100, chunk: 25, linger: 0 });
        assert_eq!(s.offer(1000, Kind::Out, &[b'x'; 150]), Offer::Full(100));
        assert_eq!(s.offer(2000, Kind::Out, &[b'x'; 50]), Offer::Full(0));
        assert_eq!((s.stalled(3000), s.waited(3000)), (2000, 2000));
        let sent = s.batch(3000, 1000, true);
        s.acked(sent.iter().map(|c| c.n));
        assert_eq!(s.offer(4000, Kind::Out, &[b'x'; 50]), Offer::Taken);
        assert_eq!((s.stalled(5000), s.waited(5000)), (0, 3000));
        s.close(5000, "done");
        let mut all = Vec::new();
        while !s.is_empty() {
            let sent = s.batch(5000, 1000, false);
            s.acked(sent.iter().map(|c| c.n));
            all.extend(sent);
        }
        let stall = all.iter().find(|c| c.kind == Kind::BackPressure).expect("a stall in the log");
        assert_eq!(serde_json::from_slice::<BackPressure>(&stall.body).expect("readable").waited, 3000);
    }
}
