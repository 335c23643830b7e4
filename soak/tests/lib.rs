//! Tests of the plans and of the ledger's checks. They start no node processes.

mod ledger;
mod plan;
