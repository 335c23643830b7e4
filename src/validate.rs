//! Checks an operation against the state that it would change, and names every fault at once.

use {
    crate::{
        resource::{Change, Key, Kind, Limits, Resource, Rollout, Route, Spec},
        rollout,
        snapshot::{self, Snapshot},
        source::Operation,
        world::{Moment, Permille, Revision, Service},
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        fmt::{self, Display, Formatter},
    },
};

/// The longest operation id, in bytes.
pub const ID_MAX: usize = 64;

/// What is wrong with a path that is no absolute one.
pub const BAD_PATH: &str = "does not begin with `/`";

/// One thing that is wrong with an operation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The resource, as kind and name; empty for the request itself.
    pub resource: String,
    /// The field, from the resource's root.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl Fault {
    /// Names a field of a resource, and what is wrong with it.
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

    /// Says that an id belongs to an operation with other changes.
    #[must_use]
    pub fn reused(id: &str, revision: Revision) -> Self {
        let message = format!("`{id}` is the id of other changes, accepted as {revision}");
        Self::new("", "operation", message)
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.resource, self.field, self.message)
    }
}

/// Tells whether a text may be an operation's id: it becomes part of a row's key.
#[must_use]
pub fn is_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= ID_MAX && text.bytes().all(allowed)
}

/// Makes the changes of an operation as part of the revision that `state` is of.
///
/// # Errors
/// Names every fault of the operation; `state` is as it was.
pub fn apply(state: &mut Snapshot, operation: &Operation, now: Moment) -> Result<(), Vec<Fault>> {
    check(state, operation, now, &BTreeSet::new())
}

/// Does the same, and takes it that the resources `assumed` exist.
///
/// # Errors
/// Names every fault of the operation; `state` is as it was.
pub fn check(
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
        let held = state.resources.get(key).cloned();
        faults.extend(precondition_fault(held.as_ref(), change, *precondition));
        faults.extend(own_faults(held.as_ref(), change, now));
        before.push((key.clone(), held));
        state.change(state.revision, change);
    }
    // What is only added breaks nothing that was there before.
    let sweep = before.iter().any(|(_, held)| held.is_some());
    let fit = Fit {
        assumed,
        changed: &keys,
        state,
    };
    faults.extend(fit.faults(sweep));
    faults.extend(rollout::rules::faults(&before, state));
    if faults.is_empty() {
        return Ok(());
    }
    for (key, held) in before {
        restore(state, &key, held);
    }
    Err(faults.into_iter().collect())
}

fn restore(state: &mut Snapshot, key: &Key, held: Option<Resource>) {
    match held {
        Some(resource) => {
            let put = Change::Put(key.clone(), resource.spec);
            state.change(resource.revision, &put);
        }
        None => state.change(state.revision, &Change::Delete(key.clone())),
    }
}

fn precondition_fault(
    held: Option<&Resource>,
    change: &Change,
    precondition: Option<Revision>,
) -> Option<Fault> {
    let held = held.map(|resource| resource.revision);
    let message = match (precondition, held, change) {
        (Some(Revision(0)), Some(held), _) => format!("exists already, at {held}"),
        (Some(stated), Some(held), _) if stated != held => {
            format!("is at {held}, not {stated}")
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

/// Names what is wrong with a change whatever the state is.
fn own_faults(held: Option<&Resource>, change: &Change, now: Moment) -> Vec<Fault> {
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
            let same = held.is_some_and(|held| match &held.spec {
                Spec::Rollout(held) => held.deadline == rollout.deadline,
                _ => false,
            });
            rollout_faults(rollout, now, same, &mut add);
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

fn rollout_faults(rollout: &Rollout, now: Moment, same: bool, add: &mut impl FnMut(&str, String)) {
    if rollout.from == rollout.to {
        add("spec.to", "is the version that it moves from".into());
    }
    if rollout.deadline <= now && !same {
        add("spec.deadline", format!("{} has passed", rollout.deadline));
    }
}

fn route_faults(route: &Route, add: &mut impl FnMut(&str, String)) {
    if !route.path.starts_with('/') {
        add("spec.path", BAD_PATH.into());
    }
    let sum: u32 = route.shares.values().map(|share| u32::from(share.0)).sum();
    if sum != u32::from(Permille::WHOLE.0) {
        add("spec.shares", format!("add up to {sum}, not 1000"));
    }
}

/// How the resources of a state fit together, as far as the keys that changed matter.
struct Fit<'a> {
    /// Resources that are taken to exist.
    assumed: &'a BTreeSet<Key>,
    changed: &'a BTreeSet<&'a Key>,
    state: &'a Snapshot,
}

impl Fit<'_> {
    fn faults(&self, sweep: bool) -> Vec<Fault> {
        let mut faults = Vec::new();
        let own = self
            .changed
            .iter()
            .filter_map(|key| self.state.resources.get(*key));
        for resource in own {
            faults.extend(self.resource_faults(resource, true));
        }
        if !sweep {
            return faults;
        }
        for resource in self.state.resources.values() {
            if !self.changed.contains(&resource.key) {
                faults.extend(self.resource_faults(resource, false));
            }
        }
        faults
    }

    fn resource_faults(&self, resource: &Resource, own: bool) -> Vec<Fault> {
        let mut faults: Vec<Fault> = snapshot::references(&resource.spec)
            .into_iter()
            .filter(|(_, target)| own || self.changed.contains(target))
            .filter_map(|(field, target)| self.reference_fault(resource, &field, &target, own))
            .collect();
        match &resource.spec {
            Spec::Limits(_) => faults.extend(self.limits_fault(resource)),
            Spec::Route(route) if own => faults.extend(self.path_fault(&resource.key, route)),
            _ => {}
        }
        faults
    }

    fn reference_fault(
        &self,
        resource: &Resource,
        field: &str,
        target: &Key,
        own: bool,
    ) -> Option<Fault> {
        let key = &resource.key;
        let Some(found) = self.state.resources.get(target) else {
            return match (own, self.assumed.contains(target)) {
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
        let wanted = service(self.state, &resource.spec)?;
        let has = service(self.state, &found.spec)?;
        if wanted == has {
            return None;
        }
        Some(if own {
            Fault::new(
                key.to_string(),
                field,
                format!("refers to {target}, which is of service {has}, not {wanted}"),
            )
        } else {
            Fault::new(
                target.to_string(),
                "spec.service",
                format!("must stay {wanted}: {field} of {key} refers to it"),
            )
        })
    }

    fn limits_fault(&self, resource: &Resource) -> Option<Fault> {
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
            matches!(&other.spec, Spec::Route(held)
                if other.key != *key && held.service == route.service && held.path == route.path)
        })?;
        Some(Fault::new(
            key.to_string(),
            "spec.path",
            format!("`{}` is the path of {} already", route.path, other.key),
        ))
    }
}

/// Gives the service that a specification is about; a rollout's is its route's.
fn service<'a>(state: &'a Snapshot, spec: &'a Spec) -> Option<&'a Service> {
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

/// Gives the candidate that a misspelt word was most likely meant to be.
#[must_use]
pub fn nearest<'a>(word: &str, candidates: &[&'a str]) -> Option<&'a str> {
    let allowed = (word.len() / 3).max(1);
    candidates
        .iter()
        .map(|candidate| (distance(word, candidate), *candidate))
        .filter(|(distance, _)| *distance <= allowed)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Counts the letters to insert, delete or replace to get from one word to the other.
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
