//! Thin verbs of the command line: what a controller answers, in words or as it is.

use crate::server::operator_api::encoded;
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::time::Duration;

mod batches;
pub mod loans;

pub use batches::{BatchCommand, batch};

/// An answer takes a few seconds where many records are read; more than a controller's own patience.
const PATIENCE: Duration = Duration::from_secs(12);

/// Whom to ask.
#[derive(Args, Clone, Debug)]
pub struct Asked {
    /// Controllers' addresses, separated by commas: the next is asked if one doesn't answer.
    #[arg(long, value_name = "ADDR[,ADDR]", value_delimiter = ',', required = true)]
    pub controller: Vec<String>,
    /// The answer as it is, JSON, on one line.
    #[arg(long)]
    pub json: bool,
}

/// A release: its title, and the night if it is not the latest.
#[derive(Args, Clone, Debug)]
pub struct Which {
    /// The title.
    pub title: String,
    /// The night on which it began, YYYY-MM-DD; without it the latest.
    #[arg(long)]
    pub night: Option<String>,
    #[command(flatten)]
    asked: Asked,
}

/// What is asked about releases.
#[derive(Subcommand, Clone, Debug)]
pub enum ReleaseCommand {
    /// List the releases whose rotation has not started.
    List(Asked),
    /// Show a release: who belongs to it, and what its rotation waits for, job by job.
    Show(Which),
    /// Close a release: no render joins it any more.
    Close(Which),
    /// Let renders join a closed release again, unless its rotation has started; then close it by hand.
    Reopen(Which),
    /// Let a rotation do without a job, or without the renders that are `missing`.
    Waive {
        #[command(flatten)]
        which: Which,
        /// The job, or `missing`.
        #[arg(long)]
        job: String,
        /// Why; it is shown for ever.
        #[arg(long)]
        why: String,
    },
}

/// What went wrong: the exit code and one line.
#[derive(Debug)]
pub struct Failed(pub u8, pub String);

/// Asks one controller after the other. A refusal for good is an answer.
///
/// # Errors
/// If none answers, or the answer is a refusal.
pub fn ask(asked: &Asked, method: &str, path: &str, body: Option<&Value>) -> Result<Value, Failed> {
    let agent = ureq::AgentBuilder::new().timeout(PATIENCE).redirects(0).build();
    let mut last = Failed(1, "no controller is named".into());
    for addr in &asked.controller {
        let url = format!("http://{addr}{path}");
        let Some((status, text)) =
            crate::state_store::http_exchange(&agent, method, &url, body.map(Value::to_string))
        else {
            last = Failed(1, format!("{addr} does not answer"));
            continue;
        };
        let v: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
        let why = || v["error"].as_str().unwrap_or("no reason given").to_owned();
        match status {
            200 => return Ok(v),
            429 | 503 => last = Failed(1, format!("{addr}: {}", why())),
            _ => return Err(Failed(1, why())),
        }
    }
    Err(last)
}

/// Carries out a command about releases; the text to print.
///
/// # Errors
/// As [`ask`].
pub fn release(command: &ReleaseCommand) -> Result<String, Failed> {
    let path = "/ops/releases";
    let change = |which: &Which, what: &str, more: &[(&str, &str)]| {
        let mut body = json!({"title": which.title, "night": which.night});
        for (key, value) in more {
            body[*key] = (*value).into();
        }
        let v = ask(&which.asked, "POST", &format!("{path}/{what}"), Some(&body))?;
        let said = |key: &str| v[key].as_str().unwrap_or("?").to_owned();
        let plain = format!("{} {}: {}\n", said("title"), said("night"), said("phase"));
        Ok(if which.asked.json { format!("{v}\n") } else { plain })
    };
    match command {
        ReleaseCommand::List(asked) => {
            let v = ask(asked, "GET", path, None)?;
            let line = |r: &Value| {
                let late = if r["late"] == true { ", late" } else { "" };
                let said = |key: &str| r[key].as_str().unwrap_or("unreadable").to_owned();
                format!("{} {}: {}{late}\n", said("title"), said("night"), said("phase"))
            };
            let all = v["releases"].as_array().map(Vec::as_slice).unwrap_or_default();
            Ok(if asked.json { format!("{v}\n") } else { all.iter().map(line).collect() })
        }
        ReleaseCommand::Show(which) => {
            let night = which.night.as_deref().map(|n| format!("?night={}", encoded(n))).unwrap_or_default();
            let v = ask(&which.asked, "GET", &format!("{path}/{}{night}", encoded(&which.title)), None)?;
            let text = v["text"].as_str().unwrap_or_default().to_owned();
            Ok(if which.asked.json { format!("{v}\n") } else { text })
        }
        ReleaseCommand::Close(which) => change(which, "close", &[]),
        ReleaseCommand::Reopen(which) => change(which, "reopen", &[]),
        ReleaseCommand::Waive { which, job, why } => change(which, "waive", &[("job", job), ("why", why)]),
    }
}

/// Why a job waits.
///
/// # Errors
/// As [`ask`].
pub fn why(asked: &Asked, job: &str) -> Result<String, Failed> {
    let v = ask(asked, "GET", &format!("/ops/why/{}", encoded(job)), None)?;
    if asked.json {
        return Ok(format!("{v}\n"));
    }
    let mut text = format!("{job}: {}\n", v["stance"].as_str().unwrap_or("?"));
    let waits: Vec<&str> =
        v["waits_for"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    if !waits.is_empty() {
        text.push_str(&format!("  follows: {}\n", waits.join(", ")));
    }
    if let Some(held) = v["held"].as_str() {
        text.push_str(&format!("  held: {held}\n"));
    }
    Ok(text)
}
