//! The verb `loans`: who lent what to whom and when it is due back, as a controller's status has it.

use super::client::one_line;
use super::{CliError, ControllerArgs};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;

/// How long a controller may take for its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks one controller after the other; the text to print.
///
/// # Errors
/// If none gives its status, why the last one did not.
pub fn run(controllers: &ControllerArgs) -> Result<String, CliError> {
    let agent = ureq::AgentBuilder::new().timeout(STATUS_TIMEOUT).redirects(0).build();
    let mut last = CliError::NoController;
    for address in &controllers.controller {
        match status(&agent, address) {
            Ok(status) if controllers.json => return Ok(one_line(&status["loans"])),
            Ok(status) => return Ok(in_words(&status["loans"])),
            Err(reason) => last = CliError::Unavailable { address: address.clone(), reason },
        }
    }
    Err(last)
}

/// A controller's status, or why there is none.
fn status(agent: &ureq::Agent, address: &str) -> Result<Value, String> {
    let answer = agent.get(&format!("http://{address}/status")).call().map_err(|e| e.to_string())?;
    let text = answer.into_string().map_err(|e| e.to_string())?;
    serde_json::from_str(&text).map_err(|e| e.to_string())
}

/// The loans in words.
fn in_words(status: &Value) -> String {
    if status["on"] != true {
        return "loans are not switched on\n".into();
    }
    if status["read"] != true {
        return "the ledgers have not been read yet: ask again\n".into();
    }
    let mut out = String::new();
    let text = |loan: &Value, key: &str| loan[key].as_str().unwrap_or("?").to_owned();
    for loan in status["loans"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
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
            out,
            "the ledger of {team} can't be read, nothing is lent meanwhile: {}",
            reason.as_str().unwrap_or("?")
        );
    }
    if out.is_empty() { "nothing is lent\n".into() } else { out }
}

#[cfg(test)]
mod tests;
