//! Resources as the API returns them, with the status that the mesh reports for each.

use {
    crate::{
        node::Handle,
        resource::{Key, Kind, Resource, Rollout, Spec},
        rollout::{
            outcome::{End, Outcome},
            status::Status as Progress,
        },
        spread::Coverage,
        types::{Domain, Moment, Revision},
    },
    serde::Serialize,
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc},
};

/// What a node knows of the mesh apart from the resources: the source of their status.
#[derive(Debug)]
pub struct View {
    coverage: Arc<BTreeMap<Domain, Coverage>>,
    rollouts: Arc<Vec<Progress>>,
}

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Document {
    kind: crate::resource::Kind,
    metadata: Metadata,
    spec: Value,
    status: ResourceStatus,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    name: crate::types::Name,
    resource_version: Revision,
}

/// Status that the mesh reports for a resource.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResourceStatus {
    conditions: Vec<Condition>,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    rollout: Option<RolloutStatus>,
}

/// Status of a rollout.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct RolloutStatus {
    #[serde(skip_serializing_if = "Option::is_none")]
    outcome: Option<Box<Outcome>>,
    phase: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<Progress>,
    started: Moment,
}

/// A condition of a resource. Its `status` is `True`, `False` or `Unknown`.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
struct Condition {
    #[serde(skip_serializing_if = "Option::is_none")]
    domain: Option<Domain>,
    reason: &'static str,
    resource_version: Revision,
    status: &'static str,
    r#type: &'static str,
}

impl Document {
    /// Creates the document of an accepted resource.
    #[must_use]
    pub fn new(resource: &Resource, view: &View) -> Self {
        let spec = match &resource.spec {
            Spec::Limits(spec) => serde_json::to_value(spec),
            Spec::Rollout(spec) => spec.to_declared_json(),
            Spec::Route(spec) => serde_json::to_value(spec),
            Spec::Version(spec) => serde_json::to_value(spec),
        };
        Self {
            kind: resource.key.kind,
            metadata: Metadata {
                name: resource.key.name.clone(),
                resource_version: resource.revision,
            },
            spec: spec.unwrap_or_default(),
            status: ResourceStatus::new(resource, view),
        }
    }
}

impl View {
    /// Creates a view of what the node knows now.
    #[must_use]
    pub fn new(handle: &Handle) -> Self {
        Self {
            coverage: handle.coverage(),
            rollouts: handle.rollout_statuses(),
        }
    }

    fn progress(&self, key: &Key) -> Option<Progress> {
        let mut rollouts = self.rollouts.iter();
        let found = rollouts.find(|rollout| key.kind == Kind::Rollout && rollout.name == key.name);
        found.cloned()
    }
}

impl RolloutStatus {
    fn new(rollout: &Rollout, progress: Option<Progress>) -> Self {
        let phase = match &rollout.outcome {
            None => "Progressing",
            Some(outcome) => match outcome.end {
                End::Completed => "Completed",
                End::RolledBack => "RolledBack",
            },
        };
        Self {
            outcome: rollout.outcome.clone(),
            phase,
            progress,
            started: rollout.started,
        }
    }
}

impl ResourceStatus {
    fn new(resource: &Resource, view: &View) -> Self {
        let revision = resource.revision;
        let rollout = match &resource.spec {
            Spec::Rollout(spec) => Some(RolloutStatus::new(spec, view.progress(&resource.key))),
            _ => None,
        };
        let accepted = Condition {
            domain: None,
            reason: "InTable",
            resource_version: revision,
            status: "True",
            r#type: "Accepted",
        };
        let in_force = view
            .coverage
            .iter()
            .map(|(domain, coverage)| Condition::in_force(revision, domain, *coverage));
        Self {
            conditions: std::iter::once(accepted).chain(in_force).collect(),
            rollout,
        }
    }
}

impl Condition {
    /// Creates the condition that says whether a revision is in force in a failure domain. The
    /// revision of a domain never decreases, so what was in force in a domain that is now out of
    /// reach still is.
    fn in_force(revision: Revision, domain: &Domain, coverage: Coverage) -> Self {
        let (status, reason) = match (coverage.revision >= revision, coverage.reached) {
            (true, true) => ("True", "Reported"),
            (true, false) => ("True", "OutOfReach"),
            (false, true) => ("False", "Behind"),
            (false, false) => ("Unknown", "OutOfReach"),
        };
        Self {
            domain: Some(domain.clone()),
            reason,
            resource_version: coverage.revision,
            status,
            r#type: "InForce",
        }
    }
}
