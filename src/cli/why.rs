//! The verb `why`: why a job waits.

use super::client::{ask, one_line};
use super::{CliError, ControllerArgs};
use crate::wire::percent_encoding::percent_encode;
use crate::wire::users;
use serde_json::Value;

/// Asks why a job waits; the text to print.
///
/// # Errors
/// If no controller answers, or one refuses.
pub fn run(controllers: &ControllerArgs, job: &str) -> Result<String, CliError> {
    let answer = ask(controllers, "GET", &format!("/ops/why/{}", percent_encode(job)), None)?;
    if controllers.json {
        return Ok(one_line(&answer));
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
