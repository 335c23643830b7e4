//! Where requests go.

use {
    mulberryshelf::{
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::Snapshot,
        traffic::{self, Ramp},
        world::{Permille, Revision},
    },
    proptest::prelude::*,
    std::collections::BTreeMap,
};

/// A configuration with one route of a service, shared between two versions.
pub fn snapshot(path: &str, shares: &[(&str, u16)]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for (version, _) in shares {
        let spec = Spec::Version(VersionSpec {
            service: "dispatch-hub".parse().unwrap(),
        });
        let key = Key {
            kind: Kind::Version,
            name: version.parse().unwrap(),
        };
        snapshot.change(Revision(1), &Change::Put(key, spec));
    }
    let spec = Spec::Route(Route {
        path: path.into(),
        service: "dispatch-hub".parse().unwrap(),
        shares: shares
            .iter()
            .map(|(version, share)| (version.parse().unwrap(), Permille(*share)))
            .collect(),
    });
    let key = Key {
        kind: Kind::Route,
        name: "hub".parse().unwrap(),
    };
    snapshot.change(Revision(1), &Change::Put(key, spec));
    snapshot.revision = Revision(1);
    snapshot
}

fn ramps(share: u16) -> BTreeMap<mulberryshelf::world::Name, Ramp> {
    let ramp = Ramp {
        from: "hub-1".parse().unwrap(),
        route: "hub".parse().unwrap(),
        share: Permille(share),
        to: "hub-2".parse().unwrap(),
    };
    BTreeMap::from([("move".parse().unwrap(), ramp)])
}

fn version(share: u16, id: &str) -> String {
    let snapshot = snapshot("/", &[("hub-1", 1000), ("hub-2", 0)]);
    let index = traffic::route::Index::new(&snapshot, &ramps(share));
    let route = index.find(&"dispatch-hub".parse().unwrap(), "/x").unwrap();
    route.version(id).unwrap().to_string()
}

proptest! {
    #[test]
    fn growing_ramp_moves_requests_one_way_only(id in "[a-f0-9]{32}", low in 0_u16..=1000, high in 0_u16..=1000) {
        let (low, high) = (low.min(high), low.max(high));
        let (before, after) = (version(low, &id), version(high, &id));
        prop_assert!(before == after || (before == "hub-1" && after == "hub-2"));
        prop_assert_eq!(version(0, &id), "hub-1");
        prop_assert_eq!(version(1000, &id), "hub-2");
    }
}

#[test]
fn ramp_takes_the_stated_share() {
    let moved = (0..10_000)
        .filter(|id| version(50, &format!("request-{id}")) == "hub-2")
        .count();
    assert!((400..=600).contains(&moved), "{moved}");
}

#[test]
fn prefix_covers_whole_segments_only() {
    let snapshot = snapshot("/crew", &[("hub-1", 1000)]);
    let index = traffic::route::Index::new(&snapshot, &BTreeMap::new());
    let service = "dispatch-hub".parse().unwrap();
    assert!(index.find(&service, "/crew").is_some());
    assert!(index.find(&service, "/crew/7").is_some());
    assert!(index.find(&service, "/crews").is_none());
}
