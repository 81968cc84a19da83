//! The rate limit that a controller keeps to with an outside service.

use crate::units::Micros;

/// Slack for sums of fractions of a token.
const ROUNDING: f64 = 1e-9;

/// A token bucket that holds one second's worth, at least one token.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    available: f64,
    refilled_at: Micros,
}

impl RateLimiter {
    /// A full bucket.
    #[must_use]
    pub fn new(tokens_per_second: f64) -> RateLimiter {
        RateLimiter { tokens_per_second, available: tokens_per_second.max(1.0), refilled_at: Micros(0) }
    }

    fn capacity(&self) -> f64 {
        self.tokens_per_second.max(1.0)
    }

    fn refill(&mut self, now: Micros) {
        let earned = now.since(self.refilled_at).as_secs() * self.tokens_per_second;
        self.available = (self.available + earned).min(self.capacity());
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `tokens` if `reserve` (a share of the bucket, 0 to 1) stays behind, and says whether it did. An amount
    /// larger than the bucket passes when the bucket is full and leaves a debt.
    pub fn take(&mut self, now: Micros, tokens: f64, reserve: f64) -> bool {
        self.refill(now);
        let capacity = self.capacity();
        if self.available + ROUNDING < (tokens + reserve * capacity).min(capacity) {
            return false;
        }
        self.available -= tokens;
        true
    }

    /// How full the bucket is, from 0 to 1; 0 while it is in debt.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.refill(now);
        (self.available / self.capacity()).max(0.0)
    }
}
