//! The log: one structured line for each change of state, and nothing else. What happens often is
//! counted instead; see docs/metrics.md.

use {
    crate::{
        resource::Spec,
        rollout::outcome::End,
        snapshot::Snapshot,
        world::{Host, Name, Revision, Service, Version},
    },
    std::fmt::{self, Display, Formatter},
};

/// A change of state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The upstream on this host takes work.
    Announced(Service, Version),
    /// A node is connected.
    Connected(Host),
    /// Requests were cut at the time limit of a planned stop.
    Cut(usize),
    /// A node is connected no more.
    Disconnected(Host),
    /// A configuration is in force.
    InForce(Revision),
    /// The upstream's announcement was not repeated in time.
    Lapsed,
    /// The upstream on this host is to get no new work.
    Leaving,
    /// The platform answers again.
    PlatformBack,
    /// The platform does not answer.
    PlatformLost,
    /// A rollout has ended, or a completed one was taken back.
    RolloutEnded(Name, End),
    /// The node runs.
    Started,
    /// The node has stopped.
    Stopped,
    /// The node begins to stop.
    Stopping,
}

impl Change {
    /// Lists the rollouts that have ended from one configuration to the next.
    #[must_use]
    pub fn ends(before: &Snapshot, after: &Snapshot) -> Vec<Self> {
        after
            .resources
            .iter()
            .filter_map(|(key, resource)| {
                let ended = end(&resource.spec)?;
                let held = before.resources.get(key).and_then(|held| end(&held.spec));
                (held != Some(ended)).then(|| Self::RolloutEnded(key.name.clone(), ended))
            })
            .collect()
    }
}

fn end(spec: &Spec) -> Option<End> {
    match spec {
        Spec::Rollout(rollout) => rollout.outcome.as_ref().map(|outcome| outcome.end),
        _ => None,
    }
}

impl Display for Change {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        match self {
            Self::Announced(service, version) => write!(
                f,
                "step=announce peer=upstream service={service} version={version} state=ready"
            ),
            Self::Connected(host) => write!(f, "step=connect peer={host} state=connected"),
            Self::Cut(count) => write!(f, "step=stop requests={count} state=cut"),
            Self::Disconnected(host) => write!(f, "step=connect peer={host} state=disconnected"),
            Self::InForce(revision) => write!(f, "step=install revision={revision} state=in-force"),
            Self::Lapsed => f.write_str("step=announce peer=upstream state=lapsed"),
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

/// Writes a node's log.
#[derive(Debug, Clone)]
pub struct Journal(Host);

impl Journal {
    /// Opens the log of a host's node.
    #[must_use]
    pub fn open(host: Host) -> Self {
        Self(host)
    }

    /// Writes one line.
    pub fn write(&self, change: &Change) {
        let host = &self.0;
        match change {
            Change::Cut(_) | Change::Lapsed | Change::PlatformLost => {
                spdlog::warn!("host={host} {change}");
            }
            _ => spdlog::info!("host={host} {change}"),
        }
    }
}
