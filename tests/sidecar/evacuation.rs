use mulberryshelf::{
    sidecar::{
        evacuation::{Change, Evacuations},
        history::{Epoch, Position},
    },
    types::Domain,
};

fn domain(name: &str) -> Domain {
    name.parse().unwrap()
}

fn position(epoch: u64, version: u64) -> Position {
    Position {
        epoch: Some(Epoch(epoch)),
        version,
    }
}

fn begun(name: &str) -> Change {
    Change::Begun(domain(name))
}

fn ended(name: &str) -> Change {
    Change::Ended(domain(name))
}

/// Guards against an announcement that arrives late and takes back a later change.
#[test]
fn only_a_set_of_a_later_position_is_adopted() {
    let first = Evacuations::read(position(1, 5), &[begun("a"), begun("b")]);
    let second = first.with(position(1, 8), &[ended("a"), begun("c")]);
    let mut known = Evacuations::default();
    assert!(!known.is_known());
    assert!(known.adopt(&second));
    assert!(!known.adopt(&first));
    let evacuated = |set: &Evacuations, name| set.contains(&domain(name));
    let names = ["a", "b", "c"];
    assert_eq!(
        names.map(|name| evacuated(&known, name)),
        [false, true, true]
    );
    // A read without changes is adopted for its position, and nothing changes.
    let third = second.with(position(1, 9), &[]);
    assert!(!known.adopt(&third));
    assert_eq!(known, third);
}

/// Guards against a reader of the store that lags behind another one and mixes its older changes into the later set.
#[test]
fn changes_up_to_an_earlier_position_than_the_known_one_are_ignored() {
    let known = Evacuations::read(position(1, 9), &[begun("a")]);
    assert_eq!(known.with(position(1, 8), &[ended("a")]), known);
}

/// Guards against a set that outlives the store's restore: the versions of the lost writes are given out again.
#[test]
fn set_of_a_later_epoch_replaces_the_known_one_whatever_the_version() {
    let mut known = Evacuations::read(position(1, 90), &[begun("a")]);
    let restored = Evacuations::read(position(2, 5), &[begun("b")]);
    assert!(known.adopt(&restored));
    assert!(!known.contains(&domain("a")) && known.contains(&domain("b")));
}
