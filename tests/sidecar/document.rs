use {
    mulberryshelf::{
        sidecar::document::{
            Class, Document, Fault, Index, Limits, Number, Route, ServiceSpec, Share,
        },
        types::Service,
    },
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

fn service(name: &str) -> Service {
    name.parse().unwrap()
}

fn route(name: &str, prefix: &str, to: &str) -> Route {
    Route {
        class: Class::Repeatable,
        hostname: "desk.example".into(),
        max_attempts: 2,
        name: name.into(),
        prefix: prefix.into(),
        priority: 1,
        public: false,
        regions: BTreeSet::new(),
        shares: vec![Share {
            service: service(to),
            weight: 1,
        }],
        target: Duration::from_millis(600),
        timeout: Duration::from_millis(1200),
    }
}

fn document(number: u64, routes: Vec<Route>) -> Document {
    let spec = ServiceSpec {
        connections_max: 120,
        ..ServiceSpec::default()
    };
    Document {
        accounts: BTreeMap::new(),
        limits: Limits::default(),
        needs_key: false,
        number: Number::new(number),
        routes: routes
            .into_iter()
            .map(|route| (route.name.clone(), Arc::new(route)))
            .collect(),
        services: [(service("desk"), spec.clone()), (service("hub"), spec)].into(),
    }
}

#[test]
fn longest_prefix_of_whole_segments_wins() {
    let index = Index::new(&document(
        1,
        vec![
            route("all", "/", "desk"),
            route("crew", "/crew/", "hub"),
            route("board", "/crew/board/", "desk"),
        ],
    ));
    let find = |path: &str| {
        index
            .find_route("desk.example", path)
            .map(|route| route.name.clone())
    };
    insta::assert_debug_snapshot!([
        find("/crew/board/7"),
        find("/crew/boards"),
        find("/crew/7"),
        find("/crew"),
        find("/"),
        find("other"),
    ]);
    assert!(index.find_route("hub.example", "/crew/7").is_none());
}

#[test]
fn faulty_documents_are_refused_whole() {
    let mut no_weight = route("r", "/r/", "desk");
    no_weight.shares[0].weight = 0;
    let mut no_attempts = route("r", "/r/", "desk");
    no_attempts.max_attempts = 0;
    let faults: Vec<Fault> = [
        vec![no_weight],
        vec![no_attempts],
        vec![route("r", "/r", "desk")],
        vec![route("r", "/r/", "nobody")],
        vec![route("a", "/r/", "desk"), route("b", "/r/", "hub")],
    ]
    .into_iter()
    .map(|routes| document(1, routes).validate().unwrap_err())
    .collect();
    insta::assert_debug_snapshot!(faults);
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("r", "/r/", "desk");
    split.shares[0].weight = 90;
    split.shares.push(Share {
        service: service("hub"),
        weight: 10,
    });
    let hub = service("hub");
    let at = |part: u32| split.choose_service(f64::from(part) / 1000.0);
    let moved = (0..1000).filter(|part| at(*part) == Some(&hub)).count();
    assert_eq!(moved, 100);
}

#[test]
fn difference_from_another_document_is_rejected() {
    let first = document(3, vec![route("a", "/a/", "desk")]);
    let second = document(5, vec![route("a", "/a/", "hub")]);
    let step = first.delta_to(&second);
    let elsewhere = document(4, vec![route("b", "/b/", "desk")]);
    assert_eq!(
        elsewhere.apply(&step).unwrap_err(),
        Fault::Mismatch(Number::new(5))
    );
    let mut altered = first.clone();
    altered
        .routes
        .insert("c".into(), Arc::new(route("c", "/c/", "hub")));
    assert_eq!(
        altered.apply(&step).unwrap_err(),
        Fault::Mismatch(Number::new(5))
    );
}

fn routes() -> impl Strategy<Value = Vec<Route>> {
    let route = (0..12_u8, prop_oneof![Just("desk"), Just("hub")], 1..5_u32).prop_map(
        |(name, to, attempts)| {
            let mut made = route(&format!("r{name}"), &format!("/p{name}/"), to);
            made.max_attempts = attempts;
            made
        },
    );
    prop::collection::vec(route, 0..12)
}

proptest! {
    #[test]
    fn difference_produces_the_later_document(before in routes(), after in routes()) {
        let (before, after) = (document(1, before), document(9, after));
        prop_assert_eq!(before.apply(&before.delta_to(&after)).unwrap(), after);
    }
}
