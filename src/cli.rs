//! The command line's verbs that ask a running controller. They print what it answers, in words or as it is, and decide
//! nothing.

pub mod batches;
mod client;
pub mod loans;
pub mod releases;
pub mod why;

use clap::Args;

/// Whom to ask.
#[derive(Args, Clone, Debug)]
pub struct ControllerArgs {
    /// Controllers' addresses, separated by commas: the next is asked if one doesn't answer.
    #[arg(long, value_name = "ADDR[,ADDR]", value_delimiter = ',', required = true)]
    pub controller: Vec<String>,
    /// The answer as it is, JSON, on one line.
    #[arg(long)]
    pub json: bool,
}

/// Why a verb has no answer to print. Its text is printed after the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The list of controllers is empty.
    #[error("no controller is named")]
    NoController,
    /// The last controller asked gives no complete answer.
    #[error("{address} does not answer")]
    NoAnswer {
        /// Its address.
        address: String,
    },
    /// The last controller asked can't answer now.
    #[error("{address}: {reason}")]
    Unavailable {
        /// Its address.
        address: String,
        /// What it said, or what went wrong on the way.
        reason: String,
    },
    /// A controller refuses for good.
    #[error("{reason}")]
    Refused {
        /// What it said.
        reason: String,
    },
}

impl CliError {
    /// The program's exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        1
    }
}
