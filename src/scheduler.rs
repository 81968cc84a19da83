//! Scheduling decisions that need neither a clock nor input or output.

pub mod placement;
