//! Validation of an operation against the state that it would change. All faults are reported at
//! once, so that an operator can fix them in one step.

use {
    crate::{
        resource::{Change, Key, Kind, Limits, Resource, Rollout, Route, Spec},
        rollout,
        snapshot::{self, Snapshot},
        source::Operation,
        types::{Moment, Permille, Revision, Service},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// The maximum length of an operation's id, in bytes.
pub const OPERATION_ID_BYTES_MAX: usize = 64;

/// The message for a path that is not absolute.
pub const PATH_NOT_ABSOLUTE: &str = "does not begin with `/`";

/// One fault of an operation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The resource as `kind/name`, or empty if the fault is in the request itself.
    pub resource: String,
    /// The path of the field within the resource.
    pub field: String,
    /// What is wrong with the field.
    pub message: String,
}

impl Fault {
    /// Creates a fault of a field of a resource.
    #[must_use]
    pub fn new(
        resource: impl Into<String>,
        field: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            resource: resource.into(),
            field: field.into(),
            message: message.into(),
        }
    }

    /// Creates the fault for an id that an accepted operation with other changes has used.
    #[must_use]
    pub fn reused_id(id: &str, revision: Revision) -> Self {
        let message = format!("`{id}` is the id of other changes, accepted as {revision}");
        Self::new("", "operation", message)
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.resource, self.field, self.message)
    }
}

/// Returns whether a text is valid as the id of an operation. The characters are restricted because
/// the id becomes part of a row's key.
#[must_use]
pub fn is_operation_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= OPERATION_ID_BYTES_MAX && text.bytes().all(allowed)
}

/// Applies the changes of an operation as part of the present revision of `state`.
///
/// # Errors
/// Fails with every fault of the operation and leaves `state` unchanged.
pub fn apply(state: &mut Snapshot, operation: &Operation, now: Moment) -> Result<(), Vec<Fault>> {
    check_and_apply(state, operation, now, &BTreeSet::new())
}

/// Like [`apply`], but treats the resources in `assumed` as existing.
///
/// # Errors
/// Fails with every fault of the operation and leaves `state` unchanged.
pub fn check_and_apply(
    state: &mut Snapshot,
    operation: &Operation,
    now: Moment,
    assumed: &BTreeSet<Key>,
) -> Result<(), Vec<Fault>> {
    let mut faults = BTreeSet::new();
    let mut before = Vec::new();
    let mut keys = BTreeSet::new();
    for (change, precondition) in &operation.changes {
        let key = change.key();
        if !keys.insert(key) {
            faults.insert(Fault::new(
                key.to_string(),
                "metadata.name",
                "is given twice",
            ));
            continue;
        }
        let current = state.resources.get(key).cloned();
        faults.extend(precondition_fault(current.as_ref(), change, *precondition));
        faults.extend(spec_faults(current.as_ref(), change, now));
        before.push((key.clone(), current));
        state.apply_change(state.revision, change);
    }
    // New resources alone cannot make an unchanged resource invalid.
    let include_unchanged = before.iter().any(|(_, previous)| previous.is_some());
    let consistency = Consistency {
        assumed,
        changed: &keys,
        state,
    };
    faults.extend(consistency.faults(include_unchanged));
    faults.extend(rollout::rules::faults(&before, state));
    if faults.is_empty() {
        return Ok(());
    }
    for (key, previous) in before {
        restore(state, &key, previous);
    }
    Err(faults.into_iter().collect())
}

fn restore(state: &mut Snapshot, key: &Key, previous: Option<Resource>) {
    match previous {
        Some(resource) => {
            let put = Change::Put(key.clone(), resource.spec);
            state.apply_change(resource.revision, &put);
        }
        None => state.apply_change(state.revision, &Change::Delete(key.clone())),
    }
}

fn precondition_fault(
    current: Option<&Resource>,
    change: &Change,
    precondition: Option<Revision>,
) -> Option<Fault> {
    let current = current.map(|resource| resource.revision);
    let message = match (precondition, current, change) {
        (Some(Revision(0)), Some(current), _) => format!("exists already, at {current}"),
        (Some(stated), Some(current), _) if stated != current => {
            format!("is at {current}, not {stated}")
        }
        (Some(stated), None, _) if stated != Revision(0) => "does not exist".into(),
        (_, None, Change::Delete(_)) => "does not exist".into(),
        _ => return None,
    };
    Some(Fault::new(
        change.key().to_string(),
        "metadata.resourceVersion",
        message,
    ))
}

/// Returns the faults of a change that do not depend on other resources.
fn spec_faults(current: Option<&Resource>, change: &Change, now: Moment) -> Vec<Fault> {
    let Change::Put(key, spec) = change else {
        return Vec::new();
    };
    let mut faults = Vec::new();
    let mut add = |field: &str, message: String| {
        faults.push(Fault::new(key.to_string(), field, message));
    };
    if spec.kind() != key.kind {
        add("kind", format!("the spec is of kind {}", spec.kind()));
    }
    match spec {
        Spec::Limits(limits) => limits_faults(limits, &mut add),
        Spec::Rollout(rollout) => {
            let deadline_unchanged = current.is_some_and(|current| match &current.spec {
                Spec::Rollout(current) => current.deadline == rollout.deadline,
                _ => false,
            });
            rollout_faults(rollout, now, deadline_unchanged, &mut add);
        }
        Spec::Route(route) => route_faults(route, &mut add),
        Spec::Version(_) => {}
    }
    faults
}

