use {
    mulberryshelf::{sidecar::freshness::Freshness, types::Moment},
    std::time::Duration,
};

const START: Moment = Moment(1_000_000_000);

fn after(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn fresh() -> Freshness {
    let mut freshness = Freshness::default();
    freshness.begin(START);
    freshness
}

#[test]
fn announced_reads_of_the_store_keep_a_node_from_reading_it() {
    let mut freshness = fresh();
    for step in 1..20 {
        let now = after(step * 500);
        assert!(!freshness.is_stale(now));
        assert!(!freshness.replaces_readers(now, || 0));
        freshness.confirm_by_peer(now, ms(20));
    }
}

/// Only the first nodes read the store in place of silent readers, unless it is away for these too.
#[test]
fn nodes_replace_silent_readers_one_after_the_other() {
    let freshness = fresh();
    let due = |rank| {
        let mut times = 0..100;
        times.find(|step| freshness.replaces_readers(after(step * 50), || rank))
    };
    assert_eq!([0, 1, 2, 10].map(due), [20, 22, 24, 40].map(Some));
}

/// An announcement that was read late, as its receiver was frozen, confirms nothing for the time since it was made.
#[test]
fn old_confirmation_does_not_count_from_its_arrival() {
    let mut freshness = fresh();
    freshness.confirm_by_peer(after(5_000), ms(4_000));
    assert!(freshness.is_stale(after(5_000)));
    freshness.confirm_by_store(after(5_000), ms(900));
    assert!(!freshness.is_stale(after(5_000)));
    assert!(freshness.is_stale(after(5_100)));
}

/// A node that reads the store in place of the readers goes on until another node confirms the document.
#[test]
fn own_read_does_not_end_the_replacement_of_the_readers() {
    let mut freshness = fresh();
    freshness.confirm_by_store(after(1_200), ms(10));
    assert!(!freshness.is_stale(after(1_200)));
    assert!(freshness.replaces_readers(after(1_200), || 0));
    freshness.confirm_by_peer(after(1_300), ms(10));
    assert!(!freshness.replaces_readers(after(1_300), || 0));
}

#[test]
fn failed_read_is_repeated_after_two_seconds() {
    let mut freshness = fresh();
    freshness.record_failure(after(1_000));
    assert!(!freshness.replaces_readers(after(2_900), || 0));
    assert!(freshness.replaces_readers(after(3_000), || 0));
}

#[test]
fn first_reader_announces_and_others_take_over_from_a_silent_one() {
    let mut freshness = fresh();
    assert!(freshness.try_announce(after(10), true));
    assert!(!freshness.try_announce(after(300), true));
    assert!(freshness.try_announce(after(500), true));
    let mut second = fresh();
    second.confirm_by_peer(after(500), ms(0));
    assert!(!second.try_announce(after(1_000), false));
    assert!(second.try_announce(after(1_300), false));
}
