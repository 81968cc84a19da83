//! The epoch record, which determines in the state store which controllers are members.

use serde::{Deserialize, Serialize};

/// The record under the key `ring/epoch`. It is changed only by compare-and-swap.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochRecord {
    /// The epoch; also the workers' fencing token.
    pub epoch: u64,
    /// Its members, each with the boot ID of its process (a random number drawn at start).
    pub members: Vec<(String, u64)>,
}

impl EpochRecord {
    /// Returns the record of the next epoch, with the controllers in `alive` as its members.
    #[must_use]
    pub fn successor(&self, alive: &[(String, u64)]) -> EpochRecord {
        let mut members = alive.to_vec();
        members.sort();
        EpochRecord { epoch: self.epoch + 1, members }
    }
}
