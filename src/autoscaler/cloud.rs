//! Client of the cloud API: typed requests and answers, and a blocking HTTP client.

use crate::spec::MachineType;
use crate::state_store::http_exchange;
use crate::wire::cloud::{self as wire, MalformedAnswer};
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Most machines in one page of the machine list.
const PAGE_MACHINES: u32 = 500;

/// A request to the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// List the machine types and their prices.
    MachineTypes,
    /// List a page of machines: those whose names come after this one; empty for the first page.
    List(String),
    /// Add machines.
    ScaleOut(ScaleOut),
    /// Remove machines, by name. The cloud ignores unknown names.
    ScaleIn(Vec<String>),
}

/// Machines to add. The name makes the request idempotent: however often it is sent, the cloud adds the machines once.
/// A name is never used for another scale-out.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOut {
    /// The idempotency key.
    pub name: String,
    /// The machine type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
    /// How many machines to add.
    pub count: u32,
}

/// A machine's state as listed by the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It is billed but sends no heartbeats yet.
    Booting,
    /// It is running.
    Running,
    /// It failed to boot, or has broken down.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudMachine {
    /// Its name. Names sort in the order of creation.
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

/// An answer of the cloud.
#[derive(Clone, Debug, PartialEq)]
pub enum CloudAnswer {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// A page of the machine list, and whether more pages follow.
    Page(Vec<CloudMachine>, bool),
    /// Names of the machines that were added; may be fewer than requested.
    ScaledOut(Vec<String>),
    /// The cloud has no capacity for this machine type in this zone.
    NoCapacity,
    /// The machines have been removed.
    ScaledIn,
    /// The rate limit was exceeded, the cloud is unavailable, or there was no usable answer.
    Failed,
}

/// A blocking client of the cloud.
pub struct CloudClient {
    agent: ureq::Agent,
    base: String,
}

impl CloudClient {
    /// Creates a client of the cloud API at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddrV4) -> CloudClient {
        let agent = ureq::AgentBuilder::new().timeout(REQUEST_TIMEOUT).redirects(0).build();
        CloudClient { agent, base: format!("http://{addr}") }
    }

    /// Sends a request once, without a retry. A failure is returned as `CloudAnswer::Failed`.
    #[must_use]
    pub fn call(&self, request: &CloudRequest) -> CloudAnswer {
        match request {
            CloudRequest::MachineTypes => parse_answer::<wire::MachineTypeList>(self.get("/flavors")),
            CloudRequest::List(after) => self.list(after),
            CloudRequest::ScaleOut(scale_out) => self.scale_out(scale_out),
            CloudRequest::ScaleIn(machines) => self.scale_in(machines),
        }
    }

    fn list(&self, after: &str) -> CloudAnswer {
        let after = if after.is_empty() { String::new() } else { format!("after={after}&") };
        parse_answer::<wire::MachinePage>(self.get(&format!("/rentals?{after}limit={PAGE_MACHINES}")))
    }

    fn scale_out(&self, scale_out: &ScaleOut) -> CloudAnswer {
        match self.post("/rentals", wire::scale_out_body(scale_out)) {
            Some((503, text)) if text.contains(wire::NO_CAPACITY) => CloudAnswer::NoCapacity,
            Some((400, text)) => {
                tracing::error!(reason = %text, "cloud calls a scale-out malformed");
                CloudAnswer::NoCapacity
            }
            other => parse_answer::<wire::CreatedMachines>(other),
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

/// Parses a response body as `Form` and converts it to an answer.
fn parse_answer<Form: DeserializeOwned + Into<CloudAnswer>>(response: Option<(u16, String)>) -> CloudAnswer {
    let Some((200, text)) = response else { return CloudAnswer::Failed };
    match serde_json::from_str::<Form>(&text).map_err(MalformedAnswer::from) {
        Ok(form) => form.into(),
        Err(error) => {
            tracing::error!(reason = %error, "malformed answer from the cloud");
            CloudAnswer::Failed
        }
    }
}
