use {
    mulberryshelf::{sidecar::regions::Restriction, types::Region},
    std::collections::BTreeSet,
};

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against an intersection without regions that is taken for "no restriction", as an empty set of a route is.
#[test]
fn restrictions_of_route_and_account_both_apply() {
    let permitted = |route: &[&str], account: Option<&[&str]>| {
        let account = account.map(regions);
        let restriction = Restriction::combine(&regions(route), account.as_ref());
        let names = ["east", "north", "west"].into_iter();
        names
            .filter(|name| restriction.permits(&name.parse().unwrap()))
            .collect::<Vec<_>>()
    };
    assert_eq!(permitted(&[], None), ["east", "north", "west"]);
    assert_eq!(permitted(&[], Some(&[])), ["east", "north", "west"]);
    assert_eq!(permitted(&["east"], None), ["east"]);
    assert_eq!(permitted(&["east"], Some(&[])), ["east"]);
    assert_eq!(permitted(&[], Some(&["west"])), ["west"]);
    assert_eq!(
        permitted(&["east", "north"], Some(&["north", "west"])),
        ["north"]
    );
    assert!(permitted(&["east"], Some(&["west"])).is_empty());
}
