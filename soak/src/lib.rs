//! Runs nodes as separate processes under random faults, and checks what they promise, from what callers and
//! endpoints see. See docs/soak.md.

pub mod callers;
pub mod faults;
pub mod fleet;
pub mod ledger;
pub mod plan;
pub mod proxy;
pub mod run;
