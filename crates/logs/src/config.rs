//! A store's INI file. Every key has a unit in its name, a range and a default; a key that is unknown or out of
//! range is named with its file and section.

use crate::limits::Rates;
use crate::members::{List, Member, MembersError};
use crate::replica::ReplicaOptions;
use crate::segment_store::{Retention, SegmentStoreOptions};
use hazelsaddle_cluster::time::Micros;
use ini::Ini;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// Why a file can't be used; one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It can't be read or is no INI file.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A key is unknown or missing, or its value can't be used.
    #[error("{file}: [{section}] {key}: {reason}")]
    Key {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl ConfigError {
    fn file(file: &str, e: impl std::fmt::Display) -> ConfigError {
        ConfigError::File { file: file.into(), reason: e.to_string() }
    }
    /// What is wrong with a key.
    pub fn key(file: &str, section: &str, key: &str, reason: String) -> ConfigError {
        ConfigError::Key { file: file.into(), section: section.into(), key: key.into(), reason }
    }
}

/// The text of a file.
///
/// # Errors
/// If it can't be read.
pub fn text_of(file: &str) -> Result<String, ConfigError> {
    std::fs::read_to_string(file).map_err(|e| ConfigError::file(file, e))
}

/// Takes a file's text apart.
///
/// # Errors
/// If it is no INI file.
pub fn ini_of(file: &str, text: &str) -> Result<Ini, ConfigError> {
    Ini::load_from_str(text).map_err(|e| ConfigError::file(file, e))
}

/// A number that can be set.
struct Number {
    section: &'static str,
    key: &'static str,
    range: (u64, u64),
    default: u64,
    what: &'static str,
}

const fn number(
    section: &'static str,
    key: &'static str,
    range: (u64, u64),
    default: u64,
    what: &'static str,
) -> Number {
    Number { section, key, range, default, what }
}

const NUMBERS: [Number; 20] = [
    number("copies", "copies", (1, 9), 3, "Stores that hold each chunk, the lead included."),
    number("copies", "acks", (1, 9), 2, "How many of them must have it on disk before it is acknowledged."),
    number("copies", "patience_ms", (100, 60_000), 2000, "How long copies are waited for."),
    number("copies", "heal_ms", (1, 60_000), 50, "Pause between two comparisons with other stores."),
    number(
        "copies",
        "heal_kib_s",
        (16, 16_777_216),
        16_384,
        "What healing and handing over may send, in KiB/s.",
    ),
    number("disk", "segment_mib", (1, 4096), 64, "A segment is sealed at this size, in MiB."),
    number(
        "disk",
        "max_mib",
        (8, 1 << 30),
        65_536,
        "Room for all segments, in MiB. More is refused with 507.",
    ),
    number("disk", "cache_mib", (1, 65_536), 16, "Memory for the index's pages, in MiB."),
    number("disk", "checkpoint_mib", (1, 4096), 32, "What is read again after a crash at the most, in MiB."),
    number("disk", "keep_kib_s", (64, 16_777_216), 8192, "What scrubbing and compaction may read, in KiB/s."),
    number("disk", "compress", (0, 1), 1, "1: logs are compressed. Artefacts never are."),
    number("limits", "chunk_kib", (1, 3072), 1024, "Longest chunk, in KiB."),
    number(
        "limits",
        "attempt_kib_s",
        (1, 16_777_216),
        32_768,
        "Of one attempt, in KiB/s; the burst is twice that.",
    ),
    number("limits", "job_kib_s", (1, 16_777_216), 131_072, "Of all tasks of a job."),
    number("limits", "team_kib_s", (1, 16_777_216), 262_144, "Of all jobs of a team."),
    number("limits", "connections", (1, 20_000), 2000, "Shippers' connections; each takes a thread."),
    number("limits", "queue_mib", (8, 4096), 64, "Requests that wait, in MiB; more are refused with 503."),
    number("retention", "age_h", (1, 87_600), 336, "What ended longer ago goes, in hours."),
    number("retention", "team_mib", (1, 1 << 30), 16_384, "What a team may have at this store, in MiB."),
    number(
        "retention",
        "silent_s",
        (1, 86_400),
        60,
        "After so long without a word a stream counts as cut off.",
    ),
];

/// How a store is started.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Where its segments are.
    pub folder: PathBuf,
    /// This store as others see it.
    pub member: Member,
    /// All stores, this one included, before any list was made by an operator.
    pub list: List,
    /// How it decides.
    pub node: ReplicaOptions,
    /// How it keeps things.
    pub shelf: SegmentStoreOptions,
    /// Shippers' connections at the most.
    pub connections: usize,
    /// Bytes of requests that may wait.
    pub queue_bytes: u64,
}

