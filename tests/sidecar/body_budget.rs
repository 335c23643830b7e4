use {
    bytes::Bytes,
    mulberryshelf::{
        http1::Body,
        sidecar::body_budget::{BodyBudget, Demand, Limits},
        types::Moment,
    },
};

const MIB: u64 = 1024 * 1024;

#[test]
fn large_bodies_share_the_budget_and_return_their_parts() {
    let budget = BodyBudget::default();
    let (mut first, mut second) = (budget.open(), budget.open());
    assert!(first.try_grow(20 * MIB));
    assert!(!second.try_grow(20 * MIB));
    assert!(second.try_grow(12 * MIB));
    drop(first);
    assert!(second.try_grow(20 * MIB));
}

#[test]
fn small_body_is_held_beside_any_number_of_large_ones() {
    let budget = BodyBudget::default();
    let (mut large, mut small) = (budget.open(), budget.open());
    assert!(large.try_grow(32 * MIB));
    assert!(small.try_grow(24 * 1024));
    assert!(!small.try_grow(MIB));
}

/// The operator allows bodies that are larger than the budget, and they are served one at a time.
#[test]
fn body_larger_than_the_budget_is_held_alone() {
    let budget = BodyBudget::default();
    let (mut huge, mut other) = (budget.open(), budget.open());
    assert!(huge.try_grow(60 * MIB));
    assert!(!other.try_grow(MIB));
    drop(huge);
    assert!(other.try_grow(MIB));
}

/// The size of a chunked body is known only once it has arrived.
#[test]
fn reservation_of_a_chunked_body_grows() {
    let budget = BodyBudget::default();
    let mut chunked = budget.open();
    for received in 1..=32 {
        assert!(chunked.try_grow(received * MIB));
    }
    let mut other = budget.open();
    assert!(!other.try_grow(MIB));
    drop(chunked);
    assert!(other.try_grow(MIB));
}

fn limited() -> BodyBudget {
    BodyBudget::new(Limits {
        alone: 50 * MIB,
        large: 40 * MIB,
        small: 2 * MIB,
    })
}

/// Large bodies that took all memory kept ordinary requests out.
#[test]
fn large_requests_leave_room_for_small_ones() {
    let budget = limited();
    let mut alone = budget.open();
    assert!(alone.try_grow(50 * MIB));
    assert!(!budget.open().try_grow(51 * MIB));
    let mut small: Vec<_> = (0..100).map(|_| budget.open()).collect();
    assert!(small.iter_mut().all(|small| small.try_grow(16 * 1024)));
    drop(alone);
    assert_eq!(budget.held_bytes(), 100 * 16 * 1024);
}

/// Bodies that stay below the size of a large one were not counted, and there may be as many as requests.
#[test]
fn small_requests_are_bounded_together() {
    let budget = limited();
    let mut small: Vec<_> = (0..3000).map(|_| budget.open()).collect();
    let held = small
        .iter_mut()
        .filter_map(|small| small.try_grow(16 * 1024).then_some(()));
    assert_eq!(held.count() as u64, 42 * MIB / (16 * 1024));
    // They use the part of the large ones as well.
    assert!(!budget.open().try_grow(11 * MIB));
}

/// The bodies in the requests of other nodes outlast the tasks that received them.
#[test]
fn body_returns_its_reservation_with_its_last_reference() {
    let budget = limited();
    let mut room = budget.open();
    assert!(room.try_grow(MIB));
    let body = room.attach(Body::from(Bytes::from_static(b"crew 7")));
    let copy = body.clone();
    drop(body);
    assert_eq!(
        (budget.held_bytes(), copy.to_bytes()),
        (MIB, "crew 7".into())
    );
    drop(copy);
    assert_eq!(budget.held_bytes(), 0);
    let mut room = budget.open();
    assert!(room.try_grow(1024));
    let empty = room.attach(Body::default());
    assert_eq!((budget.held_bytes(), empty.len()), (1024, 0));
}

/// All callers of a crowd were asked to return after the same short time, and most were rejected again.
#[test]
fn callers_are_asked_to_return_when_there_may_be_room_for_all() {
    let at = |ms: u64| Moment(1_000_000 + ms * 1000);
    let limits = limited().limits();
    let mut demand = Demand::default();
    let mut reject = |ms, mib| demand.reject(at(ms), mib * MIB, limits).as_millis();
    assert_eq!(reject(0, 20), 300);
    assert_eq!(reject(10, 60), 900);
    assert_eq!(reject(20, 4000), 5000);
    // A small request waits for others that are served, not for all of the large ones.
    assert_eq!(demand.reject(at(30), 16 * 1024, limits).as_millis(), 300);
    let mut reject = |ms, mib| demand.reject(at(ms), mib * MIB, limits).as_millis();
    // The last period counts until this one has more.
    assert_eq!(reject(1200, 1), 5000);
    assert_eq!(reject(5000, 1), 300);
}
