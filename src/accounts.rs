//! Limits of client accounts over all nodes of a region.
//!
//! Designed for accounts that suddenly send several times their usual rate through many nodes at once, while nodes
//! restart, pause and lose their connections to some of the others. A permit is needed for each request. The limit is
//! divided among the nodes of the region, and each node leases its part of an account's limit to the owner of the account,
//! the node that ranks highest by rendezvous hashing among those that it hears ([`lease`]). The owner hands out permits
//! from the parts that are leased to it ([`owner`]), so no part is used by two nodes at the same time, whatever each of
//! them believes about the others. All other nodes borrow permits from the owner ([`borrower`]). The state machines use no
//! clock, socket or task; [`limiter`] joins those of a node.

pub mod borrower;
pub mod lease;
pub mod limiter;
pub mod owner;
pub mod quota;
pub mod rank;
pub mod reserve;
pub mod usage;

use std::time::Duration;

/// Time for which a permit may be used after it was requested.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(500);
