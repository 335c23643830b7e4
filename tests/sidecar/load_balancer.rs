use {
    mulberryshelf::{
        sidecar::{
            load_balancer::{
                AttemptResult, Load, LoadBalancer, Location, Offer, Request, Unavailable,
                VersionFilter,
            },
            pace::Pace,
            regions::Restriction,
        },
        traffic::spill::Tier,
        types::{Host, Moment, Region, Service, Version},
    },
    std::{collections::BTreeMap, sync::LazyLock, time::Duration},
};

const RUN: Duration = Duration::from_millis(200);

fn host(name: &str) -> Host {
    name.parse().unwrap()
}

fn desk() -> Service {
    "desk".parse().unwrap()
}

fn version(name: &str) -> Version {
    name.parse().unwrap()
}

fn offer(version: &str) -> Offer {
    Offer {
        cold: Duration::ZERO,
        cold_rate: 0,
        service: desk(),
        slots: 4,
        version: version.parse().unwrap(),
    }
}

/// Returns a location in a region that is named after the distance.
fn location(tier: Tier) -> Location<'static> {
    static REGIONS: LazyLock<[Region; 3]> =
        LazyLock::new(|| ["own", "own", "remote"].map(|name| name.parse().unwrap()));
    Location {
        region: &REGIONS[tier as usize],
        tier,
    }
}

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Duration::from_millis(millis)
}

fn load(running: u32, queued: u32) -> Load {
    Load {
        held: Duration::ZERO,
        pace: None,
        queued,
        run_time: RUN,
        running,
        slots: 4,
    }
}

/// Returns a load balancer with two hosts in the own failure domain, two in the region and two in another region. Each
/// has answered once.
fn mesh() -> LoadBalancer {
    let mut load_balancer = LoadBalancer::new(7);
    let tiers = [(Tier::Own, "a"), (Tier::Region, "b"), (Tier::Remote, "c")];
    for (tier, domain) in tiers {
        for number in 1..=2 {
            let host = host(&format!("{domain}{number}"));
            load_balancer.update_offer(at(0), &host, location(tier), Some(offer("v1")));
            load_balancer.record_result(at(0), &host, AttemptResult::Answered, Some(load(0, 0)));
        }
    }
    load_balancer
}

fn request<'a>(service: &'a Service, tried: &'a [Host]) -> Request<'a> {
    Request {
        account: None,
        tried,
        priority: 1,
        regions: &Restriction::Unrestricted,
        service,
        version_filter: None,
        worth_for: Duration::from_millis(600),
    }
}

#[test]
fn load_beyond_a_domain_spills_to_the_region_before_the_link() {
    let (mut load_balancer, service) = (mesh(), desk());
    let mut placed: BTreeMap<String, u32> = BTreeMap::new();
    let mut order = Vec::new();
    for _ in 0..60 {
        let place = load_balancer.choose(at(1), request(&service, &[])).unwrap();
        let domain = place.host.as_str()[..1].to_string();
        if order.last() != Some(&domain) {
            order.push(domain.clone());
        }
        *placed.entry(domain).or_default() += 1;
    }
    assert_eq!(order[..2], ["a", "b"]);
    insta::assert_debug_snapshot!(placed);
}

#[test]
fn domain_with_capacity_keeps_its_requests() {
    let (mut load_balancer, service) = (mesh(), desk());
    for millis in 0..200 {
        let place = load_balancer
            .choose(at(millis), request(&service, &[]))
            .unwrap();
        assert!(place.host.as_str().starts_with('a'), "{place:?}");
        load_balancer.record_result(
            at(millis),
            &place.host,
            AttemptResult::Answered,
            Some(load(2, 0)),
        );
    }
}

#[test]
fn host_that_declined_is_skipped_briefly() {
    let (mut load_balancer, service) = (mesh(), desk());
    for name in ["a1", "a2", "b1", "b2", "c1", "c2"] {
        load_balancer.record_decline(at(1), &host(name), (None, 1), Duration::from_secs(1));
    }
    let declined = load_balancer.choose(at(2), request(&service, &[]));
    assert_eq!(declined, Err(Unavailable::Declined));
    let mut urgent = request(&service, &[]);
    urgent.priority = 0;
    assert!(load_balancer.choose(at(2), urgent).is_ok());
    assert!(
        load_balancer
            .choose(at(300), request(&service, &[]))
            .is_ok()
    );
}

#[test]
fn failing_upstream_is_avoided_and_retried_later() {
    let (mut load_balancer, service) = (mesh(), desk());
    for _ in 0..20 {
        load_balancer.record_result(at(1), &host("a1"), AttemptResult::Failed, None);
    }
    for _ in 0..3 {
        let place = load_balancer.choose(at(2), request(&service, &[])).unwrap();
        assert_ne!(place.host, host("a1"));
    }
    let mut later = mesh();
    for _ in 0..20 {
        later.record_result(at(1), &host("a1"), AttemptResult::Failed, None);
    }
    let chosen: Vec<Host> = (0..4)
        .map(|_| {
            later
                .choose(at(30_000), request(&service, &[]))
                .unwrap()
                .host
        })
        .collect();
    assert!(chosen.contains(&host("a1")));
}

