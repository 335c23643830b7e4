//! Validates changes to rollouts and to the routes that they move. Concurrent operators are serialised by
//! the platform's table, so each race has exactly one loser, which receives a fault.

use {
    super::outcome::End,
    crate::{
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        snapshot::Snapshot,
        source::Operation,
        types::{Moment, Name, Permille},
        validate::Fault,
    },
};

/// Fills in the fields that operators leave out: the start of a new rollout, and the recorded start and
/// outcome of an existing one.
pub fn fill_status(now: Moment, state: &Snapshot, operation: &mut Operation) {
    for (change, _) in &mut operation.changes {
        let Change::Put(key, Spec::Rollout(rollout)) = change else {
            continue;
        };
        if rollout.started != Moment::default() {
            continue;
        }
        let current = state.resources.get(key).and_then(self::as_rollout);
        rollout.started = current.map_or(now, |current| current.started);
        rollout.outcome = current.and_then(|current| current.outcome.clone());
    }
}

fn as_rollout(resource: &Resource) -> Option<&Rollout> {
    match &resource.spec {
        Spec::Rollout(rollout) => Some(rollout),
        _ => None,
    }
}

fn unfinished_rollouts(state: &Snapshot) -> impl Iterator<Item = (&Name, &Rollout)> {
    state
        .resources
        .values()
        .filter_map(|resource| Some((&resource.key.name, as_rollout(resource)?)))
        .filter(|(_, rollout)| rollout.outcome.is_none())
}

/// A configuration change: the previous versions of the changed resources, and the resulting state.
struct Transition<'a> {
    before: &'a [(Key, Option<Resource>)],
    next: &'a Snapshot,
}

impl Transition<'_> {
    /// Returns a resource as it was before the change.
    fn previous(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        let has_key = |(key, _): &&(Key, Option<Resource>)| key.kind == kind && key.name == *name;
        match self.before.iter().find(has_key) {
            Some((_, previous)) => previous.as_ref(),
            None => self.next.get(kind, name),
        }
    }

    fn previous_rollout(&self, name: &Name) -> Option<&Rollout> {
        self.previous(Kind::Rollout, name).and_then(as_rollout)
    }
}

/// Returns the faults of all rollouts in the change to `next`. `before` holds the changed resources as
/// they were, `None` for new ones.
#[must_use]
pub fn faults(before: &[(Key, Option<Resource>)], next: &Snapshot) -> Vec<Fault> {
    let is_relevant = |(key, _): &(Key, _)| matches!(key.kind, Kind::Rollout | Kind::Route);
    if !before.iter().any(is_relevant) {
        return Vec::new();
    }
    let transition = Transition { before, next };
    let mut faults = Vec::new();
    for (key, previous) in before {
        let Some(proposed) = next.resources.get(key).and_then(as_rollout) else {
            continue;
        };
        faults.extend(match previous.as_ref().and_then(as_rollout) {
            Some(current) => check_update(key, current, proposed),
            None => check_new(next, key, proposed),
        });
    }
    faults.extend(check_routes(&transition));
    faults.extend(check_duplicates(&transition));
    faults
}

fn fault(name: &Name, field: &str, message: String) -> Fault {
    let key = Key {
        kind: Kind::Rollout,
        name: name.clone(),
    };
    Fault {
        field: field.into(),
        message,
        resource: key.to_string(),
    }
}

/// Checks that only the deadline and the outcome of an accepted rollout change.
fn check_update(key: &Key, current: &Rollout, proposed: &Rollout) -> Vec<Fault> {
    let immutable = |field: &str, unchanged: bool| {
        (!unchanged).then(|| {
            let message = "is fixed once accepted; delete the rollout to begin another one";
            fault(&key.name, field, message.into())
        })
    };
    let mut faults: Vec<Fault> = [
        ("spec.from", current.from == proposed.from),
        ("spec.preference", current.preference == proposed.preference),
        ("spec.route", current.route == proposed.route),
        ("spec.to", current.to == proposed.to),
        ("status.started", current.started == proposed.started),
    ]
    .into_iter()
    .filter_map(|(field, unchanged)| immutable(field, unchanged))
    .collect();
    if current.deadline != proposed.deadline && current.outcome.is_some() {
        let message = "can't be moved, as the rollout has ended; delete it to begin another one";
        faults.push(fault(&key.name, "spec.deadline", message.into()));
    }
    if !may_replace(current, proposed) {
        let message = "the rollout has ended; its outcome is final";
        faults.push(fault(&key.name, "status.outcome", message.into()));
    }
    faults
}

/// Returns whether the outcome may change this way: completed may become rolled back, which is final.
fn may_replace(current: &Rollout, proposed: &Rollout) -> bool {
    if current.outcome == proposed.outcome {
        return true;
    }
    match (&current.outcome, &proposed.outcome) {
        (None, Some(_)) => true,
        (Some(old), Some(new)) => old.end == End::Completed && new.end == End::RolledBack,
        (_, None) => false,
    }
}

fn check_new(next: &Snapshot, key: &Key, proposed: &Rollout) -> Vec<Fault> {
    let mut faults = Vec::new();
    if proposed.outcome.is_some() {
        let message = "is recorded by the mesh, for a rollout that exists";
        faults.push(fault(&key.name, "status.outcome", message.into()));
    }
    if let Some(Spec::Route(route)) = next
        .get(Kind::Route, &proposed.route)
        .map(|resource| &resource.spec)
        && route.shares.get(&proposed.from) != Some(&Permille::WHOLE)
    {
        let message = format!("does not have all traffic of route/{}", proposed.route);
        faults.push(fault(&key.name, "spec.from", message));
    }
    faults
}

/// Checks that a route is not changed or deleted while a rollout moves it; only the recorded outcome of
/// the rollout may change it.
fn check_routes(transition: &Transition) -> Vec<Fault> {
    unfinished_rollouts(transition.next)
        .filter(|(name, rollout)| {
            let previous = transition.previous_rollout(name);
            previous.is_some_and(|previous| previous.started == rollout.started)
        })
        .filter(|(_, rollout)| {
            let previous = transition.previous(Kind::Route, &rollout.route);
            let next = transition.next.get(Kind::Route, &rollout.route);
            previous.map(|route| &route.spec) != next.map(|route| &route.spec)
        })
        .map(|(name, rollout)| Fault {
            field: "spec".into(),
            message: format!("is moved by rollout/{name}; delete that first"),
            resource: format!("route/{}", rollout.route),
        })
        .collect()
}

/// Checks that at most one rollout moves a route. The one that was accepted first continues, regardless
/// of the clocks of the accepting nodes.
fn check_duplicates(transition: &Transition) -> Vec<Fault> {
    let mut rollouts: Vec<(&Name, &Rollout)> = unfinished_rollouts(transition.next).collect();
    rollouts.sort_by_key(|(name, _)| transition.previous_rollout(name).is_none());
    let mut faults = Vec::new();
    for (index, (name, rollout)) in rollouts.iter().enumerate() {
        let mut earlier = rollouts[..index].iter();
        if let Some((other, _)) = earlier.find(|(_, other)| other.route == rollout.route) {
            let message = format!("is already moved by rollout/{other}");
            faults.push(fault(name, "spec.route", message));
        }
    }
    faults
}
