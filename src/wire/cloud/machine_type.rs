//! Wire format of a machine type in the cloud API.

use crate::spec;
use serde::Deserialize;

/// An entry of the cloud's list of machine types.
#[derive(Deserialize)]
pub struct MachineType {
    sku: String,
    vcpus: f64,
    #[serde(default)]
    cards: f64,
    #[serde(rename = "ramGb")]
    ram_gb: f64,
    rate: f64,
    #[serde(rename = "lowPrice", default)]
    low_price: f64,
    #[serde(rename = "startupS", default)]
    startup_s: f64,
    #[serde(default)]
    paddocks: Vec<String>,
}

impl From<MachineType> for spec::MachineType {
    fn from(form: MachineType) -> spec::MachineType {
        spec::MachineType {
            name: form.sku,
            cpus: form.vcpus,
            gpus: form.cards,
            memory_gb: form.ram_gb,
            price: form.rate,
            spot_price: form.low_price,
            boot_s: form.startup_s,
            zones: form.paddocks,
        }
    }
}
