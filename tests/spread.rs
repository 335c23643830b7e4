//! An accepted configuration reaches every node within seconds, and no node reverts to an older one,
//! even with lost nodes, partitions, lossy links and outages of the platform.

use {
    crate::simulated_mesh::{Mesh, route},
    mulberryshelf::{control::Spread, types::Revision},
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
/// The longest time until an accepted configuration has to be in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Creates a settled mesh of four failure domains in two regions.
fn settled_mesh(seed: u64, hosts: usize) -> Mesh {
    let mut mesh = Mesh::new(seed)
        .domain("luzon", "luzon-a", hosts, "desk")
        .domain("luzon", "luzon-b", hosts, "hub")
        .domain("visayas", "visayas-a", hosts, "desk")
        .domain("visayas", "visayas-b", hosts, "hub");
    mesh.start_all();
    mesh.run_until(20 * SECOND, Mesh::is_settled);
    mesh.run(5 * SECOND);
    mesh
}

fn accept_version(mesh: &mut Mesh, number: usize) -> Revision {
    let version = format!("desk-{number}");
    mesh.apply(0, route("desk", &version))
}

#[test]
fn accepted_configuration_is_in_force_everywhere() {
    let mut mesh = settled_mesh(1, 50);
    let revision = accept_version(&mut mesh, 2);
    let all = mesh.all();
    let took = mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
    assert!(took < IN_FORCE_TIMEOUT);
}

#[test]
fn lossy_links_lose_no_revision() {
    let mut mesh = settled_mesh(2, 20);
    mesh.loss = 0.05;
    let all = mesh.all();
    for number in 2..22 {
        let revision = accept_version(&mut mesh, number);
        mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
    }
}

#[test]
fn table_reads_grow_with_regions_and_not_with_nodes() {
    let reads = |hosts| {
        let mut mesh = settled_mesh(3, hosts);
        let before = mesh.platform.reads;
        mesh.run(20 * SECOND);
        mesh.platform.reads - before
    };
    let (few, many) = (reads(5), reads(40));
    assert!(many <= few * 2, "{few} reads for 20 nodes, {many} for 160");
}

#[test]
fn one_copy_crosses_to_each_other_region() {
    let mut mesh = settled_mesh(4, 20);
    mesh.cross_region_configuration_bytes = 0;
    let revision = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
    let delta: u64 = 300;
    let crossed = mesh.cross_region_configuration_bytes;
    assert!(crossed < 2 * delta, "{crossed} bytes between regions");
}

#[test]
fn paused_relay_resumes_behind_and_reverts_no_node() {
    let mut mesh = settled_mesh(5, 30);
    let relay = mesh.root("luzon-b");
    mesh.pause(relay, 20 * SECOND);
    let mut rest = mesh.all();
    rest.remove(&relay);
    for number in 2..6 {
        let revision = accept_version(&mut mesh, number);
        mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&rest, revision));
        mesh.run(3 * SECOND);
    }
    let last = Revision(4);
    assert!(mesh.revision(relay) < last);
    let all = mesh.all();
    mesh.run_until(20 * SECOND, |mesh| mesh.all_run(&all, last));
    mesh.run_until(20 * SECOND, Mesh::is_settled);
    mesh.run(10 * SECOND);
    mesh.root("luzon-b");
}

#[test]
fn configuration_spreads_within_the_bound_after_both_relays_are_lost() {
    let mut mesh = settled_mesh(6, 50);
    let relays = mesh.relays("luzon-b");
    assert_eq!(relays.len(), 2);
    for relay in relays {
        mesh.kill(relay);
    }
    let all = mesh.all();
    let revision = accept_version(&mut mesh, 2);
    let took = mesh.run_until(20 * SECOND, |mesh| mesh.all_run(&all, revision));
    assert!(took <= IN_FORCE_TIMEOUT, "{took:?}");
}

#[test]
fn two_root_relays_revert_no_node() {
    let mut mesh = settled_mesh(7, 20);
    let first = mesh.root("visayas-a");
    let mut rest = mesh.nodes_of("visayas-a");
    rest.remove(&first);
    mesh.partition([first].into(), rest);
    mesh.run(12 * SECOND);
    let roots = mesh
        .relays("visayas-a")
        .into_iter()
        .filter(|index| mesh.nodes[*index].control.role().parent.is_none())
        .count();
    assert_eq!(roots, 2);
    let all = mesh.all();
    let revision = accept_version(&mut mesh, 2);
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
    mesh.heal();
    mesh.run_until(30 * SECOND, Mesh::is_settled);
    mesh.run(10 * SECOND);
    mesh.root("visayas-a");
}

#[test]
fn isolated_domain_restarts_nodes_and_catches_up_after_the_partition() {
    let mut mesh = settled_mesh(8, 10);
    let held = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, held));
    mesh.isolate("visayas-b");
    let inside = mesh.nodes_of("visayas-b");
    let later = accept_version(&mut mesh, 3);
    mesh.run(10 * SECOND);
    let replaced: Vec<usize> = inside.iter().copied().take(3).collect();
    for index in &replaced {
        mesh.kill(*index);
    }
    mesh.run(SECOND);
    for index in &replaced {
        mesh.start(*index);
    }
    mesh.run(10 * SECOND);
    for index in &inside {
        let node = &mesh.nodes[*index];
        assert!(node.control.is_serving());
        assert_eq!(mesh.revision(*index), held, "{}", node.contact.host);
        assert!(
            !node.installed.contains_key(&Revision(0)),
            "empty configuration"
        );
    }
    mesh.heal();
    let all = mesh.all();
    mesh.run_until(20 * SECOND, |mesh| mesh.all_run(&all, later));
    mesh.run_until(30 * SECOND, Mesh::is_settled);
}

