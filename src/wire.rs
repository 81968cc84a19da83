//! The protocol's forms, a module for each peer system.
//!
//! Only these modules know the protocol's field names and words. Each form has one conversion to the types that the rest
//! of the code uses; what can't be converted is a typed error that says what was wrong.

pub mod cloud;
pub mod operators;
pub mod percent_encoding;
pub mod state_store;
pub mod users;
pub mod workers;
