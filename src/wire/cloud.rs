//! Forms of the cloud API: machine types, inventory, scale out and in.
//!
//! Source: PROTOCOL, the headings on the cloud. Texts that are sent have their keys in alphabetical order.

pub mod machine_type;

use crate::autoscaler::{CloudAnswer, CloudMachine, MachineState, ScaleOut};
use crate::spec::MachineType;
use serde::Deserialize;
use serde_json::json;

/// How the cloud says that it has no more machines of a type in a zone.
pub(crate) const NO_CAPACITY: &str = "no capacity";

/// An answer of the cloud whose body is not of the form that its status promises.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct MalformedAnswer(#[from] serde_json::Error);

/// The machine types and their prices.
#[derive(Deserialize)]
pub(crate) struct MachineTypeList {
    #[serde(rename = "breedsOfStall")]
    types: Vec<MachineType>,
}

impl From<MachineTypeList> for CloudAnswer {
    fn from(list: MachineTypeList) -> CloudAnswer {
        CloudAnswer::MachineTypes(list.types)
    }
}

/// A machine in the cloud's list.
#[derive(Deserialize)]
pub(crate) struct MachineRow {
    #[serde(rename = "uid")]
    name: String,
    #[serde(rename = "stallKind")]
    kind: String,
    #[serde(rename = "paddock")]
    zone: String,
    #[serde(rename = "borrowed", default)]
    spot: bool,
    #[serde(rename = "stance")]
    state: String,
    #[serde(rename = "heldS", default)]
    age_s: f64,
}

impl From<MachineRow> for CloudMachine {
    fn from(row: MachineRow) -> CloudMachine {
        let MachineRow { name, kind, zone, spot, state, age_s } = row;
        CloudMachine { name, machine_type: kind, zone, spot, state: state.as_str().into(), age_s }
    }
}

impl From<&str> for MachineState {
    /// A word that is not known says that the machine is there and is paid for.
    fn from(word: &str) -> MachineState {
        match word {
            "booting" => MachineState::Booting,
            "failed" => MachineState::Failed,
            _ => MachineState::Running,
        }
    }
}

/// A page of the machine list.
#[derive(Deserialize)]
pub(crate) struct MachinePage {
    #[serde(rename = "stalls")]
    machines: Vec<MachineRow>,
    #[serde(default)]
    more: bool,
}

impl From<MachinePage> for CloudAnswer {
    fn from(page: MachinePage) -> CloudAnswer {
        CloudAnswer::Page(page.machines.into_iter().map(CloudMachine::from).collect(), page.more)
    }
}

/// The names of the machines that a scale-out got.
#[derive(Deserialize)]
pub(crate) struct CreatedMachines {
    #[serde(rename = "stalls")]
    names: Vec<String>,
}

impl From<CreatedMachines> for CloudAnswer {
    fn from(created: CreatedMachines) -> CloudAnswer {
        CloudAnswer::ScaledOut(created.names)
    }
}

/// The body of a scale-out.
pub(crate) fn scale_out_body(scale_out: &ScaleOut) -> String {
    let ScaleOut { name, machine_type: kind, zone, spot, count } = scale_out;
    json!({"hire": name, "stallKind": kind, "paddock": zone, "borrowed": spot, "count": count}).to_string()
}

/// The body of a scale-in.
pub(crate) fn scale_in_body(machines: &[String]) -> String {
    json!({ "stalls": machines }).to_string()
}
