//! Resources as operators read them, with what the mesh reports of each.

use {
    crate::{
        resource::{Resource, Spec},
        rollout::{outcome::Outcome, status},
        spread::Coverage,
        world::{Domain, Moment, Revision},
    },
    serde::Serialize,
    serde_json::Value,
    std::collections::BTreeMap,
};

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Document {
    kind: crate::resource::Kind,
    metadata: Metadata,
    spec: Value,
    status: Status,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    name: crate::world::Name,
    resource_version: Revision,
}

/// What the mesh reports of a resource.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Status {
    conditions: Vec<Condition>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rollout: Option<Movement>,
}

/// How far a rollout is: its start and end as recorded, and until then what this node knows of it.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct Movement {
    outcome: Option<Box<Outcome>>,
    progress: Option<status::Status>,
    started: Moment,
}

/// One thing that holds of a resource, or not.
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
    /// Shows an accepted resource.
    #[must_use]
    pub fn new(
        resource: &Resource,
        coverage: &BTreeMap<Domain, Coverage>,
        rollouts: &[status::Status],
    ) -> Self {
        let spec = match &resource.spec {
            Spec::Limits(spec) => serde_json::to_value(spec),
            Spec::Rollout(spec) => serde_json::to_value(spec),
            Spec::Route(spec) => serde_json::to_value(spec),
            Spec::Version(spec) => serde_json::to_value(spec),
        };
        Self {
            kind: resource.key.kind,
            metadata: Metadata {
                name: resource.key.name.clone(),
                resource_version: resource.revision,
            },
            spec: declared(spec.unwrap_or_default()),
            status: Status {
                rollout: Movement::of(resource, rollouts),
                ..Status::new(resource.revision, coverage)
            },
        }
    }
}

/// Leaves out of a specification what the mesh has recorded.
fn declared(mut spec: Value) -> Value {
    if let Some(fields) = spec.as_object_mut() {
        fields.remove("outcome");
        fields.remove("started");
    }
    spec
}

impl Movement {
    fn of(resource: &Resource, rollouts: &[status::Status]) -> Option<Self> {
        let Spec::Rollout(rollout) = &resource.spec else {
            return None;
        };
        let mut rollouts = rollouts.iter();
        let progress = rollouts.find(|status| status.name == resource.key.name);
        Some(Self {
            outcome: rollout.outcome.clone(),
            progress: progress.cloned(),
            started: rollout.started,
        })
    }
}

impl Status {
    fn new(revision: Revision, coverage: &BTreeMap<Domain, Coverage>) -> Self {
        let accepted = Condition {
            domain: None,
            reason: "InTable",
            resource_version: revision,
            status: "True",
            r#type: "Accepted",
        };
        let in_force = coverage
            .iter()
            .map(|(domain, coverage)| Condition::in_force(revision, domain, *coverage));
        Self {
            conditions: std::iter::once(accepted).chain(in_force).collect(),
            rollout: None,
        }
    }
}

impl Condition {
    /// A failure domain never goes back, so what was in force in one out of reach still is.
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
