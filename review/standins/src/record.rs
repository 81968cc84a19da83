//! `record.txt`: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("record.txt");
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
}

pub fn note(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let line = format!("{:8.3} {text}\n", start.elapsed().as_secs_f64());
        let _ = file.lock().unwrap_or_else(|e| e.into_inner()).write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::record::note(&format!($($arg)*)) };
}
