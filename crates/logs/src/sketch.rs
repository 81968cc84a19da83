//! A sketch of the words in a segment: a search for a word skips segments that certainly lack it.

use fastbloom::BloomFilter;
use twox_hash::XxHash64;

/// 64 KiB a segment: about one false hit in a hundred with 50,000 different words.
const WORDS: usize = 8192;
const HASHES: u32 = 5;
const SEED: u128 = 0x6861_7a65_6c73_6164_646c_6521;

/// The words of a segment.
pub struct Sketch(BloomFilter);

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch(BloomFilter::from_vec(vec![0; WORDS]).seed(&SEED).hashes(HASHES))
    }
}

/// Each byte in lower case if it is an ASCII letter or a digit, else 0.
const LOWER: [u8; 256] = {
    let mut table = [0; 256];
    let mut i = 0;
    while i < 256 {
        let b = i as u8;
        if b.is_ascii_alphanumeric() {
            table[i] = b.to_ascii_lowercase();
        }
        i += 1;
    }
    table
};

/// Hands over the hashes of the words of a text: runs of ASCII letters and digits, three or more, in lower case; of a
/// longer one the first 63 letters count. Every byte that is stored goes through here, so nothing is allocated.
pub fn words(text: &[u8], mut each: impl FnMut(u64)) {
    let mut word = [0u8; 64];
    let mut n = 0usize;
    for &b in text.iter().chain(&[0]) {
        let l = LOWER[usize::from(b)];
        if l != 0 {
            word[n.min(63)] = l;
            n += 1;
        } else {
            if n >= 3 {
                each(XxHash64::oneshot(7, &word[..n.min(63)]));
            }
            n = 0;
        }
    }
}

impl Sketch {
    /// Adds all words of a text. A word that is cut by a chunk's end is lost to a search.
    pub fn add(&mut self, text: &[u8]) {
        // What is no text is not searched.
        if std::str::from_utf8(text).is_ok_and(|t| !t.contains('\0')) {
            words(text, |w| {
                self.0.insert_hash(w);
            });
        }
    }
    /// Whether a text that has all these words may be in the segment.
    pub fn may_have(&self, wanted: &[u64]) -> bool {
        wanted.iter().all(|w| self.0.contains_hash(*w))
    }
    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.0.as_slice().iter().flat_map(|w| w.to_le_bytes()).collect()
    }
    /// Reads what `bytes` wrote; None if it is no sketch.
    pub fn read(bytes: &[u8]) -> Option<Sketch> {
        if bytes.len() != WORDS * 8 {
            return None;
        }
        let words = bytes
            .chunks_exact(8)
            .map(|c| u64::from_le_bytes([c[0], c[1], c[2], c[3], c[4], c[5], c[6], c[7]]))
            .collect();
        Some(Sketch(BloomFilter::from_vec(words).seed(&SEED).hashes(HASHES)))
    }
}