fn limits_faults(limits: &Limits, add: &mut impl FnMut(&str, String)) {
    if limits.timeout_ms == Some(0) {
        add("spec.timeout_ms", "must be at least 1".into());
    }
}

fn rollout_faults(
    rollout: &Rollout,
    now: Moment,
    deadline_unchanged: bool,
    add: &mut impl FnMut(&str, String),
) {
    if rollout.from == rollout.to {
        add("spec.to", "is the version that it moves from".into());
    }
    if rollout.deadline <= now && !deadline_unchanged {
        add("spec.deadline", format!("{} has passed", rollout.deadline));
    }
}

fn route_faults(route: &Route, add: &mut impl FnMut(&str, String)) {
    if !route.path.starts_with('/') {
        add("spec.path", PATH_NOT_ABSOLUTE.into());
    }
    let sum: u32 = route.shares.values().map(|share| u32::from(share.0)).sum();
    if sum != u32::from(Permille::WHOLE.0) {
        add("spec.shares", format!("add up to {sum}, not 1000"));
    }
}

/// Checks of the resources against each other, limited to what the changed keys can affect.
struct Consistency<'a> {
    /// Resources that are treated as existing.
    assumed: &'a BTreeSet<Key>,
    changed: &'a BTreeSet<&'a Key>,
    state: &'a Snapshot,
}

impl Consistency<'_> {
    fn faults(&self, include_unchanged: bool) -> Vec<Fault> {
        let mut faults = Vec::new();
        let changed = self
            .changed
            .iter()
            .filter_map(|key| self.state.resources.get(*key));
        for resource in changed {
            faults.extend(self.resource_faults(resource, true));
        }
        if !include_unchanged {
            return faults;
        }
        for resource in self.state.resources.values() {
            if !self.changed.contains(&resource.key) {
                faults.extend(self.resource_faults(resource, false));
            }
        }
        faults
    }

    fn resource_faults(&self, resource: &Resource, changed: bool) -> Vec<Fault> {
        let mut faults: Vec<Fault> = snapshot::references(&resource.spec)
            .into_iter()
            .filter(|(_, target)| changed || self.changed.contains(target))
            .filter_map(|(field, target)| self.reference_fault(resource, &field, &target, changed))
            .collect();
        match &resource.spec {
            Spec::Limits(_) => faults.extend(self.unknown_service_fault(resource)),
            Spec::Route(route) if changed => faults.extend(self.path_fault(&resource.key, route)),
            _ => {}
        }
        faults
    }

    fn reference_fault(
        &self,
        resource: &Resource,
        field: &str,
        target: &Key,
        changed: bool,
    ) -> Option<Fault> {
        let key = &resource.key;
        let Some(found) = self.state.resources.get(target) else {
            return match (changed, self.assumed.contains(target)) {
                (_, true) => None,
                (true, false) => Some(Fault::new(
                    key.to_string(),
                    field,
                    format!("refers to {target}, which does not exist"),
                )),
                (false, false) => Some(Fault::new(
                    target.to_string(),
                    "metadata.name",
                    format!("is referred to by {field} of {key}"),
                )),
            };
        };
        let expected = service_of(self.state, &resource.spec)?;
        let actual = service_of(self.state, &found.spec)?;
        if expected == actual {
            return None;
        }
        Some(if changed {
            Fault::new(
                key.to_string(),
                field,
                format!("refers to {target}, which is of service {actual}, not {expected}"),
            )
        } else {
            Fault::new(
                target.to_string(),
                "spec.service",
                format!("must stay {expected}: {field} of {key} refers to it"),
            )
        })
    }

    fn unknown_service_fault(&self, resource: &Resource) -> Option<Fault> {
        let name = &resource.key.name;
        let known = self.state.resources.values().any(|other| {
            matches!(&other.spec, Spec::Version(version) if version.service.as_str() == name.as_str())
        });
        if known || self.assumed.iter().any(|key| key.kind == Kind::Version) {
            return None;
        }
        Some(Fault::new(
            resource.key.to_string(),
            "metadata.name",
            format!("no version of service {name} exists"),
        ))
    }

    fn path_fault(&self, key: &Key, route: &Route) -> Option<Fault> {
        let other = self.state.resources.values().find(|other| {
            matches!(&other.spec, Spec::Route(existing)
                if other.key != *key && existing.service == route.service && existing.path == route.path)
        })?;
        Some(Fault::new(
            key.to_string(),
            "spec.path",
            format!("`{}` is the path of {} already", route.path, other.key),
        ))
    }
}

/// Returns the service that a specification belongs to; for a rollout, the service of its route.
fn service_of<'a>(state: &'a Snapshot, spec: &'a Spec) -> Option<&'a Service> {
    match spec {
        Spec::Limits(_) => None,
        Spec::Rollout(rollout) => match &state.get(Kind::Route, &rollout.route)?.spec {
            Spec::Route(route) => Some(&route.service),
            _ => None,
        },
        Spec::Route(route) => Some(&route.service),
        Spec::Version(version) => Some(&version.service),
    }
}

/// Returns the candidate closest to a misspelt word, or `None` if all of them differ in more than a
/// third of the word's letters.
#[must_use]
pub fn closest_match<'a>(word: &str, candidates: &[&'a str]) -> Option<&'a str> {
    let allowed = (word.len() / 3).max(1);
    candidates
        .iter()
        .map(|candidate| (distance(word, candidate), *candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance of two words. Only the first 64 letters of `left` count.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, letter) in left.chars().take(64).enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
