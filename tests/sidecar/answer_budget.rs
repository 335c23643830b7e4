use {bytes::Bytes, mulberryshelf::sidecar::answer_budget::AnswerBudget};

const KIB: u64 = 1024;

#[test]
fn answers_share_the_budget_until_the_last_reference_is_dropped() {
    let budget = AnswerBudget::new(64 * KIB);
    let (mut first, mut second) = (budget.open(), budget.open());
    assert!(first.try_grow(40 * KIB));
    assert!(!second.try_grow(30 * KIB));
    assert_eq!(second.missing_bytes(30 * KIB), 6 * KIB);
    let body = first.attach(Bytes::from_static(b"answer"));
    let part = body.slice(2..);
    drop(body);
    assert_eq!(budget.held_bytes(), 40 * KIB);
    assert_eq!(part, &b"swer"[..]);
    drop(part);
    assert!(second.try_grow(30 * KIB));
}

/// An answer may be longer than a small budget, and is served when there is no other.
#[test]
fn answer_larger_than_the_budget_has_room_alone() {
    let budget = AnswerBudget::new(64 * KIB);
    let (mut long, mut other) = (budget.open(), budget.open());
    assert!(long.try_grow(2000 * KIB));
    assert!(!other.try_grow(1));
    assert_eq!(other.missing_bytes(1), 1936 * KIB + 1);
    drop(long);
    assert!(other.try_grow(1));
}

/// A chunked answer grows while it is received; what it holds already is not counted against it.
#[test]
fn share_grows_and_may_exceed_the_budget_only_if_told_to() {
    let budget = AnswerBudget::new(64 * KIB);
    let mut chunked = budget.open();
    for received in 1..=64 {
        assert!(chunked.try_grow(received * KIB));
    }
    assert_eq!(budget.excess_bytes(), 0);
    let held = budget.hold(10 * KIB);
    assert_eq!(budget.excess_bytes(), 10 * KIB);
    assert!(!chunked.try_grow(65 * KIB));
    assert!(chunked.try_grow(64 * KIB));
    drop((held, chunked));
    assert_eq!(budget.held_bytes(), 0);
}
