//! The cloud: PROTOCOL, "Controller nodes -> cloud". It has no more machines to rent than those that are up at the start.

use crate::http::{self, query};
use crate::json::{Json, quote};
use crate::worker::Machine;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

pub type Machines = Arc<Mutex<Vec<Arc<Machine>>>>;

pub fn start(flavors: &'static str, machines: Machines) -> SocketAddr {
    let listener = http::listener();
    let addr = listener.local_addr().expect("address");
    let start = Instant::now();
    http::serve(listener, move |request| {
        let path = request.url.split('?').next().unwrap_or("");
        Some(match (request.method.as_str(), path) {
            ("GET", "/flavors") => (200, flavors.to_owned()),
            ("GET", "/rentals") => {
                let after = query(&request.url, "after").unwrap_or("");
                let list = machines.lock().unwrap_or_else(|e| e.into_inner());
                let mut rows: Vec<_> =
                    list.iter().filter(|m| !m.is_gone() && m.name.as_str() > after).collect();
                rows.sort_by(|a, b| a.name.cmp(&b.name));
                let text: Vec<String> = rows
                    .iter()
                    .map(|m| {
                        format!(
                            r#"{{"uid":{},"addr":"{}","stallKind":{},"paddock":{},"borrowed":{},"stance":"running","heldS":{:.1}}}"#,
                            quote(&m.name),
                            m.addr,
                            quote(&m.kind),
                            quote(&m.zone),
                            m.borrowed,
                            600.0 + start.elapsed().as_secs_f64()
                        )
                    })
                    .collect();
                (200, format!(r#"{{"stalls":[{}],"more":false}}"#, text.join(",")))
            }
            ("POST", "/rentals/return") => {
                let names = Json::parse(&request.body).and_then(|b| b.get("stalls").cloned());
                let list = machines.lock().unwrap_or_else(|e| e.into_inner());
                for name in names.iter().flat_map(|n| n.arr()).filter_map(Json::str) {
                    for machine in list.iter().filter(|m| m.name == name && !m.is_gone()) {
                        crate::note!("cloud: {name} returned");
                        machine.remove();
                    }
                }
                (200, "{}".into())
            }
            ("POST", "/rentals") => (503, r#"{"error":"no capacity"}"#.into()),
            _ => (400, "{}".into()),
        })
    });
    addr
}
