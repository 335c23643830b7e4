//! A delta is applied as a whole and only to a later revision, or not at all.

use mulberryshelf::{
    resource::{Change, Key, Kind, Route, Spec, VersionSpec},
    snapshot::{Delta, Digest, Error, Snapshot},
    types::{Permille, Revision},
};

fn version(name: &str) -> Change {
    let key = Key {
        kind: Kind::Version,
        name: name.parse().unwrap(),
    };
    let service = "desk".parse().unwrap();
    Change::Put(key, Spec::Version(VersionSpec { service }))
}

fn route(to: &str) -> Change {
    let key = Key {
        kind: Kind::Route,
        name: "desk".parse().unwrap(),
    };
    let spec = Route {
        path: "/".into(),
        service: "desk".parse().unwrap(),
        shares: [(to.parse().unwrap(), Permille::WHOLE)].into(),
    };
    Change::Put(key, Spec::Route(spec))
}

fn delta(base: &Snapshot, to: u64, changes: &[Change]) -> Delta {
    let mut next = base.clone();
    let changes: Vec<_> = changes
        .iter()
        .map(|change| (Revision(to), change.clone()))
        .collect();
    for (revision, change) in &changes {
        next.apply_change(*revision, change);
    }
    Delta {
        changes,
        digest: next.digest,
        from: base.revision,
        to: Revision(to),
    }
}

#[test]
fn older_and_repeated_deltas_are_refused() {
    let empty = Snapshot::default();
    let first = delta(&empty, 1, &[version("desk-1")]);
    let held = empty.apply_delta(&first).unwrap();
    let refusal = held.apply_delta(&first).unwrap_err();
    assert!(matches!(refusal, Error::Stale { .. }), "{refusal}");
}

#[test]
fn gap_is_refused() {
    let empty = Snapshot::default();
    let held = empty
        .apply_delta(&delta(&empty, 1, &[version("desk-1")]))
        .unwrap();
    let later = delta(&held, 2, &[version("desk-2")]);
    let refusal = empty.apply_delta(&later).unwrap_err();
    assert!(matches!(refusal, Error::Gap { .. }), "{refusal}");
}

#[test]
fn wrong_digest_is_refused() {
    let empty = Snapshot::default();
    let mut first = delta(&empty, 1, &[version("desk-1")]);
    first.digest = Digest(first.digest.0 + 1);
    assert_eq!(empty.apply_delta(&first), Err(Error::DigestMismatch));
}

#[test]
fn dangling_route_is_refused() {
    let empty = Snapshot::default();
    let first = delta(&empty, 1, &[route("desk-1")]);
    assert_eq!(empty.apply_delta(&first), Err(Error::DanglingReference));
}
