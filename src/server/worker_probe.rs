//! Direct calls to workers: the reachability probe, and the fencing probe by which a new leader sends its fencing token.
//!
//! Neither carries a command: workers get their commands in the responses to their heartbeats.

use crate::machine_shard::{FencingProbe, Heartbeat};
use crate::state_store;
use crate::wire::workers::fencing_probe_body;
use std::time::Duration;

/// Request timeout of a reachability probe.
const REACHABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Request timeout of a fencing probe. It is short because a reachable worker answers at once, and an unreachable one must
/// not delay the probes of others.
const FENCING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Connect timeout of a fencing probe.
const FENCING_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Most attempts of a fencing probe. The second one is for a worker that has started a new incarnation.
const FENCING_ATTEMPTS: usize = 2;

/// Whether the worker at this address answers.
pub(super) fn is_reachable(address: &str) -> bool {
    let agent = ureq::AgentBuilder::new().timeout(REACHABLE_TIMEOUT).redirects(0).build();
    state_store::http_exchange(&agent, "GET", &format!("http://{address}/inspect"), None)
        .is_some_and(|(status, _)| status == 200)
}

/// Builds the HTTP client for [`send_fencing_token`].
pub(super) fn build_fencing_agent() -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(FENCING_CONNECT_TIMEOUT)
        .timeout(FENCING_TIMEOUT)
        .max_idle_connections(0)
        .redirects(0)
        .build()
}

/// Sends the fencing token to a worker, without any command, and returns the worker's heartbeat if it answers. A worker
/// whose lease has expired meanwhile is in a newer incarnation than the probe names: it rejects the token and reports its
/// incarnation, and the token is sent once more for that one.
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
