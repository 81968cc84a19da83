//! The cloud: requests and answers in the code's own types, and the blocking client.

use crate::spec::MachineType;
use crate::state_store::http_exchange;
use crate::wire::cloud::{self as wire, MalformedAnswer};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::Duration;

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Most machines in a page of the list.
const PAGE_MACHINES: u32 = 500;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// The machine types and prices.
    MachineTypes,
    /// A page of the machine list: the machines behind this name, empty for the first page.
    List(String),
    /// Add machines.
    ScaleOut(ScaleOut),
    /// Give machines back, by name. Names that the cloud doesn't know are ignored.
    ScaleIn(Vec<String>),
}

/// Machines to add. Under the same name the cloud adds them once, however often it is asked; a name is never used for
/// another scale-out.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOut {
    /// The name.
    pub name: String,
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// What the cloud says of a machine's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It is paid for and doesn't report yet.
    Booting,
    /// It is up.
    Running,
    /// It never comes up, or has broken down.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudMachine {
    /// Its name. Names are in the order of creation.
    pub name: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its state.
    pub state: MachineState,
    /// Seconds since it was added.
    pub age_s: f64,
}

/// What the cloud answers.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudAnswer {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// A page, and whether there is more.
    Page(Vec<CloudMachine>, bool),
    /// Names of the machines that were added; may be fewer than asked for.
    ScaledOut(Vec<String>),
    /// There are no machines of this type in this zone.
    NoCapacity,
    /// The machines are gone.
    ScaledIn,
    /// Too many calls, an outage, or no usable answer.
    Failed,
}

/// A blocking client of the cloud.
pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

impl CloudClient {
    /// A client of the cloud at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddrV4) -> CloudClient {
        let agent = ureq::AgentBuilder::new().timeout(REQUEST_TIMEOUT).redirects(0).build();
        CloudClient { agent, base: format!("http://{addr}") }
    }

    /// Carries out a request, once. A failure is an answer too.
    #[must_use]
    pub fn call(&self, request: &CloudRequest) -> CloudAnswer {
        match request {
            CloudRequest::MachineTypes => convert::<wire::MachineTypeList>(self.get("/flavors")),
            CloudRequest::List(after) => self.list(after),
            CloudRequest::ScaleOut(scale_out) => self.scale_out(scale_out),
            CloudRequest::ScaleIn(machines) => self.scale_in(machines),
        }
    }

    fn list(&self, after: &str) -> CloudAnswer {
        let after = if after.is_empty() { String::new() } else { format!("after={after}&") };
        convert::<wire::MachinePage>(self.get(&format!("/rentals?{after}limit={PAGE_MACHINES}")))
    }

    fn scale_out(&self, scale_out: &ScaleOut) -> CloudAnswer {
        match self.post("/rentals", wire::scale_out_body(scale_out)) {
            Some((503, text)) if text.contains(wire::NO_CAPACITY) => CloudAnswer::NoCapacity,
            Some((400, text)) => {
                tracing::error!(reason = %text, "cloud calls a scale-out malformed");
                CloudAnswer::NoCapacity
            }
            other => convert::<wire::CreatedMachines>(other),
        }
    }

    fn scale_in(&self, machines: &[String]) -> CloudAnswer {
        match self.post("/rentals/return", wire::scale_in_body(machines)) {
            Some((200, _)) => CloudAnswer::ScaledIn,
            _ => CloudAnswer::Failed,
        }
    }

    fn get(&self, path: &str) -> Option<(u16, String)> {
        http_exchange(&self.agent, "GET", &format!("{}{path}", self.base), None)
    }

    fn post(&self, path: &str, body: String) -> Option<(u16, String)> {
        http_exchange(&self.agent, "POST", &format!("{}{path}", self.base), Some(body))
    }
}

/// The answer that a body of this form stands for.
fn convert<Form: DeserializeOwned + Into<CloudAnswer>>(response: Option<(u16, String)>) -> CloudAnswer {
    let Some((200, text)) = response else { return CloudAnswer::Failed };
    match serde_json::from_str::<Form>(&text).map_err(MalformedAnswer::from) {
        Ok(form) => form.into(),
        Err(error) => {
            tracing::error!(reason = %error, "malformed answer from the cloud");
            CloudAnswer::Failed
        }
    }
}
