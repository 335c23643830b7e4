//! Benchmarks of the decisions made for every request, at the size that the mesh is designed for:
//! choosing an endpoint and recording the result of its attempt, admitting a request to an upstream,
//! and checking a request body against the quarantine. See docs/design/requests.md.

use {
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        resource::{Change, Key, Kind, Limits, Route, Spec, VersionSpec},
        snapshot::Snapshot,
        traffic::{
            Query, Router,
            admission::{Limit, Queue, Ticket},
            endpoint::Load,
            outcome,
            quarantine::{Fingerprint, Quarantine},
        },
        types::{Moment, Permille, Revision},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const SERVICES: usize = 1000;
/// The endpoints of each service.
const ENDPOINTS: usize = 14;

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    for service in 0..SERVICES {
        let name: mulberryshelf::types::Name = format!("service-{service}").parse().unwrap();
        let version = Spec::Version(VersionSpec {
            service: name.clone().into(),
        });
        let route = Spec::Route(Route {
            path: "/".into(),
            service: name.clone().into(),
            shares: BTreeMap::from([(name.clone().into(), Permille::WHOLE)]),
        });
        for (kind, spec) in [(Kind::Version, version), (Kind::Route, route)] {
            let name = name.clone();
            snapshot.apply_change(Revision(1), &Change::Put(Key { kind, name }, spec));
        }
    }
    snapshot
}

fn record(service: usize, endpoint: usize) -> Record {
    let address = "127.0.0.1:1".parse().unwrap();
    let name = format!("service-{service}");
    Record {
        contact: Contact {
            address,
            domain: format!("domain-{}", endpoint % 3).parse().unwrap(),
            host: format!("host-{service}-{endpoint}").parse().unwrap(),
            region: "luzon".parse().unwrap(),
        },
        incarnation: Moment(1),
        offer: Some(Offer {
            address,
            connections_max: 120,
            service: name.parse().unwrap(),
            slots: 12,
            version: name.parse().unwrap(),
        }),
        sequence: 1,
        state: State::Ready,
    }
}

fn router() -> Router {
    let mut router = Router::new("domain-0".parse().unwrap(), "luzon".parse().unwrap(), 7);
    router.install(Arc::new(snapshot()));
    let services = 0..SERVICES;
    let records = services.flat_map(|service| (0..ENDPOINTS).map(move |at| record(service, at)));
    router.apply_membership(Moment(0), records.collect());
    router
}

fn bench_choice(criterion: &mut Criterion) {
    let mut router = router();
    let service = "service-500".parse().unwrap();
    let mut now = Moment(1_000_000);
    criterion.bench_function("choose and finish", |bencher| {
        bencher.iter(|| {
            now = now + Duration::from_micros(20);
            let query = Query {
                avoid: &[],
                id: "7d5b6a2f0c9e4d318a1f5b7c9d2e4f60",
                path: "/assign",
                service: &service,
            };
            let choice = router.choose(now, query).unwrap();
            let load = Some(Load::default());
            router.finish(now, &choice, outcome::Kind::Success, load);
            choice
        });
    });
}

fn bench_admission(criterion: &mut Criterion) {
    let mut queue = Queue::new(Limit::Fixed);
    queue.set_limits(12, &Limits::default());
    let mut ticket = 0;
    let now = Moment(1_000_000);
    criterion.bench_function("admit and finish", |bencher| {
        bencher.iter(|| {
            ticket += 1;
            let actions = queue.arrive(now, Ticket(ticket), now + Duration::from_secs(1));
            queue.finish(now, Some(Duration::from_millis(20)));
            actions
        });
    });
}

fn bench_quarantine(criterion: &mut Criterion) {
    let body = vec![b'x'; 1000];
    let mut quarantine = Quarantine::default();
    criterion.bench_function("fingerprint of 1 kB and quarantine", |bencher| {
        bencher.iter_batched(
            || body.clone(),
            |body| {
                let fingerprint = Fingerprint::new("dispatch-hub", "POST", "/assign", &body);
                quarantine.check(Moment(1), fingerprint)
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, bench_choice, bench_admission, bench_quarantine);
criterion_main!(benches);
