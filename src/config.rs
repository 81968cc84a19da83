//! Configuration: the platform's settings file (TOML), the operators' settings file (INI) and the values derived from them.

pub mod operators;
pub mod settings;
