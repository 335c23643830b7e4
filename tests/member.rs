//! Checks that all nodes converge on the same membership, that a leaving host is known quickly, and
//! that a mass loss of contact does not remove the hosts of a service.

use {
    crate::simulated_mesh::Mesh,
    mulberryshelf::{
        control::Event,
        member::{Contact, Record, Roster, State, TOMBSTONE_RETENTION},
        types::Moment,
    },
    proptest::prelude::*,
    std::{sync::Arc, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time until every ingress knows that an upstream is leaving and sends it no new requests.
const LEAVING_KNOWN_MAX: Duration = Duration::from_secs(2);

fn mesh(seed: u64, hosts: usize) -> Mesh {
    let mut mesh = Mesh::new(seed)
        .domain("luzon", "luzon-a", hosts, "desk")
        .domain("luzon", "luzon-b", hosts, "hub")
        .domain("visayas", "visayas-a", hosts, "desk");
    mesh.start_all();
    mesh.run_until(20 * SECOND, Mesh::is_settled);
    mesh.run(5 * SECOND);
    mesh
}

#[test]
fn leaving_is_known_at_every_ingress_within_two_seconds() {
    let mut mesh = mesh(1, 60);
    mesh.loss = 0.05;
    let relay = mesh.root("luzon-a");
    for leaving in [relay, mesh.nodes.len() - 1] {
        mesh.handle_event(leaving, Event::Draining);
        mesh.run(LEAVING_KNOWN_MAX);
        for observer in mesh.all() {
            assert_eq!(mesh.state_of(observer, leaving), Some(State::Draining));
        }
    }
}

#[test]
fn leaving_relay_is_replaced_before_it_stops() {
    let mut mesh = mesh(2, 30);
    let relay = mesh.root("luzon-a");
    mesh.handle_event(relay, Event::Draining);
    mesh.run(LEAVING_KNOWN_MAX);
    let next = mesh.root("luzon-a");
    assert_ne!(next, relay);
    assert!(mesh.nodes[relay].control.role().children.is_empty());
}

#[test]
fn lost_host_is_gone_and_returns_as_a_new_incarnation() {
    let mut mesh = mesh(3, 20);
    let lost = mesh.nodes.len() - 1;
    mesh.kill(lost);
    mesh.run(12 * SECOND);
    assert_eq!(mesh.state_of(0, lost), Some(State::Gone));
    mesh.start(lost);
    mesh.run_until(10 * SECOND, Mesh::is_settled);
    assert_eq!(mesh.state_of(0, lost), Some(State::Ready));
}

#[test]
fn hosts_lost_with_their_parent_are_detected() {
    let mut mesh = mesh(4, 80);
    let inner_node = mesh
        .nodes_of("luzon-a")
        .into_iter()
        .find(|index| {
            let role = mesh.nodes[*index].control.role();
            !role.is_relay && role.children.len() > 5
        })
        .unwrap();
    let children: Vec<usize> = mesh.nodes[inner_node]
        .control
        .role()
        .children
        .iter()
        .take(6)
        .map(|host| {
            mesh.all()
                .into_iter()
                .find(|index| mesh.nodes[*index].contact.host == *host)
                .unwrap()
        })
        .collect();
    mesh.kill(inner_node);
    for index in &children {
        mesh.kill(*index);
    }
    mesh.run(20 * SECOND);
    let observer = mesh.nodes.len() - 1;
    for index in children.into_iter().chain([inner_node]) {
        assert_eq!(mesh.state_of(observer, index), Some(State::Gone));
    }
    mesh.run_until(20 * SECOND, Mesh::is_settled);
}

#[test]
fn mass_loss_does_not_empty_a_service() {
    let mut mesh = mesh(5, 20);
    let relays = mesh.relays("luzon-b");
    let lost: Vec<usize> = mesh
        .nodes_of("luzon-b")
        .into_iter()
        .filter(|index| !relays.contains(index))
        .take(12)
        .collect();
    for index in &lost {
        mesh.kill(*index);
    }
    mesh.run(30 * SECOND);
    for index in &lost {
        assert_eq!(mesh.state_of(0, *index), Some(State::Ready));
    }
}

fn record(incarnation: u64, sequence: u64, state: State) -> Arc<Record> {
    Arc::new(Record {
        contact: Contact {
            address: ([127, 0, 0, 1], 7000).into(),
            domain: "luzon-a".parse().unwrap(),
            host: "a1".parse().unwrap(),
            region: "luzon".parse().unwrap(),
        },
        incarnation: Moment(incarnation),
        offer: None,
        sequence,
        state,
    })
}

#[test]
fn late_update_does_not_restore_a_host_that_left() {
    let mut roster = Roster::default();
    roster.merge(Moment(0), record(1, 1, State::Ready));
    roster.merge(Moment(0), record(1, 3, State::Gone));
    assert!(!roster.merge(Moment(1), record(1, 2, State::Ready)));
    let host = "a1".parse().unwrap();
    assert_eq!(roster.get(&host).unwrap().state, State::Gone);
    roster.expire(Moment(1) + TOMBSTONE_RETENTION * 2);
    assert!(roster.get(&host).is_none());
}

proptest! {
    #[test]
    fn records_converge_in_any_order(
        orders in proptest::collection::vec((0u64..4, 0u64..6), 1..12),
        seed in any::<u64>(),
    ) {
        let state = |sequence| match sequence % 3 {
            0 => State::Ready,
            1 => State::Draining,
            _ => State::Gone,
        };
        let records: Vec<_> = orders.iter().map(|(i, s)| record(*i, *s, state(*s))).collect();
        let mut shuffled = records.clone();
        let mut rng = <rand::rngs::StdRng as rand::SeedableRng>::seed_from_u64(seed);
        rand::seq::SliceRandom::shuffle(shuffled.as_mut_slice(), &mut rng);
        let merge_all = |records: Vec<Arc<Record>>| {
            let mut roster = Roster::default();
            for record in records {
                roster.merge(Moment(0), record);
            }
            let host = "a1".parse().unwrap();
            (roster.digest(), roster.get(&host).cloned())
        };
        prop_assert_eq!(merge_all(records), merge_all(shuffled));
    }
}

#[test]
fn nodes_have_a_parent_after_a_planned_stop() {
    let mut mesh = mesh(7, 60);
    for domain in ["luzon-a", "luzon-b", "visayas-a"] {
        let relay = mesh.root(domain);
        mesh.stop(relay);
        mesh.run(Duration::from_millis(700));
        let root = mesh.root(domain);
        for index in mesh.nodes_of(domain) {
            let node = &mesh.nodes[index];
            let placed = index == root || node.control.role().parent.is_some();
            assert!(placed || !node.alive, "{} has no parent", node.contact.host);
        }
    }
}
