//! Operators' own settings, beyond the platform's file: an INI file named by `--operators`. Without it everything is
//! as if it were empty.

use crate::units::Micros;
use hazelsaddle_freshness::settings::Settings as Freshness;
use hazelsaddle_logs::config::{ConfigError, ini_of, text_of};
use hazelsaddle_release::calendar::{Calendar, Calendars};
use std::net::SocketAddrV4;

/// Log stores named at the most: their addresses are in every answer about a job.
const STORES: usize = 16;

/// What operators have set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Reader addresses of log stores; told to whoever asks about a job.
    pub log_stores: Vec<SocketAddrV4>,
    /// Which classes the stale-input guard is about; None: it is off.
    pub freshness: Option<Freshness>,
    /// Release calendars; without one nothing of releases is switched on.
    pub calendars: Calendars,
    /// Who may borrow GPUs, and on which terms; None: nobody.
    pub loans: Option<LoanTerms>,
}

/// On which terms GPUs are lent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanTerms {
    /// Teams or classes whose services may borrow.
    pub borrowers: Vec<String>,
    /// A replica that was taken for is left where it is for so long.
    pub stay: Micros,
    /// Room that comes back is kept for its lender for so long.
    pub back: Micros,
    /// A lender's lack, or a service's, counts once it has lasted for so long.
    pub burst: Micros,
}

impl Operators {
    /// Reads a file.
    ///
    /// # Errors
    /// What is wrong, with file, section and key.
    pub fn load(file: &str) -> Result<Operators, ConfigError> {
        Operators::parse(file, &text_of(file)?)
    }

    /// Checks the text of a file.
    ///
    /// # Errors
    /// As `load`.
    pub fn parse(file: &str, text: &str) -> Result<Operators, ConfigError> {
        let ini = ini_of(file, text)?;
        let mut found = Operators::default();
        let mut terms = LoanTerms {
            borrowers: Vec::new(),
            stay: Micros::from_millis(300_000),
            back: Micros::from_millis(30_000),
            burst: Micros::from_millis(20_000),
        };
        for (section, values) in ini.iter() {
            let section = section.unwrap_or("");
            if let Some(name) = section.strip_prefix("calendar ").map(str::trim).filter(|n| !n.is_empty()) {
                let calendar = Calendar::parse(name, values.iter())
                    .map_err(|e| ConfigError::key(file, section, &e.key, e.reason))?;
                if found.calendars.0.iter().any(|c| c.name == name) {
                    return Err(ConfigError::key(
                        file,
                        section,
                        "title",
                        "the calendar is given twice".into(),
                    ));
                }
                found.calendars.0.push(calendar);
                continue;
            }
            for (key, value) in values.iter() {
                let bad = |reason: String| ConfigError::key(file, section, key, reason);
                match (section, key) {
                    ("logs", "stores") => {
                        for part in value.split(',').map(str::trim).filter(|p| !p.is_empty()) {
                            let addr = part
                                .parse()
                                .map_err(|_| bad(format!("{part:?} is no IPv4 address and port")))?;
                            found.log_stores.push(addr);
                        }
                        if found.log_stores.len() > STORES {
                            return Err(bad(format!("names {STORES} stores at the most")));
                        }
                    }
                    ("freshness", key) => {
                        let f = found.freshness.get_or_insert_default();
                        f.set(key, value).map_err(|why| bad(why.to_string()))?;
                    }
                    ("loans", "borrowers") => {
                        let names = value.split(',').map(str::trim).filter(|n| !n.is_empty());
                        terms.borrowers = names.map(str::to_owned).collect();
                    }
                    ("loans", key @ ("stay_s" | "back_s" | "burst_s")) => {
                        let (least, most) = if key == "back_s" { (1.0, 30.0) } else { (0.0, 86_400.0) };
                        let s: f64 =
                            value.parse().ok().filter(|s| (least..=most).contains(s)).ok_or_else(|| {
                                bad(format!("{value:?} is no number of seconds from {least} to {most}"))
                            })?;
                        *match key {
                            "stay_s" => &mut terms.stay,
                            "back_s" => &mut terms.back,
                            _ => &mut terms.burst,
                        } = Micros::from_secs(s);
                    }
                    _ => return Err(bad("is no setting".into())),
                }
            }
        }
        if let Some(Err((key, why))) = found.freshness.as_ref().map(Freshness::check) {
            return Err(ConfigError::key(file, "freshness", key, why.to_string()));
        }
        found.loans = (!terms.borrowers.is_empty()).then_some(terms);
        Ok(found)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_is_valid_and_wrong_keys_are_named() {
        let all = Operators::parse("f.ini", include_str!("../../deploy/operators.ini")).expect("valid");
        assert_eq!(all, Operators::default(), "everything in it is commented out");
        let on = Operators::parse("f.ini", "[logs]\nstores = 10.3.0.1:7103, 10.3.0.2:7103\n").expect("valid");
        assert_eq!(on.log_stores.len(), 2);
        let on = Operators::parse("f.ini", "[loans]\nborrowers = serve, chat\nstay_s = 60\n").expect("valid");
        let terms = on.loans.expect("switched on");
        assert_eq!(
            (terms.borrowers.len(), terms.stay, terms.back.secs()),
            (2, Micros::from_secs(60.0), 30.0)
        );
        for (text, named) in [
            ("[logs]\nstores = here:1\n", "f.ini: [logs] stores"),
            ("[logs]\nstore = 10.0.0.1:1\n", "f.ini: [logs] store:"),
            ("[calendar n]\ntitel = x\n", "f.ini: [calendar n] titel:"),
            ("[calendar n]\ntitle = x\n", "f.ini: [calendar n] zone:"),
            ("[loans]\nstay_s = soon\n", "f.ini: [loans] stay_s"),
            ("[loans]\nback_s = 31\n", "f.ini: [loans] back_s"),
            ("[loans]\nborrower = serve\n", "f.ini: [loans] borrower:"),
            ("[log]\nstores = 10.0.0.1:1\n", "f.ini: [log] stores:"),
            ("[freshness]\nsource = bet-bolu\n", "f.ini: [freshness] source"),
            ("[freshness]\nsources = bet bolu\n", "f.ini: [freshness] sources"),
            ("[freshness]\nsources = a\nrequired = b\n", "f.ini: [freshness] required"),
        ] {
            let e = Operators::parse("f.ini", text).expect_err(text).to_string();
            assert!(e.starts_with(named) && !e.contains('\n'), "{e}");
        }
    }
}
