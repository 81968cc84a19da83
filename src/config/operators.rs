//! Operators' settings: an INI file named by `--operators`, in addition to the platform's settings file. All features that
//! it enables are off without it.

use crate::units::Micros;
use hazelsaddle_freshness::settings::Settings as Freshness;
use hazelsaddle_logs::config::{ConfigError, ini_of, text_of};
use hazelsaddle_release::calendar::{Calendar, Calendars};
use std::net::SocketAddrV4;

/// Most log stores. The limit exists because every answer about a job lists their addresses.
const LOG_STORE_LIMIT: usize = 16;
/// Allowed range of `back_s`, in seconds. Short, because a lender may leave the resources reserved for it unused.
const BACK_RANGE_S: (f64, f64) = (1.0, 30.0);
/// Allowed range of the other durations in `[loans]`, in seconds.
const LOAN_TIME_RANGE_S: (f64, f64) = (0.0, 86_400.0);

/// Error text for an unknown key.
const UNKNOWN_KEY: &str = "is no setting";

/// The operators' settings. The subcommand `check` prints them in their `Debug` format, so field names are output.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Addresses at which log stores serve readers; listed in every answer about a job.
    pub log_stores: Vec<SocketAddrV4>,
    /// The classes that the stale-input guard covers; None: the guard is off.
    pub freshness: Option<Freshness>,
    /// Release calendars; without one, releases are off.
    pub calendars: Calendars,
    /// The terms on which GPUs are lent; None: lending is off.
    pub loans: Option<LoanTerms>,
}

/// The terms on which GPUs are lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Teams or classes whose services may borrow.
    pub borrowers: Vec<String>,
    /// Minimum time for which a replica that runs on lent GPUs keeps them, even if the lender is short of GPUs.
    pub stay: Micros,
    /// How long reclaimed resources stay reserved for their lender.
    pub back: Micros,
    /// How long a lender or a service must have been short of GPUs before GPUs are reclaimed or lent for it.
    pub burst: Micros,
}

impl Default for LoanTerms {
    fn default() -> LoanTerms {
        LoanTerms {
            borrowers: Vec::new(),
            stay: Micros::from_millis(300_000),
            back: Micros::from_millis(30_000),
            burst: Micros::from_millis(20_000),
        }
    }
}

impl LoanTerms {
    /// Applies one key of `[loans]`.
    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "borrowers" => self.borrowers = split_list(value).map(str::to_owned).collect(),
            "stay_s" => self.stay = parse_seconds(value, LOAN_TIME_RANGE_S)?,
            "back_s" => self.back = parse_seconds(value, BACK_RANGE_S)?,
            "burst_s" => self.burst = parse_seconds(value, LOAN_TIME_RANGE_S)?,
            _ => return Err(UNKNOWN_KEY.into()),
        }
        Ok(())
    }
}

impl Operators {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first problem, with file, section and key.
    pub fn load(file: &str) -> Result<Operators, ConfigError> {
        Operators::parse(file, &text_of(file)?)
    }

    /// Parses the text of a settings file; `file` is its name in error messages.
    ///
    /// # Errors
    /// As [`Operators::load`].
    pub fn parse(file: &str, text: &str) -> Result<Operators, ConfigError> {
        let ini = ini_of(file, text)?;
        let mut operators = Operators::default();
        let mut loans = LoanTerms::default();
        for (section, values) in ini.iter() {
            let section = section.unwrap_or("");
            if let Some(name) = calendar_name(section) {
                let calendar = Calendar::parse(name, values.iter())
                    .map_err(|e| ConfigError::key(file, section, &e.key, e.reason))?;
                operators
                    .add_calendar(calendar)
                    .map_err(|reason| ConfigError::key(file, section, "title", reason))?;
                continue;
            }
            for (key, value) in values.iter() {
                match section {
                    "logs" => operators.set_log_stores(key, value),
                    "freshness" => operators.set_freshness(key, value),
                    "loans" => loans.set(key, value),
                    _ => Err(UNKNOWN_KEY.into()),
                }
                .map_err(|reason| ConfigError::key(file, section, key, reason))?;
            }
        }
        if let Some(Err((key, reason))) = operators.freshness.as_ref().map(Freshness::check) {
            return Err(ConfigError::key(file, "freshness", key, reason.to_string()));
        }
        operators.loans = (!loans.borrowers.is_empty()).then_some(loans);
        Ok(operators)
    }

    fn add_calendar(&mut self, calendar: Calendar) -> Result<(), String> {
        if self.calendars.0.iter().any(|other| other.name == calendar.name) {
            return Err("the calendar is given twice".into());
        }
        self.calendars.0.push(calendar);
        Ok(())
    }

    /// Applies one key of `[logs]`.
    fn set_log_stores(&mut self, key: &str, value: &str) -> Result<(), String> {
        if key != "stores" {
            return Err(UNKNOWN_KEY.into());
        }
        for address in split_list(value) {
            let parsed = address.parse().map_err(|_| format!("{address:?} is no IPv4 address and port"))?;
            self.log_stores.push(parsed);
        }
        if self.log_stores.len() > LOG_STORE_LIMIT {
            return Err(format!("must name at most {LOG_STORE_LIMIT} stores"));
        }
        Ok(())
    }

    /// Applies one key of `[freshness]`.
    fn set_freshness(&mut self, key: &str, value: &str) -> Result<(), String> {
        self.freshness.get_or_insert_default().set(key, value).map_err(|reason| reason.to_string())
    }
}

/// The calendar's name in the header of a section `[calendar NAME]`; None for any other section.
fn calendar_name(section: &str) -> Option<&str> {
    section.strip_prefix("calendar ").map(str::trim).filter(|name| !name.is_empty())
}

/// Splits a comma-separated list.
fn split_list(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|name| !name.is_empty())
}

/// Parses a duration in seconds that must be from `least` to `most`.
fn parse_seconds(value: &str, (least, most): (f64, f64)) -> Result<Micros, String> {
    let seconds: Option<f64> = value.parse().ok().filter(|seconds| (least..=most).contains(seconds));
    let seconds =
        seconds.ok_or_else(|| format!("{value:?} is no number of seconds from {least} to {most}"))?;
    Ok(Micros::from_secs(seconds))
}

#[cfg(test)]
mod tests;
