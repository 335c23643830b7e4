use {
    mulberryshelf::sidecar::{
        document::Order,
        history::{Epoch, Position},
        rollout::{Orders, Phase, Reading},
        store::RolloutRecord,
    },
    std::time::Duration,
};

fn at(epoch: u64, version: u64) -> Position {
    Position {
        epoch: Some(Epoch(epoch)),
        version,
    }
}

fn order(to: &str, mark: Position) -> Order {
    Order {
        duration: Duration::from_secs(5),
        mark,
        service: "desk".parse().unwrap(),
        to: to.parse().unwrap(),
    }
}

fn record(to: &str, mark: Position) -> RolloutRecord {
    RolloutRecord {
        elapsed: Duration::ZERO,
        mark,
        phase: Phase::RolledBack,
        service: "desk".parse().unwrap(),
        to: to.parse().unwrap(),
    }
}

#[test]
fn positions_of_a_later_epoch_come_after_all_of_an_earlier_one() {
    let unstated = Position {
        epoch: None,
        version: 900,
    };
    assert!(unstated < at(0, 100) && at(0, 100) < at(1, 2));
    for position in [unstated, at(3, 40)] {
        assert_eq!(position.to_string().parse(), Ok(position));
    }
}

#[test]
fn order_is_known_until_a_later_one_is_written() {
    let (mut orders, known) = (Orders::default(), [order("v2", at(0, 100))]);
    for mark in [at(0, 90), at(0, 100)] {
        let reading = orders.identify(order("v2", mark), &known, &[]);
        assert_eq!(reading, Reading::Known);
    }
    let again = order("v2", at(0, 101));
    let reading = orders.identify(again.clone(), &known, &[]);
    assert_eq!(reading, Reading::New(again));
}

/// A rollout would run twice, as the order that is written again after a restore has another version.
#[test]
fn order_that_is_written_again_after_a_restore_is_the_known_one_once() {
    for version in [40, 100, 160] {
        let (mut orders, known) = (Orders::default(), [order("v2", at(0, 100))]);
        let survived = order("v2", at(1, 100));
        if version > 100 {
            assert_eq!(orders.identify(survived, &known, &[]), Reading::Known);
        }
        let again = order("v2", at(1, version));
        let expected = if version == 100 {
            Reading::Known
        } else {
            Reading::Repeated(known[0].clone())
        };
        assert_eq!(orders.identify(again.clone(), &known, &[]), expected);
        assert_eq!(orders.identify(again, &known, &[]), Reading::Known);
        if version != 100 {
            let later = order("v2", at(1, version + 1));
            let reading = orders.identify(later.clone(), &known, &[]);
            assert_eq!(reading, Reading::New(later));
        }
    }
}

#[test]
fn order_is_the_known_one_after_each_of_two_restores() {
    let (mut orders, known) = (Orders::default(), [order("v2", at(0, 100))]);
    for epoch in 1..3 {
        let reading = orders.identify(order("v2", at(epoch, 40)), &known, &[]);
        assert_eq!(reading, Reading::Repeated(known[0].clone()));
    }
}

#[test]
fn other_order_after_a_restore_is_new_whatever_its_version() {
    for version in [40, 100, 160] {
        let (mut orders, known) = (Orders::default(), [order("v2", at(0, 100))]);
        let other = order("v3", at(1, version));
        let reading = orders.identify(other.clone(), &known, &[]);
        assert_eq!(reading, Reading::New(other));
    }
}

/// The store has an order again that was carried out before a later one, which it has lost.
#[test]
fn earlier_order_that_comes_back_is_known_by_its_record_or_from_memory() {
    let (mut orders, known) = (Orders::default(), [order("v2", at(0, 100))]);
    let back = order("v3", at(1, 50));
    let records = [record("v3", at(0, 50))];
    assert_eq!(
        orders.identify(back.clone(), &known, &records),
        Reading::Known
    );
    orders.replace(order("v3", at(0, 50)));
    let overwritten = [record("v2", at(0, 100))];
    assert_eq!(orders.identify(back, &known, &overwritten), Reading::Known);
}

/// A node that has just started knows of an order by the store's record only.
#[test]
fn recorded_order_keeps_its_position_across_a_restore() {
    let records = [record("v2", at(0, 100))];
    for version in [40, 100] {
        let mut orders = Orders::default();
        let reading = orders.identify(order("v2", at(1, version)), &[], &records);
        assert_eq!(reading, Reading::New(order("v2", at(0, 100))));
    }
    let other = order("v3", at(1, 40));
    let reading = Orders::default().identify(other.clone(), &[], &records);
    assert_eq!(reading, Reading::New(other));
}

/// One of two readers had not known the lost order and took the earlier one, which the store has again, for new.
#[test]
fn order_is_recognised_by_what_peers_know_of_it() {
    let mut orders = Orders::default();
    let known = [order("v3", at(1, 50)), order("v2", at(0, 100))];
    let reading = orders.identify(order("v2", at(1, 60)), &known, &[]);
    assert_eq!(reading, Reading::Repeated(known[1].clone()));
}

/// A node that knew no earlier order took one for new that the leader of its rollout knows from before the restore.
#[test]
fn order_taken_without_an_earlier_one_repeats_the_one_that_is_led_unless_it_is_another() {
    let (taken, led) = (order("v2", at(1, 40)), order("v2", at(0, 100)));
    let mut orders = Orders::default();
    assert!(!orders.recognise_repeated(&taken, &led));
    let reading = orders.identify(taken.clone(), &[], &[]);
    assert_eq!(reading, Reading::New(taken.clone()));
    assert!(!orders.recognise_repeated(&taken, &order("v3", at(0, 100))));
    assert!(!orders.recognise_repeated(&taken, &order("v2", at(2, 30))));
    assert!(orders.recognise_repeated(&taken, &led));
    let later = order("v2", at(1, 41));
    let reading = orders.identify(later.clone(), &[led], &[]);
    assert_eq!(reading, Reading::New(later));
}
