//! Waits for room for a request in the budget, and closes the connections of callers that hold some and send nothing
//! meanwhile.

use {
    super::{
        body_budget::Reservation,
        connections::{CloseReason, Memory},
        node::Core,
    },
    std::time::Duration,
};

/// Time for which a caller may send nothing, while the budget is exhausted, before its connection may be closed. A caller
/// that sends is not mistaken for one that does not, even if the host is short of processor time.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Interval at which the budget is checked while closed connections return their parts of it.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Number of these checks. Connections are closed by their own tasks, which take far less time.
const CHECKS_MAX: usize = 100;

/// Returns whether there is room for a request to grow to the given size, in bytes. If there is none, connections whose
/// callers have stopped are closed, those that have sent nothing for longest first, unless that would not suffice: what
/// has no room then is rejected at once.
pub(super) async fn wait_for_room(core: &Core, room: &Reservation, bytes: u64) -> bool {
    for _ in 0..CHECKS_MAX {
        let missing = room.missing_bytes(bytes);
        if missing == 0 {
            return true;
        }
        let now = core.now();
        let memory = Memory::Requests;
        if core.callers.relievable_bytes(now, memory, STALLED_AFTER) < missing {
            return false;
        }
        let closed = core.callers.relieve(now, memory, missing, STALLED_AFTER);
        if closed > 0 {
            core.record_closed("callers", CloseReason::Memory, closed);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    false
}

/// Records that a request had no room, and its size in bytes as far as it is known. Returns the time after which its caller
/// may return.
pub(super) fn reject(core: &Core, bytes: u64) -> Duration {
    let limits = core.body_budget.limits();
    let mut demand = core.body_demand.borrow_mut();
    demand.reject(core.now(), bytes, limits)
}

/// Grows a reservation to the given size, in bytes, as [`wait_for_room`] allows. Returns whether there is room.
pub(super) async fn reserve(core: &Core, room: &mut Reservation, bytes: u64) -> bool {
    wait_for_room(core, room, bytes).await && room.try_grow(bytes)
}
