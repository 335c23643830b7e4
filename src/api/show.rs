//! Resources as operators read them, with what the mesh reports of each.

use {
    crate::{
        resource::{Kind, Resource, Spec},
        rollout,
        spread::Coverage,
        world::{Domain, Revision},
    },
    serde::Serialize,
    serde_json::Value,
    std::collections::BTreeMap,
};

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Document {
    kind: Kind,
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
    outcome: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    progress: Option<rollout::status::Status>,
    #[serde(skip_serializing_if = "Option::is_none")]
    started: Option<Value>,
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
    pub fn new(resource: &Resource, coverage: &BTreeMap<Domain, Coverage>) -> Self {
        let shown = match &resource.spec {
            Spec::Limits(spec) => serde_json::to_value(spec),
            Spec::Rollout(spec) => serde_json::to_value(spec),
            Spec::Route(spec) => serde_json::to_value(spec),
            Spec::Version(spec) => serde_json::to_value(spec),
        };
        let mut spec = shown.unwrap_or_default();
        let mut status = Status::new(resource.revision, coverage);
        // What the mesh records of a rollout is no part of what was declared.
        if let Some(spec) = spec.as_object_mut() {
            status.outcome = spec.remove("outcome").filter(|value| !value.is_null());
            status.started = spec.remove("started");
        }
        Self {
            kind: resource.key.kind,
            metadata: Metadata {
                name: resource.key.name.clone(),
                resource_version: resource.revision,
            },
            spec,
            status,
        }
    }

    /// Adds how far a rollout is, as far as this node knows.
    #[must_use]
    pub fn progressing(mut self, statuses: &[rollout::status::Status]) -> Self {
        let mut found = statuses
            .iter()
            .filter(|status| self.kind == Kind::Rollout && status.name == self.metadata.name);
        self.status.progress = found.next().cloned();
        self
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
            outcome: None,
            progress: None,
            started: None,
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
