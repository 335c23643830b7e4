//! Which changes to rollouts, and to the routes that they move, are accepted. Racing operators serialise
//! at the platform's table, so each race has one defined loser, who is told by a fault.

use {
    super::outcome::End,
    crate::{
        resource::{Change, Key, Kind, Resource, Rollout, Spec},
        snapshot::Snapshot,
        source::Operation,
        validate::Fault,
        world::{Moment, Name, Permille},
    },
};

/// Fills in what operators don't state: the start of a new rollout, and what the mesh has recorded of one
/// that exists.
pub fn stamp(now: Moment, state: &Snapshot, operation: &mut Operation) {
    for (change, _) in &mut operation.changes {
        let Change::Put(key, Spec::Rollout(rollout)) = change else {
            continue;
        };
        if rollout.started != Moment::default() {
            continue;
        }
        let held = state.resources.get(key).and_then(self::rollout);
        rollout.started = held.map_or(now, |held| held.started);
        rollout.outcome = held.and_then(|held| held.outcome.clone());
    }
}

fn rollout(resource: &Resource) -> Option<&Rollout> {
    match &resource.spec {
        Spec::Rollout(rollout) => Some(rollout),
        _ => None,
    }
}

fn moving(state: &Snapshot) -> impl Iterator<Item = (&Name, &Rollout)> {
    state
        .resources
        .values()
        .filter_map(|resource| Some((&resource.key.name, rollout(resource)?)))
        .filter(|(_, rollout)| rollout.outcome.is_none())
}

/// A step of the configuration: the resources that it changes as they were, and the state that results.
struct Step<'a> {
    before: &'a [(Key, Option<Resource>)],
    next: &'a Snapshot,
}

impl Step<'_> {
    /// Gives a resource as it was.
    fn held(&self, kind: Kind, name: &Name) -> Option<&Resource> {
        let changed = |(key, _): &&(Key, Option<Resource>)| key.kind == kind && key.name == *name;
        match self.before.iter().find(changed) {
            Some((_, held)) => held.as_ref(),
            None => self.next.get(kind, name),
        }
    }

    /// Gives a rollout as it was.
    fn rollout(&self, name: &Name) -> Option<&Rollout> {
        self.held(Kind::Rollout, name).and_then(rollout)
    }
}

/// Names the faults that rollouts have in the step from `before`, the changed resources as they were, to
/// `next`.
#[must_use]
pub fn faults(before: &[(Key, Option<Resource>)], next: &Snapshot) -> Vec<Fault> {
    let concerned = |(key, _): &(Key, _)| matches!(key.kind, Kind::Rollout | Kind::Route);
    if !before.iter().any(concerned) {
        return Vec::new();
    }
    let step = Step { before, next };
    let mut faults = Vec::new();
    for (key, held) in before {
        let Some(wanted) = next.resources.get(key).and_then(rollout) else {
            continue;
        };
        faults.extend(match held.as_ref().and_then(rollout) {
            Some(held) => changed(key, held, wanted),
            None => begun(next, key, wanted),
        });
    }
    faults.extend(crossed(&step));
    faults.extend(doubled(&step));
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

/// An accepted rollout may have its deadline moved and its end recorded; all else of it is fixed.
fn changed(key: &Key, held: &Rollout, wanted: &Rollout) -> Vec<Fault> {
    let fixed = |field: &str, same: bool| {
        (!same).then(|| {
            let message = "is fixed once accepted; delete the rollout to begin another one";
            fault(&key.name, field, message.into())
        })
    };
    let mut faults: Vec<Fault> = [
        ("spec.from", held.from == wanted.from),
        ("spec.preference", held.preference == wanted.preference),
        ("spec.route", held.route == wanted.route),
        ("spec.to", held.to == wanted.to),
        ("status.started", held.started == wanted.started),
    ]
    .into_iter()
    .filter_map(|(field, same)| fixed(field, same))
    .collect();
    if held.deadline != wanted.deadline && held.outcome.is_some() {
        let message = "can't be moved, as the rollout has ended; delete it to begin another one";
        faults.push(fault(&key.name, "spec.deadline", message.into()));
    }
    if !follows(held, wanted) {
        let message = "the rollout has ended, and its end stands";
        faults.push(fault(&key.name, "status.outcome", message.into()));
    }
    faults
}

/// Completed may become rolled back; rolled back is final.
fn follows(held: &Rollout, wanted: &Rollout) -> bool {
    if held.outcome == wanted.outcome {
        return true;
    }
    match (&held.outcome, &wanted.outcome) {
        (None, Some(_)) => true,
        (Some(held), Some(wanted)) => held.end == End::Completed && wanted.end == End::RolledBack,
        (_, None) => false,
    }
}

fn begun(next: &Snapshot, key: &Key, wanted: &Rollout) -> Vec<Fault> {
    let mut faults = Vec::new();
    if wanted.outcome.is_some() {
        let message = "is recorded by the mesh, for a rollout that exists";
        faults.push(fault(&key.name, "status.outcome", message.into()));
    }
    if let Some(Spec::Route(route)) = next.get(Kind::Route, &wanted.route).map(|held| &held.spec)
        && route.shares.get(&wanted.from) != Some(&Permille::WHOLE)
    {
        let message = format!("does not have all traffic of route/{}", wanted.route);
        faults.push(fault(&key.name, "spec.from", message));
    }
    faults
}

/// Nobody changes the shares of a route that is being moved, or takes it away, except by the end of
/// the move.
fn crossed(step: &Step) -> Vec<Fault> {
    moving(step.next)
        .filter(|(name, rollout)| {
            let held = step.rollout(name);
            held.is_some_and(|held| held.started == rollout.started)
        })
        .filter(|(_, rollout)| {
            let held = step.held(Kind::Route, &rollout.route);
            let next = step.next.get(Kind::Route, &rollout.route);
            held.map(|route| &route.spec) != next.map(|route| &route.spec)
        })
        .map(|(name, rollout)| Fault {
            field: "spec".into(),
            message: format!("is moved by rollout/{name}; delete that first"),
            resource: format!("route/{}", rollout.route),
        })
        .collect()
}

/// A route is moved by one rollout at a time; the one that was accepted first goes on, whatever the
/// clocks of the accepting nodes say.
fn doubled(step: &Step) -> Vec<Fault> {
    let mut all: Vec<(&Name, &Rollout)> = moving(step.next).collect();
    all.sort_by_key(|(name, _)| step.rollout(name).is_none());
    let mut faults = Vec::new();
    for (index, (name, rollout)) in all.iter().enumerate() {
        let mut earlier = all[..index].iter();
        if let Some((other, _)) = earlier.find(|(_, other)| other.route == rollout.route) {
            let message = format!("is moved by rollout/{other} already");
            faults.push(fault(name, "spec.route", message));
        }
    }
    faults
}
