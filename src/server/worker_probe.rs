//! Direct calls of workers: whether one answers, and the fencing token that a new leader tells them.
//!
//! No command ever goes out this way: workers get their commands in the answers to their heartbeats.

use crate::machine_shard::{FencingProbe, Heartbeat};
use crate::state_store;
use crate::wire::workers::fencing_probe_body;
use std::time::Duration;

/// How long a worker may take to answer whether it is there.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a worker may take to answer a fencing probe. One that is there answers at once; one that is not must not hold
/// up the others.
const FENCING_TIMEOUT: Duration = Duration::from_millis(1000);
/// How much of that may go by before it is connected.
const FENCING_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The second attempt is for a worker that has begun a new incarnation.
const FENCING_ATTEMPTS: usize = 2;

/// Whether a worker at this address answers.
pub(super) fn is_reachable(address: &str) -> bool {
    let agent = ureq::AgentBuilder::new().timeout(REACHABLE_TIMEOUT).redirects(0).build();
    state_store::http_exchange(&agent, "GET", &format!("http://{address}/inspect"), None)
        .is_some_and(|(status, _)| status == 200)
}

/// A client for [`send_fencing_token`].
pub(super) fn fencing_agent() -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(FENCING_CONNECT_TIMEOUT)
        .timeout(FENCING_TIMEOUT)
        .max_idle_connections(0)
        .redirects(0)
        .build()
}

/// Tells a worker the fencing token, without any command. Returns its heartbeat, if it answers. A worker whose lease has
/// expired meanwhile is in another incarnation than was thought: it says so, and is told again.
pub(super) fn send_fencing_token(agent: &ureq::Agent, epoch: u64, probe: &FencingProbe) -> Option<Heartbeat> {
    let url = format!("http://{}/do", probe.addr);
    let mut incarnation = probe.incarnation;
    for _ in 0..FENCING_ATTEMPTS {
        let body = fencing_probe_body(epoch, incarnation);
        let (_, text) = state_store::http_exchange(agent, "POST", &url, Some(body))?;
        let heartbeat: Heartbeat = serde_json::from_str(&text).ok()?;
        if heartbeat.token >= epoch || heartbeat.incarnation == incarnation {
            return Some(heartbeat);
        }
        incarnation = heartbeat.incarnation;
    }
    None
}

#[cfg(test)]
mod tests;
