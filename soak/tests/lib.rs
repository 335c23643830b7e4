//! The soak's plans and checks, without processes.

mod ledger;
mod plan;
