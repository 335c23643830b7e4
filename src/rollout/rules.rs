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
    let deleted: Vec<Key> = operation
        .changes
        .iter()
        .filter_map(|(change, _)| match change {
            Change::Delete(key) => Some(key.clone()),
            Change::Put(..) => None,
        })
        .collect();
    for (change, _) in &mut operation.changes {
        let Change::Put(key, Spec::Rollout(rollout)) = change else {
            continue;
        };
        if rollout.started != Moment::default() {
            continue;
        }
        let held = held(state, key).filter(|_| !deleted.contains(key));
        rollout.started = held.map_or(now, |held| held.started);
        rollout.outcome = held.and_then(|held| held.outcome.clone());
    }
}

fn held<'a>(state: &'a Snapshot, key: &Key) -> Option<&'a Rollout> {
    rollout(state.resources.get(key)?)
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

/// Names the faults of the step from `state` to `next` that rollouts have.
#[must_use]
pub fn faults(state: &Snapshot, next: &Snapshot, operation: &Operation) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut anew: Vec<&Key> = Vec::new();
    for (change, _) in &operation.changes {
        match change {
            Change::Delete(key) => anew.push(key),
            Change::Put(key, Spec::Rollout(wanted)) => {
                let held = held(state, key).filter(|_| !anew.contains(&key));
                faults.extend(match held {
                    Some(held) => changed(key, held, wanted),
                    None => begun(next, key, wanted),
                });
            }
            Change::Put(..) => {}
        }
    }
    faults.extend(crossed(state, next));
    faults.extend(doubled(state, next));
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
    if wanted.deadline <= wanted.started {
        faults.push(fault(&key.name, "spec.deadline", "has passed".into()));
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
fn crossed(state: &Snapshot, next: &Snapshot) -> Vec<Fault> {
    let route = |state: &Snapshot, name: &Name| match &state.get(Kind::Route, name)?.spec {
        Spec::Route(route) => Some(route.clone()),
        _ => None,
    };
    moving(next)
        .filter(|(name, rollout)| {
            let key = Key {
                kind: Kind::Rollout,
                name: (*name).clone(),
            };
            held(state, &key).is_some_and(|held| held.started == rollout.started)
        })
        .filter(|(_, rollout)| route(state, &rollout.route) != route(next, &rollout.route))
        .map(|(name, rollout)| Fault {
            field: "spec".into(),
            message: format!("is moved by rollout/{name}; delete that first"),
            resource: format!("route/{}", rollout.route),
        })
        .collect()
}

/// A route is moved by one rollout at a time; the one that was accepted first goes on, whatever the
/// clocks of the accepting nodes say.
fn doubled(state: &Snapshot, next: &Snapshot) -> Vec<Fault> {
    let held: Vec<&Name> = moving(state).map(|(name, _)| name).collect();
    let mut all: Vec<(&Name, &Rollout)> = moving(next).collect();
    all.sort_by_key(|(name, _)| !held.contains(name));
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
