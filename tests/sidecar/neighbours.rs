use {
    mulberryshelf::sidecar::{
        frame::Contact,
        neighbours::{KnownNode, NODES_PER_REMOTE_REGION, choose},
    },
    std::collections::{BTreeMap, BTreeSet},
};

fn contact(region: &str, number: usize) -> Contact {
    Contact {
        address: ([127, 0, 0, 1], 1).into(),
        domain: format!("{region}-{}", number % 3).parse().unwrap(),
        host: format!("{region}-{number:03}").parse().unwrap(),
        incarnation: 1,
        region: region.parse().unwrap(),
    }
}

/// Returns the nodes of regions of the given sizes.
fn fleet(sizes: &[(&str, usize)]) -> Vec<Contact> {
    let nodes = sizes
        .iter()
        .flat_map(|(region, size)| (0..*size).map(|number| contact(region, number)));
    nodes.collect()
}

fn chosen(fleet: &[Contact], own: &Contact, lost: &[&str]) -> BTreeSet<String> {
    let known: Vec<KnownNode> = fleet
        .iter()
        .filter(|contact| contact.host != own.host)
        .map(|contact| KnownNode {
            contact,
            lost: lost.contains(&contact.host.as_str()),
        })
        .collect();
    let chosen = choose(own, &known);
    chosen.into_iter().map(ToString::to_string).collect()
}

/// Returns the pairs of nodes of which at least one chooses the other.
fn pairs(fleet: &[Contact]) -> BTreeSet<(String, String)> {
    let mut pairs = BTreeSet::new();
    for own in fleet {
        for other in chosen(fleet, own, &[]) {
            let own = own.host.to_string();
            pairs.insert((own.clone().min(other.clone()), own.max(other)));
        }
    }
    pairs
}

#[test]
fn small_regions_are_fully_connected() {
    let fleet = fleet(&[("east", NODES_PER_REMOTE_REGION), ("west", 7), ("south", 1)]);
    for own in &fleet {
        assert_eq!(chosen(&fleet, own, &[]).len(), fleet.len() - 1);
    }
}

#[test]
fn nodes_of_one_region_and_hubs_of_others_are_always_connected() {
    let fleet = fleet(&[("east", 60), ("west", 60)]);
    let pairs = pairs(&fleet);
    for own in &fleet {
        for other in fleet.iter().filter(|other| other.host < own.host) {
            let pair = (other.host.to_string(), own.host.to_string());
            let is_hub = |contact: &Contact| {
                contact.host.as_str().ends_with(['0', '1', '2', '3'])
                    && contact.host.as_str().contains("-00")
            };
            if own.region == other.region || is_hub(own) || is_hub(other) {
                assert!(pairs.contains(&pair), "{pair:?}");
            }
        }
    }
}

/// Guards against a full mesh between regions: 300 nodes in two regions opened 22,500 connections between them, whose
/// hello messages cost more than half of a day's total value in the bench's sweep.
#[test]
fn connections_between_regions_grow_linearly_with_the_fleet() {
    let count = |size| {
        let fleet = fleet(&[("east", size), ("west", size)]);
        let pairs = pairs(&fleet);
        pairs.iter().filter(|(a, b)| a[..4] != b[..4]).count()
    };
    let (at_150, at_600) = (count(150), count(600));
    assert!(at_150 < 2 * 150 * (NODES_PER_REMOTE_REGION + 4), "{at_150}");
    assert!(at_600 < at_150 * 5, "{at_150} {at_600}");
}

#[test]
fn connections_are_spread_evenly() {
    let fleet = fleet(&[("east", 150), ("west", 150)]);
    let mut connections: BTreeMap<String, usize> = BTreeMap::new();
    for own in fleet.iter().filter(|own| own.region.as_str() == "east") {
        if own.host.as_str() >= "east-004" {
            for other in chosen(&fleet, own, &[]) {
                *connections.entry(other).or_default() += 1;
            }
        }
    }
    let counts: Vec<usize> = (4..150)
        .map(|number| {
            connections
                .get(&format!("west-{number:03}"))
                .copied()
                .unwrap_or_default()
        })
        .collect();
    // The average is twelve.
    assert!(
        counts.iter().all(|count| (2..=30).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn lost_node_stays_chosen_and_a_replacement_is_added() {
    let fleet = fleet(&[("east", 60), ("west", 60)]);
    for number in 4..60 {
        let own = contact("east", number);
        let before = chosen(&fleet, &own, &[]);
        let after = chosen(&fleet, &own, &["west-000"]);
        assert!(before.contains("west-000") && after.is_superset(&before));
        assert!(after.contains("west-004"));
        let added = usize::from(!before.contains("west-004"));
        assert!((added..=1).contains(&(after.len() - before.len())));
    }
}

#[test]
fn node_that_becomes_a_hub_connects_to_all() {
    let fleet = fleet(&[("east", 60), ("west", 60)]);
    let own = contact("east", 4);
    assert!(chosen(&fleet, &own, &[]).len() < 100);
    assert_eq!(chosen(&fleet, &own, &["east-002"]).len(), 119);
}
