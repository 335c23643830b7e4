use {
    mulberryshelf::sidecar::store_readers::{
        Candidate, StoreAccess, first_read_probability, rank, replacement_rank,
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
};

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

/// All nodes of a large mesh were restarted at one moment, and the store knew as many that had gone before. No node was
/// seen to be near the store, so none read the document until 1.5 s had passed, and all callers were refused.
#[test]
fn some_nodes_of_a_mesh_that_starts_together_read_the_first_document_at_once() {
    let (started, known) = (295, 563);
    let mut late = 0;
    for seed in 0..1_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut readers_at = |checks| {
            let probability = first_read_probability(known, checks);
            let drawn = (0..started).filter(|_| random.random_bool(probability));
            drawn.count()
        };
        let at_once = readers_at(0);
        assert!(at_once <= 20, "{at_once} of {started} read at once");
        late += u32::from(at_once == 0);
        assert!(at_once + readers_at(1) > 0);
    }
    assert!(late < 100, "none read at once in {late} of 1000 starts");
}

#[test]
fn node_of_a_small_mesh_reads_the_first_document_at_once() {
    assert!((first_read_probability(1, 0) - 1.0).abs() < f64::EPSILON);
    assert!((first_read_probability(100_000, 60) - 1.0).abs() < f64::EPSILON);
}

/// The wait of a node that had missed a change grew with the number of nodes elsewhere that had it.
#[test]
fn first_node_of_each_domain_replaces_silent_readers_whatever_the_size_of_the_mesh() {
    let candidate = |index: usize| Candidate {
        reach: StoreAccess::Near,
        host: format!("h{index:03}").parse().unwrap(),
    };
    let domain = |index: usize| index / 37;
    let rank_of = |own: usize| {
        let others = (0..296).filter(|other| *other != own);
        let heard = others.map(|other| (candidate(other), domain(other) == domain(own)));
        replacement_rank(&candidate(own), heard)
    };
    let first_of_domains: Vec<usize> = (0..8).map(|domain| rank_of(domain * 37)).collect();
    assert_eq!(first_of_domains, [0, 2, 2, 2, 2, 2, 2, 2]);
    assert_eq!([rank_of(1), rank_of(38), rank_of(295)], [4, 6, 146]);
}
