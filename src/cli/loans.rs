//! The verb `loans`: who lent what to whom and when it is due back, as a controller's status has it.

use crate::cli::Asked;
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;

/// Asks one controller after the other; the text to print.
///
/// # Errors
/// A line for the operator, if none answers.
pub fn loans(args: &Asked) -> Result<String, String> {
    let agent = ureq::AgentBuilder::new().timeout(Duration::from_secs(5)).redirects(0).build();
    let mut last = "no controller is named".to_owned();
    for addr in &args.controller {
        let url = format!("http://{addr}/status");
        let answer = agent.get(&url).call().map_err(|e| e.to_string());
        let text = answer.and_then(|a| a.into_string().map_err(|e| e.to_string()));
        match text.map(|t| serde_json::from_str::<Value>(&t)) {
            Ok(Ok(v)) => return Ok(if args.json { format!("{}\n", v["loans"]) } else { plain(&v["loans"]) }),
            Ok(Err(e)) => last = format!("{addr}: {e}"),
            Err(e) => last = format!("{addr}: {e}"),
        }
    }
    Err(last)
}

/// The loans in words.
fn plain(v: &Value) -> String {
    if v["on"] != true {
        return "loans are not switched on\n".into();
    }
    if v["read"] != true {
        return "the ledgers have not been read yet: ask again\n".into();
    }
    let mut out = String::new();
    let said = |l: &Value, key: &str| l[key].as_str().unwrap_or("?").to_owned();
    for l in v["loans"].as_array().into_iter().flatten() {
        let _ = writeln!(
            out,
            "{} {}: {} lends {} GPUs of {} on {} to {} for {}, {} s; due back {}",
            l["id"],
            said(l, "state"),
            said(l, "lender"),
            l["gpus"],
            said(l, "from"),
            said(l, "machine"),
            said(l, "borrower"),
            said(l, "job"),
            l["for_s"],
            said(l, "due_back"),
        );
    }
    for (team, why) in v["unreadable"].as_object().into_iter().flatten() {
        let _ = writeln!(
            out,
            "the ledger of {team} can't be read, nothing is lent meanwhile: {}",
            why.as_str().unwrap_or("?")
        );
    }
    if out.is_empty() { "nothing is lent\n".into() } else { out }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn loans_in_words() {
        assert_eq!(plain(&Value::Null), "loans are not switched on\n");
        let loan = json!({"id": 3, "state": "held", "lender": "vision", "gpus": 4.0, "from": "wk-9", "machine": "i-1",
            "borrower": "serve", "job": "wk-1", "for_s": 12, "due_back": "with the replica"});
        let v = json!({"on": true, "read": true, "loans": [loan], "unreadable": {"chat": "fence"}});
        assert_eq!(
            plain(&v),
            "3 held: vision lends 4.0 GPUs of wk-9 on i-1 to serve for wk-1, 12 s; due back with the replica\n\
             the ledger of chat can't be read, nothing is lent meanwhile: fence\n"
        );
        assert_eq!(plain(&json!({"on": true, "read": true, "loans": []})), "nothing is lent\n");
    }
}
