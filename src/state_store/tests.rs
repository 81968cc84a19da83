use super::*;
use crate::units::Micros;

#[test]
fn rate_limiter_keeps_its_reserve_and_its_rate() {
    let mut limiter = RateLimiter::new(10.0);
    let mut taken = 0.0;
    for ms in 0..5000u64 {
        if limiter.take(Micros::from_millis(ms), 1.0, 0.3) {
            taken += 1.0;
        }
    }
    assert!((50.0..=58.0).contains(&taken), "{taken}");
    assert!(limiter.take(Micros::from_millis(5000), 2.0, 0.0), "the reserve is available");
    assert!(limiter.take(Micros::from_millis(7000), 30.0, 0.0), "a full bucket grants an oversized amount");
    assert!(
        !limiter.take(Micros::from_millis(7100), 1.0, 0.0),
        "an oversized amount leaves a negative balance"
    );
}
