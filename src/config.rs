//! Configuration: the platform's settings file (TOML), the operators' own settings (INI) and what follows from them.

pub mod operators;
pub mod settings;
