//! The state service that all controllers share: requests and answers, the blocking client, and the rate limit.
//!
//! The controller's event loop owns which request goes out when; the client only carries a request out and says what
//! became of it. Nothing here retries: whether a request without an answer may be sent again depends on what it is for.

mod client;
mod rate_limiter;
mod request;

pub use client::{StoreClient, http_exchange};
pub use rate_limiter::RateLimiter;
pub use request::{KeyValue, StoreAnswer, StoreRequest, Transaction};

#[cfg(test)]
mod tests;
