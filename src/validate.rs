//! Checks an operation against the state that it would change, and names every fault at once.

use {
    crate::{
        resource::{Change, Kind, Route, Spec},
        rollout,
        snapshot::Snapshot,
        source::Operation,
        world::{Permille, Revision},
    },
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter},
};

/// One thing that is wrong with an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The field, from the resource's root.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
    /// The resource, as kind and name.
    pub resource: String,
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.resource, self.field, self.message)
    }
}

/// Gives the state that an operation leads to, as part of the revision that `state` is of.
///
/// # Errors
/// Names every fault of the operation; `state` is as it was.
pub fn operation(state: &Snapshot, operation: &Operation) -> Result<Snapshot, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut next = state.clone();
    for (change, precondition) in &operation.changes {
        faults.extend(precondition_fault(state, change, *precondition));
        faults.extend(spec_faults(change));
        next.change(next.revision, change);
    }
    faults.extend(next.dangling().map(|(key, field, target)| Fault {
        field,
        message: format!("refers to {target}, which does not exist"),
        resource: key.to_string(),
    }));
    faults.extend(rollout::rules::faults(state, &next, operation));
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(faults)
    }
}

fn precondition_fault(
    state: &Snapshot,
    change: &Change,
    precondition: Option<Revision>,
) -> Option<Fault> {
    let held = state
        .resources
        .get(change.key())
        .map(|resource| resource.revision);
    let message = match (precondition, held, change) {
        (Some(Revision(0)), Some(held), _) => format!("exists already, at {held}"),
        (Some(stated), Some(held), _) if stated != held => {
            format!("is at {held}, not {stated}")
        }
        (Some(stated), None, _) if stated != Revision(0) => "does not exist".into(),
        (None, None, Change::Delete(_)) => "does not exist".into(),
        _ => return None,
    };
    Some(Fault {
        field: "metadata.resourceVersion".into(),
        message,
        resource: change.key().to_string(),
    })
}

fn spec_faults(change: &Change) -> Vec<Fault> {
    let Change::Put(key, spec) = change else {
        return Vec::new();
    };
    let fault = |field: &str, message: String| Fault {
        field: field.into(),
        message,
        resource: key.to_string(),
    };
    let mut faults = Vec::new();
    if spec.kind() != key.kind {
        faults.push(fault(
            "kind",
            format!("the spec is of kind {}", spec.kind()),
        ));
    }
    if let Spec::Route(route) = spec {
        faults.extend(route_fault(route).map(|(field, message)| fault(field, message)));
    }
    if let Spec::Rollout(rollout) = spec
        && rollout.from == rollout.to
    {
        faults.push(fault("spec.to", "is the version that it moves from".into()));
    }
    debug_assert!(Kind::ALL.contains(&key.kind));
    faults
}

fn route_fault(route: &Route) -> Option<(&'static str, String)> {
    let sum: u32 = route.shares.values().map(|share| u32::from(share.0)).sum();
    if sum != u32::from(Permille::WHOLE.0) {
        return Some(("spec.shares", format!("add up to {sum}, not 1000")));
    }
    if !route.path.starts_with('/') {
        return Some(("spec.path", "does not begin with `/`".into()));
    }
    None
}
