//! The log of a node, with one structured line for each change of state and nothing else. Frequent
//! events are counted instead; see docs/metrics.md.

use {
    crate::{
        resource::Spec,
        rollout::outcome::End,
        snapshot::Snapshot,
        types::{Host, Name, Revision, Service, Version},
    },
    std::fmt::{self, Display, Formatter},
};

/// A change of state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// The upstream on this host accepts requests.
    Announced(Service, Version),
    /// The connection to a node was established.
    Connected(Host),
    /// This many requests were aborted at the time limit of a planned stop.
    Aborted(usize),
    /// The connection to a node has ended.
    Disconnected(Host),
    /// A configuration has come into force.
    InForce(Revision),
    /// The lease of the upstream on this host has expired.
    LeaseExpired,
    /// The other nodes are told to send no new requests to the upstream on this host.
    Leaving,
    /// The platform is reachable again.
    PlatformBack,
    /// The platform has become unreachable.
    PlatformLost,
    /// A rollout has ended, or a completed one was rolled back.
    RolloutEnded(Name, End),
    /// The node has started.
    Started,
    /// The node has stopped.
    Stopped,
    /// The node begins to stop.
    Stopping,
}

impl StateChange {
    /// Returns a [`StateChange::RolloutEnded`] for each rollout whose end was recorded or has changed
    /// between two configurations.
    #[must_use]
    pub fn ended_rollouts(before: &Snapshot, after: &Snapshot) -> Vec<Self> {
        after
            .resources
            .iter()
            .filter_map(|(key, resource)| {
                let ended = recorded_end(&resource.spec)?;
                let previous = before
                    .resources
                    .get(key)
                    .and_then(|previous| recorded_end(&previous.spec));
                (previous != Some(ended)).then(|| Self::RolloutEnded(key.name.clone(), ended))
            })
            .collect()
    }
}

fn recorded_end(spec: &Spec) -> Option<End> {
    match spec {
        Spec::Rollout(rollout) => rollout.outcome.as_ref().map(|outcome| outcome.end),
        _ => None,
    }
}

impl Display for StateChange {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Announced(service, version) => write!(
                f,
                "step=announce peer=upstream service={service} version={version} state=ready"
            ),
            Self::Connected(host) => write!(f, "step=connect peer={host} state=connected"),
            Self::Aborted(count) => write!(f, "step=stop requests={count} state=cut"),
            Self::Disconnected(host) => write!(f, "step=connect peer={host} state=disconnected"),
            Self::InForce(revision) => write!(f, "step=install revision={revision} state=in-force"),
            Self::LeaseExpired => f.write_str("step=announce peer=upstream state=lapsed"),
            Self::Leaving => f.write_str("step=drain peer=upstream state=leaving"),
            Self::PlatformBack => f.write_str("step=read peer=platform state=back"),
            Self::PlatformLost => f.write_str("step=read peer=platform state=lost"),
            Self::RolloutEnded(name, end) => write!(f, "step=rollout rollout={name} state={end}"),
            Self::Started => f.write_str("step=start state=started"),
            Self::Stopped => f.write_str("step=stop state=stopped"),
            Self::Stopping => f.write_str("step=stop state=stopping"),
        }
    }
}

/// The log of one node.
#[derive(Debug, Clone)]
pub struct EventLog(Host);

impl EventLog {
    /// Creates the log of the node on `host`.
    #[must_use]
    pub fn new(host: Host) -> Self {
        Self(host)
    }

    /// Writes one line. Expired leases, aborted requests and the loss of the platform are warnings.
    pub fn write(&self, change: &StateChange) {
        let host = &self.0;
        match change {
            StateChange::Aborted(_) | StateChange::LeaseExpired | StateChange::PlatformLost => {
                spdlog::warn!("host={host} {change}");
            }
            _ => spdlog::info!("host={host} {change}"),
        }
    }
}
