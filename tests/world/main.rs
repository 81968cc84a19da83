//! A deterministic simulation (state store, cloud, workers, clients and a network that loses, delays and holds back
//! messages) that runs the controllers' own code, injects seeded faults and checks the invariants after each step.

use hazelsaddle::autoscaler::{CloudAnswer, CloudMachine, CloudRequest};
use hazelsaddle::config::operators::Operators;
use hazelsaddle::config::settings::Settings;
use hazelsaddle::controller::{Controller, Effect, Event, StoreLane};
use hazelsaddle::machine_shard::{FencingProbe, Heartbeat, HeartbeatTask};
use hazelsaddle::peer::{Message, Refusal, Reply, UserRequest};
use hazelsaddle::spec::{JobSpec, MachineType};
use hazelsaddle::state_store::{StoreAnswer, StoreRequest, Transaction};
use hazelsaddle::units::Micros;
use hazelsaddle_testbed::state::State;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

mod batches;
mod cancels;
mod commands;
mod compound;
mod copies;
mod days;
mod looks;
mod lost;
mod net;
mod outside;
mod parts;
mod register;
mod rules;
mod shape;
mod silence;
mod trace;
mod troubles;
mod users;
mod workers;
mod zones;

pub(crate) use cancels::*;
pub(crate) use commands::*;
pub(crate) use compound::*;
pub(crate) use copies::*;
pub(crate) use looks::*;
pub(crate) use lost::*;
pub(crate) use parts::*;
pub(crate) use register::*;
pub(crate) use shape::*;
pub(crate) use silence::*;
pub(crate) use trace::*;
pub(crate) use troubles::*;
pub(crate) use zones::*;
