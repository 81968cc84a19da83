//! Access to the state store that all controllers share: typed requests and answers, a blocking client, and a rate
//! limiter.
//!
//! The controller's event loop decides which request is sent when; the client only sends a request and returns its
//! result. Nothing here retries, because whether an unanswered request may be repeated depends on its purpose.

mod client;
mod rate_limiter;
mod request;

pub use client::{StoreClient, http_exchange};
pub use rate_limiter::RateLimiter;
pub use request::{KeyValue, StoreAnswer, StoreRequest, Transaction};

#[cfg(test)]
mod tests;
