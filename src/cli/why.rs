//! The subcommand `why`: shows what a job waits for.

use super::client::{format_json, send_request};
use super::{CliError, ControllerArgs};
use crate::wire::percent_encoding::percent_encode;
use crate::wire::users;
use serde_json::Value;

/// Asks what a job waits for and returns the text to print.
///
/// # Errors
/// If no controller answers, or one rejects the request.
pub fn run(controllers: &ControllerArgs, job: &str) -> Result<String, CliError> {
    let answer = send_request(controllers, "GET", &format!("/ops/why/{}", percent_encode(job)), None)?;
    if controllers.json {
        return Ok(format_json(&answer));
    }
    let mut text = format!("{job}: {}\n", users::read_state(&answer).unwrap_or("?"));
    let dependencies: Vec<&str> =
        answer["waits_for"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !dependencies.is_empty() {
        text.push_str(&format!("  follows: {}\n", dependencies.join(", ")));
    }
    if let Some(reason) = answer["held"].as_str() {
        text.push_str(&format!("  held: {reason}\n"));
    }
    Ok(text)
}
