//! Waits for room for an answer in the budget, and closes the connections of callers that do not read theirs meanwhile.

use {
    super::{
        answer_budget::{OVERHEAD_BYTES, Share},
        connections::{CloseReason, Memory},
        frame::Answer,
        node::Core,
    },
    std::time::Duration,
};

/// Time for which a caller may read nothing, while the budget is exhausted, before its connection may be closed. A caller
/// that reads is not mistaken for one that does not, even if its process is short of processor time.
const UNREAD_MAX: Duration = Duration::from_millis(250);

/// Interval at which the budget is checked while an answer waits for room.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which an answer of the upstream waits for room, before it is given up.
pub(super) const UPSTREAM_WAIT: Duration = Duration::from_secs(1);

/// Time for which a frame with an answer waits for room, before it is read without. Nothing else is read from that
/// connection meanwhile, so this is well below the silence after which a node is suspected.
pub(super) const LINK_WAIT: Duration = Duration::from_millis(200);

/// Grows a share to the given size, in bytes. While there is no room, the callers that have read nothing for longest are
/// disconnected; in the second half of `wait` also those that have read something just before. Returns whether there is
/// room in the end.
pub(super) async fn reserve(core: &Core, share: &mut Share, bytes: u64, wait: Duration) -> bool {
    let began = core.now();
    loop {
        if share.try_grow(bytes) {
            return true;
        }
        let waited = core.now().since(began);
        if waited >= wait {
            return false;
        }
        let unread = if waited >= wait / 2 {
            Duration::ZERO
        } else {
            UNREAD_MAX
        };
        relieve(core, share.missing_bytes(bytes), unread);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Disconnects callers that read nothing while the budget is exceeded by answers that were already in memory.
pub(super) fn relieve_excess(core: &Core) {
    let excess = core.answer_budget.excess_bytes();
    if excess > 0 {
        relieve(core, excess, UNREAD_MAX);
    }
}

fn relieve(core: &Core, missing_bytes: u64, unread: Duration) {
    let closed = core
        .callers
        .relieve(core.now(), Memory::Answers, missing_bytes, unread);
    if closed > 0 {
        core.record_closed("callers", CloseReason::Memory, closed);
    }
}

/// Counts an answer that is already in memory until its body is dropped.
pub(super) fn hold(core: &Core, mut answer: Answer) -> Answer {
    let share = core
        .answer_budget
        .hold(answer.body.len() as u64 + OVERHEAD_BYTES);
    answer.body = share.attach(answer.body);
    answer
}
