//! The subcommand `release`.

use super::client::{format_json, send_request};
use super::{CliError, ControllerArgs};
use crate::wire::percent_encoding::percent_encode;
use clap::{Args, Subcommand};
use serde_json::{Value, json};

/// The path of the operators' API for releases.
const PATH: &str = "/ops/releases";

/// A release: its title, and the night if it is not the latest.
#[derive(Args, Clone, Debug)]
pub struct ReleaseArgs {
    /// The title.
    pub title: String,
    /// The night on which it began, YYYY-MM-DD; without it the latest.
    #[arg(long)]
    pub night: Option<String>,
    #[command(flatten)]
    controllers: ControllerArgs,
}

/// What is asked about releases.
#[derive(Subcommand, Clone, Debug)]
pub enum ReleaseCommand {
    /// List the releases whose rotation has not started.
    List(ControllerArgs),
    /// Show a release: who belongs to it, and what its rotation waits for, job by job.
    Show(ReleaseArgs),
    /// Close a release: no render joins it any more.
    Close(ReleaseArgs),
    /// Let renders join a closed release again, unless its rotation has started; then close it by hand.
    Reopen(ReleaseArgs),
    /// Let a rotation do without a job, or without the renders that are `missing`.
    Waive {
        #[command(flatten)]
        #[allow(missing_docs, reason = "a comment would become part of the help text")]
        which: ReleaseArgs,
        /// The job, or `missing`.
        #[arg(long)]
        job: String,
        /// Why; it is shown for ever.
        #[arg(long)]
        why: String,
    },
}

/// Runs a command about releases and returns the text to print.
///
/// # Errors
/// If no controller answers, or one rejects the request.
pub fn run(command: &ReleaseCommand) -> Result<String, CliError> {
    match command {
        ReleaseCommand::List(controllers) => list(controllers),
        ReleaseCommand::Show(release) => show(release),
        ReleaseCommand::Close(release) => change(release, "close", &[]),
        ReleaseCommand::Reopen(release) => change(release, "reopen", &[]),
        ReleaseCommand::Waive { which, job, why } => change(which, "waive", &[("job", job), ("why", why)]),
    }
}

fn list(controllers: &ControllerArgs) -> Result<String, CliError> {
    let answer = send_request(controllers, "GET", PATH, None)?;
    if controllers.json {
        return Ok(format_json(&answer));
    }
    let format_line = |release: &Value| {
        let late = if release["late"] == true { ", late" } else { "" };
        let text = |key: &str| release[key].as_str().unwrap_or("unreadable").to_owned();
        format!("{} {}: {}{late}\n", text("title"), text("night"), text("phase"))
    };
    Ok(answer["releases"].as_array().into_iter().flatten().map(format_line).collect())
}

fn show(release: &ReleaseArgs) -> Result<String, CliError> {
    let query = release.night.as_deref().map(|night| format!("?night={}", percent_encode(night)));
    let path = format!("{PATH}/{}{}", percent_encode(&release.title), query.unwrap_or_default());
    let answer = send_request(&release.controllers, "GET", &path, None)?;
    if release.controllers.json {
        return Ok(format_json(&answer));
    }
    Ok(answer["text"].as_str().unwrap_or_default().to_owned())
}

/// Requests a change of a release; `extra_fields` are added to the request's body.
fn change(release: &ReleaseArgs, change: &str, extra_fields: &[(&str, &str)]) -> Result<String, CliError> {
    let mut body = json!({"title": release.title, "night": release.night});
    for (key, value) in extra_fields {
        body[*key] = (*value).into();
    }
    let answer = send_request(&release.controllers, "POST", &format!("{PATH}/{change}"), Some(&body))?;
    if release.controllers.json {
        return Ok(format_json(&answer));
    }
    let text = |key: &str| answer[key].as_str().unwrap_or("?").to_owned();
    Ok(format!("{} {}: {}\n", text("title"), text("night"), text("phase")))
}
