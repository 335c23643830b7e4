use mulberryshelf::sidecar::store_readers::{Candidate, StoreAccess, rank};

fn candidate(host: &str, reach: StoreAccess) -> Candidate {
    Candidate {
        reach,
        host: host.parse().unwrap(),
    }
}

#[test]
fn nodes_near_the_store_rank_first() {
    let all = [
        candidate("a1", StoreAccess::Far),
        candidate("b1", StoreAccess::Near),
        candidate("c1", StoreAccess::Unknown),
        candidate("d1", StoreAccess::Near),
    ];
    let ranks = all.clone().map(|own| {
        let others = all.iter().filter(|other| other.host != own.host);
        rank(&own, others.cloned())
    });
    assert_eq!(ranks, [2, 0, 3, 1]);
}

#[test]
fn isolated_node_reads_the_store() {
    let alone = candidate("z9", StoreAccess::Unknown);
    assert_eq!(rank(&alone, std::iter::empty()), 0);
}
