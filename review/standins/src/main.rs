//! The stand-ins and the drivers of the review's cases. `review-standins CASE RECORD` runs one from the repository's root:
//! exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod cloud;
mod crowded;
mod deploy;
mod http;
mod json;
mod orphaned;
mod record;
mod sites;
mod sockets;
mod state;
mod users;
mod worker;

use std::process::exit;
use std::time::Duration;

/// Whether the rule held, or why the case couldn't run.
pub type Outcome = Result<bool, deploy::Failure>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD");
        exit(2);
    };
    record::open(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    note!("case {case}, {}", if trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "orphaned" => orphaned::run(trouble),
        "crowded" => crowded::run(trouble),
        "sockets" => sockets::run(trouble),
        other => Err(format!("no case {other}")),
    };
    let code = match outcome {
        Ok(true) => {
            note!("the rule held");
            0
        }
        Ok(false) => {
            note!("the rule was broken");
            1
        }
        Err(why) => {
            note!("the case couldn't run: {why}");
            2
        }
    };
    exit(code);
}

pub fn wait(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
