//! Stale-input guard: a merge starts and writes only on runs of its batch's version.
