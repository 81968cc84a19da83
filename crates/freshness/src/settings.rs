//! The job classes that the guard covers: the section `[freshness]` of the operators' settings.

use std::collections::BTreeSet;

/// The keys of the section.
const KEYS: [&str; 3] = ["sources", "merges", "required"];
/// Most classes in one list.
const CLASS_LIMIT: usize = 64;
/// Longest name of a class, in bytes.
const CLASS_NAME_LIMIT_BYTES: usize = 100;

/// The section's values. The subcommand `check` prints them in their `Debug` format, so field names are output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Settings {
    /// Classes whose runs read inputs: each such run upstream of a merge must be of the merge's batch and version.
    pub sources: BTreeSet<String>,
    /// Classes whose jobs may declare `merges`; empty: all.
    pub merges: BTreeSet<String>,
    /// Sources of which every merge must have a run upstream.
    pub required: BTreeSet<String>,
}

/// Why a value can't be used. The caller adds the file, the section and the key to the message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// The key is unknown; the nearest known one.
    #[error("is no setting; there are sources, merges and required (nearest: {0})")]
    UnknownKey(&'static str),
    /// An entry is not a valid class name.
    #[error("{0:?} is no name of a class")]
    InvalidClassName(String),
    /// A class is listed twice.
    #[error("names {0:?} twice")]
    DuplicateClass(String),
    /// The list is too long.
    #[error("must name at most {CLASS_LIMIT} classes")]
    TooManyClasses,
    /// A required class is not a source.
    #[error("{0:?} is not among the sources")]
    RequiredNotSource(String),
    /// A class is both a source and a merge.
    #[error("{0:?} is among the sources as well; a merge writes what its sources read")]
    SourceAndMerge(String),
}

impl Settings {
    /// Applies one key. Its value is a comma-separated list of classes.
    ///
    /// # Errors
    /// If the key is unknown or the list is invalid.
    pub fn set(&mut self, key: &str, value: &str) -> Result<(), SettingError> {
        let list = match key {
            "sources" => &mut self.sources,
            "merges" => &mut self.merges,
            "required" => &mut self.required,
            _ => return Err(SettingError::UnknownKey(find_nearest(key, KEYS).unwrap_or("sources"))),
        };
        for name in value.split(',').map(str::trim).filter(|p| !p.is_empty()) {
            if name.len() > CLASS_NAME_LIMIT_BYTES
                || name.contains(|c: char| c.is_whitespace() || c.is_control())
            {
                return Err(SettingError::InvalidClassName(name.to_owned()));
            }
            if !list.insert(name.to_owned()) {
                return Err(SettingError::DuplicateClass(name.to_owned()));
            }
        }
        if list.len() > CLASS_LIMIT { Err(SettingError::TooManyClasses) } else { Ok(()) }
    }

    /// Checks the keys against each other, after all of them have been applied.
    ///
    /// # Errors
    /// The invalid key, and why it is invalid.
    pub fn check(&self) -> Result<(), (&'static str, SettingError)> {
        if let Some(name) = self.required.difference(&self.sources).next() {
            return Err(("required", SettingError::RequiredNotSource(name.clone())));
        }
        match self.merges.intersection(&self.sources).next() {
            Some(name) => Err(("merges", SettingError::SourceAndMerge(name.clone()))),
            None => Ok(()),
        }
    }

    /// Whether jobs of this class may declare `merges`.
    #[must_use]
    pub fn can_merge(&self, class: &str) -> bool {
        self.merges.is_empty() || self.merges.contains(class)
    }
}

/// The known name with the least edit distance to this one.
#[must_use]
pub fn find_nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |other: &str| {
        let other: Vec<char> = other.chars().collect();
        let mut row: Vec<usize> = (0..=other.len()).collect();
        for (i, name_char) in name.chars().enumerate() {
            let mut diagonal = row[0];
            row[0] = i + 1;
            for (j, other_char) in other.iter().enumerate() {
                let next =
                    (diagonal + usize::from(name_char != *other_char)).min(row[j] + 1).min(row[j + 1] + 1);
                diagonal = std::mem::replace(&mut row[j + 1], next);
            }
        }
        row.last().copied().unwrap_or(0)
    };
    known.into_iter().min_by_key(|candidate| distance(candidate))
}

#[cfg(test)]
mod tests;
