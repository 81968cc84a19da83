//! The epoch record: the stored truth of who is a member.

use serde::{Deserialize, Serialize};

/// The record under `ring/epoch`. It is changed by compare-and-swap alone.
#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq, Eq)]
pub struct EpochRecord {
    /// The epoch; also the workers' fencing token.
    pub epoch: u64,
    /// Its members and which process of each (a random number drawn at start).
    pub members: Vec<(String, u64)>,
}

impl EpochRecord {
    /// The record that follows this one when the controllers in `alive` are to be its members.
    #[must_use]
    pub fn successor(&self, alive: &[(String, u64)]) -> EpochRecord {
        let mut members = alive.to_vec();
        members.sort();
        EpochRecord { epoch: self.epoch + 1, members }
    }
}
