//! Soak test: runs nodes as separate processes under random faults, and checks their guarantees against what callers
//! and endpoints observe. See docs/soak.md.

pub mod callers;
pub mod faults;
pub mod fleet;
pub mod hoarders;
pub mod ledger;
pub mod misreports;
pub mod plan;
pub mod proxy;
pub mod run;
