//! Forms of the cloud API: machine types, inventory, scale out and in.

pub mod machine_type;
