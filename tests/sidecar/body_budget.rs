use mulberryshelf::sidecar::body_budget::BodyBudget;

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
