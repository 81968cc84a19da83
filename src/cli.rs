//! The subcommands that query a running controller. They print its answer as text or as JSON and decide nothing.

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

/// Why a subcommand has no answer to print. The message is printed after the program's name.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The list of controllers is empty.
    #[error("no controller is named")]
    NoController,
    /// The last controller asked did not answer, or not completely.
    #[error("{address} does not answer")]
    NoAnswer {
        /// Its address.
        address: String,
    },
    /// The last controller asked can't answer at present.
    #[error("{address}: {reason}")]
    Unavailable {
        /// Its address.
        address: String,
        /// The reason in its answer, or the transport error.
        reason: String,
    },
    /// A controller has rejected the request; a retry would be rejected too.
    #[error("{reason}")]
    Refused {
        /// The reason in its answer.
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
