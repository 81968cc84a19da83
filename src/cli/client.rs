//! The HTTP client of the verbs.

use super::{CliError, ControllerArgs};
use crate::state_store;
use serde_json::Value;
use std::time::Duration;

/// An answer takes a few seconds where many records are read. Longer than a controller tries.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// Asks one controller after the other until one answers; a refusal for good is an answer.
///
/// # Errors
/// If none answers, why the last one did not; or the refusal.
pub(super) fn ask(
    controllers: &ControllerArgs,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<Value, CliError> {
    let agent = ureq::AgentBuilder::new().timeout(ANSWER_TIMEOUT).redirects(0).build();
    let mut last = CliError::NoController;
    for address in &controllers.controller {
        let url = format!("http://{address}{path}");
        let address = address.clone();
        let Some((status, text)) =
            state_store::http_exchange(&agent, method, &url, body.map(Value::to_string))
        else {
            last = CliError::NoAnswer { address };
            continue;
        };
        let answer: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        let reason = || answer["error"].as_str().unwrap_or("no reason given").to_owned();
        match status {
            200 => return Ok(answer),
            429 | 503 => last = CliError::Unavailable { address, reason: reason() },
            _ => return Err(CliError::Refused { reason: reason() }),
        }
    }
    Err(last)
}

/// An answer as it is, on one line.
pub(super) fn one_line(answer: &Value) -> String {
    format!("{answer}\n")
}
