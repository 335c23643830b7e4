use mulberryshelf::sidecar::duty::{Candidate, Reach, rank};

fn candidate(host: &str, reach: Reach) -> Candidate {
    Candidate {
        reach,
        host: host.parse().unwrap(),
    }
}

#[test]
fn nodes_near_the_store_rank_first() {
    let all = [
        candidate("a1", Reach::Far),
        candidate("b1", Reach::Near),
        candidate("c1", Reach::Unknown),
        candidate("d1", Reach::Near),
    ];
    let ranks = all.clone().map(|own| {
        let others = all.iter().filter(|other| other.host != own.host);
        rank(&own, others.cloned())
    });
    assert_eq!(ranks, [2, 0, 3, 1]);
}

#[test]
fn isolated_node_reads_the_store() {
    let alone = candidate("z9", Reach::Unknown);
    assert_eq!(rank(&alone, std::iter::empty()), 0);
}
