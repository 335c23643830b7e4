use {
    mulberryshelf::sidecar::{
        dissemination::{Scope, next_hops},
        frame::Contact,
    },
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

fn contact(region: usize, domain: usize, host: usize) -> Contact {
    Contact {
        address: "127.0.0.1:1".parse().unwrap(),
        domain: format!("r{region}-d{domain}").parse().unwrap(),
        host: format!("r{region}-d{domain}-h{host}").parse().unwrap(),
        incarnation: 1,
        region: format!("r{region}").parse().unwrap(),
    }
}

fn mesh() -> Vec<Contact> {
    let places = (0..2).flat_map(|region| (0..3).map(move |domain| (region, domain)));
    places
        .flat_map(|(region, domain)| (0..5).map(move |host| contact(region, domain, host)))
        .collect()
}

/// Simulates the dissemination of an update from every node. Each node receives it once, and one copy is sent to each
/// other region and domain.
#[test]
fn update_reaches_every_node_once_and_crosses_each_boundary_once() {
    let all = mesh();
    for origin in &all {
        let mut reached = BTreeSet::from([origin.host.clone()]);
        let mut crossings: BTreeMap<&str, usize> = BTreeMap::new();
        let mut queue = VecDeque::from([(origin, Scope::Mesh)]);
        while let Some((own, scope)) = queue.pop_front() {
            let others: Vec<Contact> = all
                .iter()
                .filter(|peer| peer.host != own.host)
                .cloned()
                .collect();
            for hop in next_hops(own, scope, &others) {
                let to = all.iter().find(|peer| peer.host == hop.host).unwrap();
                assert!(reached.insert(hop.host), "{to:?} twice from {origin:?}");
                if to.region != own.region {
                    *crossings.entry("region").or_default() += 1;
                } else if to.domain != own.domain {
                    *crossings.entry("domain").or_default() += 1;
                }
                queue.push_back((to, hop.scope));
            }
        }
        assert_eq!(reached.len(), all.len());
        assert_eq!(crossings, BTreeMap::from([("region", 1), ("domain", 4)]));
    }
}

/// A node was lost after it had sent a change to its own failure domain only. No other domain had a copy, and whoever ranked
/// next as a reader of the store had the change already.
#[test]
fn every_other_place_is_sent_a_copy_before_the_own_domain() {
    let all = mesh();
    let hops = next_hops(&all[0], Scope::Mesh, &all[1..]);
    let scopes: Vec<Scope> = hops.iter().map(|hop| hop.scope).collect();
    let relays = [Scope::Region, Scope::Domain, Scope::Domain];
    assert_eq!(scopes, [&relays[..], &[Scope::Host; 4]].concat());
}

#[test]
fn update_for_one_host_is_not_relayed() {
    let all = mesh();
    assert_eq!(next_hops(&all[0], Scope::Host, &all[1..]), []);
}
