//! The subcommand `loans`: the present loans of GPUs, as a controller's status reports them.

use super::client::format_json;
use super::{CliError, ControllerArgs};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;

/// Request timeout.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks one controller after the other for its status and returns the text to print.
///
/// # Errors
/// If none returns its status, the last one's error.
pub fn run(controllers: &ControllerArgs) -> Result<String, CliError> {
    let agent = ureq::AgentBuilder::new().timeout(STATUS_TIMEOUT).redirects(0).build();
    let mut last_error = CliError::NoController;
    for address in &controllers.controller {
        match fetch_status(&agent, address) {
            Ok(status) if controllers.json => return Ok(format_json(&status["loans"])),
            Ok(status) => return Ok(format_loans(&status["loans"])),
            Err(reason) => last_error = CliError::Unavailable { address: address.clone(), reason },
        }
    }
    Err(last_error)
}

/// Fetches a controller's status.
fn fetch_status(agent: &ureq::Agent, address: &str) -> Result<Value, String> {
    let answer = agent.get(&format!("http://{address}/status")).call().map_err(|e| e.to_string())?;
    let text = answer.into_string().map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// Formats the loans as text.
fn format_loans(status: &Value) -> String {
    if status["on"] != true {
        return "loans are not switched on\n".into();
    }
    if status["read"] != true {
        return "the ledgers have not been read yet: ask again\n".into();
    }
    let mut output = String::new();
    let text = |loan: &Value, key: &str| loan[key].as_str().unwrap_or("?").to_owned();
    for loan in status["loans"].as_array().into_iter().flatten() {
        let _ = writeln!(
            output,
            "{} {}: {} lends {} GPUs of {} on {} to {} for {}, {} s; due back {}",
            loan["id"],
            text(loan, "state"),
            text(loan, "lender"),
            loan["gpus"],
            text(loan, "from"),
            text(loan, "machine"),
            text(loan, "borrower"),
            text(loan, "job"),
            loan["for_s"],
            text(loan, "due_back"),
        );
    }
    for (team, reason) in status["unreadable"].as_object().into_iter().flatten() {
        let _ = writeln!(
            output,
            "the ledger of {team} can't be read, nothing is lent meanwhile: {}",
            reason.as_str().unwrap_or("?")
        );
    }
    if output.is_empty() { "nothing is lent\n".into() } else { output }
}

#[cfg(test)]
mod tests;