#[test]
fn only_upstream_is_used_even_if_it_fails() {
    let (mut load_balancer, service) = (LoadBalancer::new(7), desk());
    load_balancer.update_offer(at(0), &host("a1"), location(Tier::Own), Some(offer("v1")));
    for _ in 0..100 {
        load_balancer.record_result(at(0), &host("a1"), AttemptResult::Failed, None);
    }
    let place = load_balancer.choose(at(1), request(&service, &[])).unwrap();
    assert_eq!(place.host, host("a1"));
    let tried = [host("a1")];
    let nowhere = load_balancer.choose(at(1), request(&service, &tried));
    assert_eq!(nowhere, Err(Unavailable::NoUpstream));
}

#[test]
fn excluded_version_gets_no_requests() {
    let (mut load_balancer, service) = (mesh(), desk());
    load_balancer.update_offer(at(0), &host("a3"), location(Tier::Own), Some(offer("v2")));
    let new_version = version("v2");
    for _ in 0..40 {
        let mut restricted = request(&service, &[]);
        restricted.version_filter = Some(VersionFilter::Baseline(&new_version));
        let place = load_balancer.choose(at(1), restricted).unwrap();
        assert_eq!(place.version, version("v1"));
    }
}

#[test]
fn new_upstream_gets_requests_at_once() {
    let (mut load_balancer, service) = (mesh(), desk());
    load_balancer.update_offer(at(0), &host("a3"), location(Tier::Own), Some(offer("v1")));
    let chosen: Vec<Host> = (0..6)
        .map(|_| {
            load_balancer
                .choose(at(1), request(&service, &[]))
                .unwrap()
                .host
        })
        .collect();
    assert!(chosen.contains(&host("a3")), "{chosen:?}");
}

/// Guards against uneven load after a simultaneous start: while no run time was known, the cost did not distinguish
/// busy from idle upstreams.
#[test]
fn upstreams_that_have_not_answered_yet_share_the_load() {
    let (mut load_balancer, service) = (LoadBalancer::new(7), desk());
    for number in 1..=5 {
        let host = host(&format!("a{number}"));
        load_balancer.update_offer(at(0), &host, location(Tier::Own), Some(offer("v1")));
    }
    let mut placed: BTreeMap<Host, u32> = BTreeMap::new();
    for _ in 0..20 {
        let place = load_balancer.choose(at(1), request(&service, &[])).unwrap();
        *placed.entry(place.host).or_default() += 1;
    }
    assert!(
        placed.values().all(|count| (3..=5).contains(count)),
        "{placed:?}"
    );
    assert_eq!(placed.len(), 5);
}

/// Guards against a cold upstream nearby that is preferred to a warm one, also when it becomes cold later.
#[test]
fn warm_upstream_elsewhere_is_chosen_before_a_cold_one_nearby() {
    let mut load_balancer = mesh();
    let service = desk();
    let mut nearest = |cold: Duration, cold_rate| {
        for name in ["a1", "a2"] {
            let offer = Offer {
                cold,
                cold_rate,
                ..offer("v1")
            };
            load_balancer.update_offer(at(0), &host(name), location(Tier::Own), Some(offer));
        }
        let choice = load_balancer.choose(at(100), request(&service, &[]));
        choice.unwrap().host.as_str()[..1].to_string()
    };
    assert_eq!(nearest(Duration::ZERO, 0), "a");
    assert_eq!(nearest(Duration::from_secs(3), 15), "b");
    assert_eq!(nearest(Duration::ZERO, 0), "a");
}

/// Guards against requests that wait at a node which is short of processor time while its upstream is idle, and against a
/// change for upstreams that report no pace.
#[test]
fn host_with_a_long_way_is_avoided_if_upstreams_report_their_pace() {
    let is_avoided = |pace: Option<Pace>| {
        let (mut load_balancer, service) = (mesh(), desk());
        for name in ["a1", "a2"] {
            let way = Duration::from_millis(if name == "a1" { 200 } else { 2 });
            let load = Load { pace, ..load(0, 0) };
            load_balancer.record_result(at(0), &host(name), AttemptResult::Answered, Some(load));
            for _ in 0..10 {
                load_balancer.record_transit(at(0), &host(name), way);
            }
        }
        (0..3).all(|_| {
            let chosen = load_balancer.choose(at(1), request(&service, &[]));
            chosen.unwrap().host == host("a2")
        })
    };
    assert!(is_avoided(Some(Pace::USUAL)));
    assert!(!is_avoided(None));
}