#[test]
fn partition_during_a_transfer_applies_no_partial_revision() {
    let mut mesh = settled_mesh(9, 10);
    let before = mesh.platform.log.len();
    let all = mesh.all();
    let far: std::collections::BTreeSet<usize> =
        &mesh.nodes_of("visayas-a") | &mesh.nodes_of("visayas-b");
    let near = &all - &far;
    let changes = (2..40)
        .flat_map(|number| route(&format!("desk-{number}"), &format!("desk-{number}-1")))
        .collect();
    let revision = mesh.apply(0, changes);
    assert_eq!(revision.0, before as u64 + 1);
    mesh.partition(near, far.clone());
    mesh.run(5 * SECOND);
    mesh.heal();
    mesh.run_until(20 * SECOND, |mesh| mesh.all_run(&all, revision));
}

#[test]
fn platform_outage_stops_no_node_and_reverts_no_revision() {
    let mut mesh = settled_mesh(10, 20);
    let held = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, held));
    mesh.platform.is_down = true;
    for index in mesh.nodes_of("luzon-a") {
        mesh.kill(index);
    }
    mesh.run(SECOND);
    for index in mesh.nodes_of("luzon-a") {
        mesh.start(index);
    }
    mesh.run_until(15 * SECOND, |mesh| mesh.all_run(&all, held));
    mesh.platform.is_down = false;
    let revision = accept_version(&mut mesh, 3);
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
}

#[test]
fn mass_restart_stays_within_the_read_limit_of_the_platform() {
    let mut mesh = settled_mesh(11, 100);
    let held = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, held));
    let lost: Vec<usize> = mesh.nodes_of("luzon-a").into_iter().step_by(2).collect();
    for index in &lost {
        mesh.kill(*index);
    }
    mesh.run(2 * SECOND);
    mesh.platform.reads_by_second.clear();
    for index in &lost {
        mesh.start(*index);
    }
    mesh.run_until(10 * SECOND, |mesh| mesh.all_run(&all, held));
    mesh.run_until(30 * SECOND, Mesh::is_settled);
    let peak = mesh.platform.reads_by_second.values().max().copied();
    // The platform's limit of 2000 reads a second, scaled from the design's 14,000 nodes to this mesh.
    let share = 2000 * mesh.nodes.len() as u64 / 14_000;
    assert!(peak.unwrap_or(0) <= share, "peak {peak:?} of {share}");
}

#[test]
fn coverage_lists_each_domain_and_marks_unreachable_ones() {
    let mut mesh = settled_mesh(12, 10);
    let revision = accept_version(&mut mesh, 2);
    mesh.run(8 * SECOND);
    for node in &mesh.nodes {
        let coverage = node.control.coverage();
        assert_eq!(coverage.len(), 4);
        assert!(
            coverage
                .values()
                .all(|domain| domain.reached && domain.revision == revision),
            "{coverage:?} at {}",
            node.contact.host
        );
    }
    mesh.isolate("visayas-b");
    mesh.run(15 * SECOND);
    let outside = mesh.nodes_of("luzon-a").into_iter().next().unwrap();
    let coverage = mesh.nodes[outside].control.coverage();
    let reached: Vec<&str> = coverage
        .iter()
        .filter(|(_, domain)| domain.reached)
        .map(|(domain, _)| domain.as_str())
        .collect();
    assert_eq!(reached, ["luzon-a", "luzon-b", "visayas-a"]);
}

#[test]
fn lost_node_does_not_hold_back_the_coverage() {
    let mut mesh = settled_mesh(13, 10);
    let silent = mesh
        .nodes_of("luzon-b")
        .into_iter()
        .find(|index| !mesh.nodes[*index].control.role().is_relay)
        .unwrap();
    mesh.kill(silent);
    let revision = accept_version(&mut mesh, 2);
    mesh.run(12 * SECOND);
    let coverage = mesh.nodes[0].control.coverage();
    assert!(coverage.values().all(|domain| domain.revision == revision));
}

#[test]
fn restarted_domain_starts_within_the_bound() {
    let mut mesh = settled_mesh(14, 60);
    let held = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, held));
    for index in mesh.nodes_of("luzon-b") {
        mesh.kill(index);
    }
    mesh.run(20 * SECOND);
    for index in mesh.nodes_of("luzon-b") {
        mesh.start(index);
    }
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, held));
    mesh.run_until(30 * SECOND, Mesh::is_settled);
    mesh.run(5 * SECOND);
    mesh.root("luzon-b");
}

#[test]
fn small_fanout_bounds_children_and_spreads_the_configuration() {
    let spread = Spread {
        fanout: 6,
        ..Spread::default()
    };
    let mut mesh = Mesh::new(15)
        .spread(spread)
        .domain("luzon", "luzon-a", 40, "desk");
    mesh.start_all();
    mesh.run_until(20 * SECOND, Mesh::is_settled);
    mesh.run(5 * SECOND);
    for node in &mesh.nodes {
        let children = node.control.role().children.len();
        assert!(
            children <= 12,
            "{} has {children} children",
            node.contact.host
        );
    }
    let revision = accept_version(&mut mesh, 2);
    let all = mesh.all();
    mesh.run_until(IN_FORCE_TIMEOUT, |mesh| mesh.all_run(&all, revision));
}

#[test]
fn settled_mesh_reports_no_losses_and_syncs_no_rosters() {
    let mut mesh = settled_mesh(16, 100);
    mesh.bytes_by_kind.clear();
    mesh.run(10 * SECOND);
    for node in &mesh.nodes {
        let host = &node.contact.host;
        assert_eq!(node.counts.get("member.lost"), None, "{host}");
        assert_eq!(node.counts.get("member.refuted"), None, "{host}");
    }
    assert_eq!(mesh.bytes_by_kind.get("Sync"), None);
}
