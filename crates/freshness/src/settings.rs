//! Which classes the guard covers: `[freshness]` in the operators' settings.

use std::collections::BTreeSet;

/// The keys of the section.
const KEYS: [&str; 3] = ["sources", "merges", "required"];
/// Most classes in one list.
const CLASS_LIMIT: usize = 64;
/// Longest name of a class, in bytes.
const CLASS_NAME_LIMIT: usize = 100;

/// What operators have set. Printed in its `Debug` form: names are output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Classes whose runs read inputs: each such run upstream of a merge must be of the merge's batch.
    pub sources: BTreeSet<String>,
    /// Classes whose jobs may name `merges`; empty: all.
    pub merges: BTreeSet<String>,
    /// Sources without which a merge counts as missing one.
    pub required: BTreeSet<String>,
}

/// A setting that can't be used. The message says why, for whoever knows file and section.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// No such key.
    #[error("is no setting; there are sources, merges and required (nearest: {0})")]
    Key(&'static str),
    /// Something in the list is no name of a class.
    #[error("{0:?} is no name of a class")]
    Name(String),
    /// The same class twice in a list.
    #[error("names {0:?} twice")]
    Twice(String),
    /// The list is too long.
    #[error("names {CLASS_LIMIT} classes at the most")]
    Many,
    /// A class is required and no source.
    #[error("{0:?} is not among the sources")]
    NoSource(String),
    /// A class can't be both.
    #[error("{0:?} is among the sources as well; a merge writes what its sources read")]
    Both(String),
}

impl Settings {
    /// Sets a key to its value: classes separated by commas.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), SettingError> {
        let list = match key {
            "sources" => &mut self.sources,
            "merges" => &mut self.merges,
            "required" => &mut self.required,
            _ => return Err(SettingError::Key(find_nearest(key, KEYS).unwrap_or("sources"))),
        };
        for name in value.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            if name.len() > CLASS_NAME_LIMIT || name.contains(|c: char| c.is_whitespace() || c.is_control()) {
                return Err(SettingError::Name(name.to_owned()));
            }
            if !list.insert(name.to_owned()) {
                return Err(SettingError::Twice(name.to_owned()));
            }
        }
        if list.len() > CLASS_LIMIT { Err(SettingError::Many) } else { Ok(()) }
    }

    /// Checks what can only be checked once all keys are set.
    ///
    /// # Errors
    /// The key at fault and why.
    pub fn check(&self) -> Result<(), (&'static str, SettingError)> {
        if let Some(name) = self.required.difference(&self.sources).next() {
            return Err(("required", SettingError::NoSource(name.clone())));
        }
        match self.merges.intersection(&self.sources).next() {
            Some(name) => Err(("merges", SettingError::Both(name.clone()))),
            None => Ok(()),
        }
    }

    /// Whether jobs of this class may name `merges`.
    #[must_use]
    pub fn can_merge(&self, class: &str) -> bool {
        self.merges.is_empty() || self.merges.contains(class)
    }
}

/// The known name with the fewest changes to this one.
#[must_use]
pub fn find_nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |other: &str| {
        let other: Vec<char> = other.chars().collect();
        let mut row: Vec<usize> = (0..=other.len()).collect();
        for (i, a) in name.chars().enumerate() {
            let mut corner = row[0];
            row[0] = i + 1;
            for (j, b) in other.iter().enumerate() {
                let next = (corner + usize::from(a != *b)).min(row[j] + 1).min(row[j + 1] + 1);
                corner = std::mem::replace(&mut row[j + 1], next);
            }
        }
        row.last().copied().unwrap_or(0)
    };
    known.into_iter().min_by_key(|k| distance(k))
}

#[cfg(test)]
mod tests;
