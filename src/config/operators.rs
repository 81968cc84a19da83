//! Operators' own settings, beyond the platform's file: an INI file named by `--operators`. Without one everything that it
//! could switch on is off.

use crate::units::Micros;
use hazelsaddle_freshness::settings::Settings as Freshness;
use hazelsaddle_logs::config::{ConfigError, ini_of, text_of};
use hazelsaddle_release::calendar::{Calendar, Calendars};
use std::net::SocketAddrV4;

/// Most log stores: their addresses are in every answer about a job.
const LOG_STORE_LIMIT: usize = 16;
/// Range of `back_s`, in seconds. Resources must not be kept for long for a lender that doesn't use them.
const RECLAIM_RANGE_S: (f64, f64) = (1.0, 30.0);
/// Range of the other times of loans, in seconds.
const LOAN_TIME_RANGE_S: (f64, f64) = (0.0, 86_400.0);

/// What is wrong with a key that is not known.
const UNKNOWN_KEY: &str = "is no setting";

/// What operators have set. The verb `check` prints it in its `Debug` form: fields' names are output.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Addresses of log stores to read from; in every answer about a job.
    pub log_stores: Vec<SocketAddrV4>,
    /// Which classes the stale-input guard covers; None: it is off.
    pub freshness: Option<Freshness>,
    /// Release calendars; without one releases are off.
    pub calendars: Calendars,
    /// On which terms GPUs are lent; None: lending is off.
    pub loans: Option<LoanTerms>,
}

/// On which terms GPUs are lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Teams or classes whose services may borrow.
    pub borrowers: Vec<String>,
    /// How long a replica that work was preempted for may stay, though its lender lacks GPUs.
    pub stay: Micros,
    /// How long resources that were reclaimed are reserved for their lender.
    pub back: Micros,
    /// How long a lender, or a service, must have lacked GPUs before it counts.
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
    /// Sets the value of a key of `[loans]`.
    fn set(&mut self, key: &str, value: &str) -> Result<(), String> {
        match key {
            "borrowers" => self.borrowers = names_in(value).map(str::to_owned).collect(),
            "stay_s" => self.stay = seconds_in(value, LOAN_TIME_RANGE_S)?,
            "back_s" => self.back = seconds_in(value, RECLAIM_RANGE_S)?,
            "burst_s" => self.burst = seconds_in(value, LOAN_TIME_RANGE_S)?,
            _ => return Err(UNKNOWN_KEY.into()),
        }
        Ok(())
    }
}

impl Operators {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// What is wrong, with file, section and key.
    pub fn load(file: &str) -> Result<Operators, ConfigError> {
        Operators::parse(file, &text_of(file)?)
    }

    /// Checks the text of a file; `file` is named in errors.
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

    /// Sets the value of a key of `[logs]`.
    fn set_log_stores(&mut self, key: &str, value: &str) -> Result<(), String> {
        if key != "stores" {
            return Err(UNKNOWN_KEY.into());
        }
        for address in names_in(value) {
            let parsed = address.parse().map_err(|_| format!("{address:?} is no IPv4 address and port"))?;
            self.log_stores.push(parsed);
        }
        if self.log_stores.len() > LOG_STORE_LIMIT {
            return Err(format!("names {LOG_STORE_LIMIT} stores at the most"));
        }
        Ok(())
    }

    /// Sets the value of a key of `[freshness]`.
    fn set_freshness(&mut self, key: &str, value: &str) -> Result<(), String> {
        self.freshness.get_or_insert_default().set(key, value).map_err(|reason| reason.to_string())
    }
}

/// The name of the calendar that a section is about.
fn calendar_name(section: &str) -> Option<&str> {
    section.strip_prefix("calendar ").map(str::trim).filter(|name| !name.is_empty())
}

/// The parts of a list separated by commas.
fn names_in(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|name| !name.is_empty())
}

fn seconds_in(value: &str, (least, most): (f64, f64)) -> Result<Micros, String> {
    let seconds: Option<f64> = value.parse().ok().filter(|seconds| (least..=most).contains(seconds));
    let seconds =
        seconds.ok_or_else(|| format!("{value:?} is no number of seconds from {least} to {most}"))?;
    Ok(Micros::from_secs(seconds))
}

#[cfg(test)]
mod tests;
