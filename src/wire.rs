//! Wire formats of the HTTP protocol, with one module per external system.
//!
//! The protocol's field names and values occur only in these modules. Each format has one conversion to the types that
//! the rest of the code uses; input that can't be converted is a typed error with the reason.

pub mod cloud;
pub mod operators;
pub mod percent_encoding;
pub mod state_store;
pub mod users;
pub mod workers;