/// The file with all defaults, and what each key means.
pub fn sample() -> String {
    let mut out = String::from(
        "; A log store of hazelsaddle.\n[store]\n; Its name: letters, digits, '-', '_' and '.'.\nname = store-0\n\
        ; Its zone; copies go to different ones first.\nzone = a\n; Where its data is. No other store may use it.\n\
        folder = /var/lib/hazelsaddle/store-0\n; Where shippers reach it: IPv4 and port.\nlink = 127.0.0.1:7101\n\
        ; Where other stores reach it.\npeer = 127.0.0.1:7102\n; Where readers reach it.\nhttp = 127.0.0.1:7103\n\n\
        [stores]\n; The others: name = zone link peer http\n;store-1 = b 127.0.0.1:7201 127.0.0.1:7202 127.0.0.1:7203\n",
    );
    let mut section = "";
    for n in &NUMBERS {
        if n.section != section {
            section = n.section;
            out.push_str(&format!("\n[{section}]\n"));
        }
        out.push_str(&format!("; {} {} to {}.\n{} = {}\n", n.what, n.range.0, n.range.1, n.key, n.default));
    }
    out
}

impl StoreConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong, with file, section and key.
    pub fn load(file: &str) -> Result<StoreConfig, ConfigError> {
        StoreConfig::parse(file, &text_of(file)?)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    /// As `load`.
    pub fn parse(file: &str, text: &str) -> Result<StoreConfig, ConfigError> {
        let ini = ini_of(file, text)?;
        let bad = |section: &str, key: &str, reason: String| ConfigError::key(file, section, key, reason);
        const TEXTS: [&str; 6] = ["name", "zone", "folder", "link", "peer", "http"];
        let mut members = Vec::new();
        for (section, values) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in values.iter() {
                let known = match section {
                    "store" => TEXTS.contains(&key),
                    "stores" => {
                        let parts: Vec<&str> = value.split_whitespace().collect();
                        let [zone, link, peer, http] = parts.as_slice() else {
                            return Err(bad(section, key, "must be: zone link peer http".into()));
                        };
                        members.push(Member {
                            name: key.into(),
                            zone: (*zone).into(),
                            link: (*link).into(),
                            peer: (*peer).into(),
                            http: (*http).into(),
                            leaving: false,
                        });
                        true
                    }
                    _ => NUMBERS.iter().any(|n| n.section == section && n.key == key),
                };
                if !known {
                    return Err(bad(section, key, "is no setting of a store".into()));
                }
            }
        }
        let mut set = BTreeMap::new();
        for n in &NUMBERS {
            let value = match ini.get_from(Some(n.section), n.key) {
                None => n.default,
                Some(text) => {
                    text.trim().parse().ok().filter(|v| (n.range.0..=n.range.1).contains(v)).ok_or_else(
                        || {
                            bad(
                                n.section,
                                n.key,
                                format!("{text:?} is no whole number from {} to {}", n.range.0, n.range.1),
                            )
                        },
                    )?
                }
            };
            set.insert((n.section, n.key), value);
        }
        let get = |section, key| set.get(&(section, key)).copied().unwrap_or_default();
        let text = |key: &str| {
            ini.get_from(Some("store"), key)
                .map(str::trim)
                .filter(|t| !t.is_empty())
                .map(str::to_owned)
                .ok_or_else(|| bad("store", key, "is missing".into()))
        };
        let member = Member {
            name: text("name")?,
            zone: text("zone").unwrap_or_default(),
            link: text("link")?,
            peer: text("peer")?,
            http: text("http")?,
            leaving: false,
        };
        members.retain(|m| m.name != member.name);
        members.push(member.clone());
        members.sort();
        let list = List { version: 1, members };
        list.check().map_err(|e| match &e {
            MembersError::Address(a) if [&member.link, &member.peer, &member.http].contains(&a) => {
                bad("store", "link, peer, http", e.to_string())
            }
            _ => bad("stores", "", e.to_string()),
        })?;
        let (copies, acks) = (get("copies", "copies") as usize, get("copies", "acks") as usize);
        if acks > copies {
            return Err(bad("copies", "acks", format!("{acks} of {copies} copies can't be waited for")));
        }
        let rate = |key| get("limits", key) * 1024;
        Ok(StoreConfig {
            folder: text("folder")?.into(),
            node: ReplicaOptions {
                name: member.name.clone(),
                copies,
                acks,
                chunk_bytes: (get("limits", "chunk_kib") * 1024) as usize,
                rates: Rates {
                    attempt: rate("attempt_kib_s"),
                    job: rate("job_kib_s"),
                    team: rate("team_kib_s"),
                },
                retention: Retention {
                    age: get("retention", "age_h") * 3_600_000_000,
                    team_bytes: get("retention", "team_mib") << 20,
                },
                silent: Micros::from_millis(get("retention", "silent_s") * 1000),
                patience: Micros::from_millis(get("copies", "patience_ms")),
                heal_every: Micros::from_millis(get("copies", "heal_ms")),
                heal_bytes: get("copies", "heal_kib_s") * 1024,
                keep_bytes: get("disk", "keep_kib_s") * 1024,
            },
            shelf: SegmentStoreOptions {
                segment_bytes: get("disk", "segment_mib") << 20,
                max_bytes: get("disk", "max_mib") << 20,
                compress: get("disk", "compress") == 1,
                cache_bytes: (get("disk", "cache_mib") << 20) as usize,
                checkpoint_bytes: get("disk", "checkpoint_mib") << 20,
                ..SegmentStoreOptions::default()
            },
            connections: get("limits", "connections") as usize,
            queue_bytes: get("limits", "queue_mib") << 20,
            member,
            list,
        })
    }

    /// The address of one of its doors.
    ///
    /// # Errors
    /// If it is none; `parse` has checked it.
    pub fn address(text: &str) -> Result<SocketAddrV4, ConfigError> {
        text.parse().map_err(|_| ConfigError::File {
            file: text.into(),
            reason: "is no IPv4 address and port".into(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_sample_is_valid_and_means_the_defaults() {
        let c = StoreConfig::parse("sample", &sample()).expect("valid");
        assert_eq!((c.node.copies, c.node.acks, c.shelf.segment_bytes), (3, 2, 64 << 20));
        assert_eq!(c.list.members.len(), 1);
        let two = sample().replace(";store-1", "store-1");
        assert_eq!(StoreConfig::parse("sample", &two).expect("valid").list.members[1].zone, "b");
    }

    #[test]
    fn wrong_keys_are_named_with_file_section_and_key() {
        for (from, to, named) in [
            ("copies = 3", "copies = 0", "[copies] copies"),
            ("acks = 2", "acks = 4", "[copies] acks"),
            ("max_mib = 65536", "max_mib = lots", "[disk] max_mib"),
            ("cache_mib", "cash_mib", "[disk] cash_mib"),
            ("name = store-0", "", "[store] name"),
            ("link = 127.0.0.1:7101", "link = localhost:7101", "[store] link"),
            (";store-1 = b 127.0.0.1:7201", "store-1 = b", "[stores] store-1"),
        ] {
            let text = sample().replacen(from, to, 1);
            let e = StoreConfig::parse("f.ini", &text).expect_err(to).to_string();
            assert!(e.starts_with("f.ini: ") && e.contains(named) && !e.contains('\n'), "{e}");
        }
    }
}
