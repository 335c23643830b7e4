//! Announcements of another writer, which no node may take: they are rejected, and cost no caller a response.

use {
    crate::{
        fleet::{DESK, HUB},
        plan::Oddity,
        run::Soak,
    },
    mulberryshelf_standin::Presence,
    std::time::Duration,
};

/// Time by which a start that another writer announces is later than that of the endpoint, in milliseconds: a plausible one,
/// and one that lies in the future.
const LATER_MS: u64 = 200;
const FUTURE_MS: u64 = 3_600_000;
/// Longest wait for the response to an announcement of another writer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends an announcement of another writer, of a start that is later than that of the endpoint. The node has to reject it.
pub async fn send(soak: &Soak, index: usize, oddity: Oddity) {
    let machine = &soak.fleet.machines[index];
    let endpoint = &machine.endpoint;
    let other = if endpoint.identity().service == DESK {
        HUB
    } else {
        DESK
    };
    let presence = match oddity {
        Oddity::OtherServiceLeaves => Presence::Draining,
        _ => Presence::Ready,
    };
    let later_ms = match oddity {
        Oddity::Future => FUTURE_MS,
        _ => LATER_MS,
    };
    let mut body = endpoint.announcement(presence, endpoint.started_ms() + later_ms);
    match oddity {
        Oddity::Future => {}
        Oddity::Incomplete => body["slots"] = serde_json::Value::Null,
        Oddity::OtherService | Oddity::OtherServiceLeaves => body["service"] = other.into(),
    }
    // A node that is down, stopped or full does not respond.
    let sending = endpoint.misreport(machine.control, &body);
    let status = tokio::time::timeout(RESPONSE_TIMEOUT, sending).await;
    if let Ok(Some(status)) = status
        && status != 400
    {
        let name = &machine.name;
        soak.broken(format!("{name} answered {oddity:?} with {status}"));
    }
}
