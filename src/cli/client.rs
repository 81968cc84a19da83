//! The HTTP client of the subcommands.

use super::{CliError, ControllerArgs};
use crate::state_store;
use serde_json::Value;
use std::time::Duration;

/// Request timeout. It is longer than the time for which a controller itself retries; an answer for which many records
/// are read takes a few seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Sends a request to one controller after the other until one answers or rejects it.
///
/// # Errors
/// If none answers, the last one's error; if one rejects the request, its reason.
pub(super) fn send_request(
    controllers: &ControllerArgs,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, CliError> {
    let agent = ureq::AgentBuilder::new().timeout(ANSWER_TIMEOUT).redirects(0).build();
    let mut last_error = CliError::NoController;
    for address in &controllers.controller {
        let url = format!("http://{address}{path}");
        let address = address.clone();
        let Some((status, text)) =
            state_store::http_exchange(&agent, method, &url, body.map(Value::to_string))
        else {
            last_error = CliError::NoAnswer { address };
            continue;
        };
        let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        let reason = || answer["error"].as_str().unwrap_or("no reason given").to_owned();
        match status {
            200 => return Ok(answer),
            429 | 503 => last_error = CliError::Unavailable { address, reason: reason() },
            _ => return Err(CliError::Refused { reason: reason() }),
        }
    }
    Err(last_error)
}

/// Formats an answer as JSON on one line.
pub(super) fn format_json(answer: &Value) -> String {
    format!("{answer}\n")
}
