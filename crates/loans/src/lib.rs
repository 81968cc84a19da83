//! GPUs lent from batch work and fine-tuning to serving, and given back, within each team's guarantee.
