//! The forms with the protocol's field names. `Report` and `ReportedTask` appear by name in the answer to a malformed body.

use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
pub(super) struct Report {
    stall: String,
    #[serde(default)]
    addr: String,
    #[serde(rename = "stallKind")]
    stall_kind: String,
    paddock: String,
    #[serde(default)]
    borrowed: bool,
    ride: u64,
    hoofbeat: u64,
    rein: u64,
    #[serde(rename = "whistleS", default)]
    whistle_s: Option<f64>,
    #[serde(default)]
    strides: Vec<super::HeartbeatTask>,
}

impl From<Report> for super::Heartbeat {
    fn from(raw: Report) -> super::Heartbeat {
        super::Heartbeat {
            machine: raw.stall,
            addr: raw.addr,
            machine_type: raw.stall_kind,
            zone: raw.paddock,
            spot: raw.borrowed,
            incarnation: raw.ride,
            sequence: raw.hoofbeat,
            token: raw.rein,
            time_to_termination_s: raw.whistle_s,
            tasks: raw.strides,
        }
    }
}

#[derive(Deserialize)]
pub(super) struct ReportedTask {
    stride: String,
    mount: u64,
    stance: String,
    #[serde(default)]
    cause: Option<String>,
    #[serde(default)]
    saved: Option<bool>,
}

impl From<ReportedTask> for super::HeartbeatTask {
    fn from(raw: ReportedTask) -> super::HeartbeatTask {
        super::HeartbeatTask {
            task: raw.stride,
            attempt: raw.mount,
            state: raw.stance,
            cause: raw.cause,
            saved: raw.saved,
        }
    }
}

#[derive(Serialize)]
pub(super) struct HeartbeatResponse {
    rein: u64,
    calls: Vec<Command>,
}

impl From<&super::HeartbeatResponse> for HeartbeatResponse {
    fn from(response: &super::HeartbeatResponse) -> HeartbeatResponse {
        let calls = response.commands.iter().map(Command::from).collect();
        HeartbeatResponse { rein: response.token, calls }
    }
}

#[derive(Serialize)]
struct Command {
    call: &'static str,
    stride: String,
    mount: u64,
    #[serde(rename = "cooldownS", skip_serializing_if = "Option::is_none")]
    cooldown_s: Option<f64>,
}

impl From<&super::Command> for Command {
    fn from(command: &super::Command) -> Command {
        let cooldown_s = match command {
            super::Command::Kill(_, grace) => Some(grace.as_secs()),
            super::Command::Run(_) | super::Command::Forget(_) => None,
        };
        Command {
            call: command.verb(),
            stride: command.task_name(),
            mount: command.task().attempt,
            cooldown_s,
        }
    }
}

/// The fields are sorted by their names, as in a JSON map of `serde_json`.
#[derive(Serialize)]
pub(super) struct FencingProbe {
    pub(super) calls: [(); 0],
    pub(super) rein: u64,
    pub(super) ride: u64,
}
