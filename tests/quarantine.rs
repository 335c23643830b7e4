//! Tests that a request that crashes upstreams crashes at most two of them, and that no other
//! request is refused because of it.

use {
    crate::{
        caller::{Caller, start_mesh},
        standin::upstream::Faults,
        test_mesh::{TestMesh, eventually},
    },
    mulberryshelf::{
        traffic::{
            admission::Ticket,
            quarantine::{
                Crash, Fingerprint, Quarantine, STRIKE_RETENTION, Strike, TRIAL_DELAYS, Verdict,
            },
        },
        types::Moment,
    },
    std::time::Duration,
};

const NOW: Moment = Moment(1_000_000);
const POISON: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);

fn strike(fingerprint: Fingerprint, crashes: &[u64]) -> Strike {
    repeated_strike(fingerprint, crashes, &[])
}

fn repeated_strike(fingerprint: Fingerprint, crashes: &[u64], repeated: &[u64]) -> Strike {
    let list = |ids: &[u64]| ids.iter().copied().map(Crash).collect();
    Strike {
        cleared: Vec::new(),
        crashes: list(crashes),
        fingerprint,
        repeated: list(repeated),
    }
}

#[test]
fn second_crash_quarantines_a_request() {
    let mut quarantine = Quarantine::default();
    quarantine.begin(Ticket(1), POISON);
    let strikes = quarantine.record_crash_during(NOW, Crash(1), Ticket(1));
    assert_eq!(strikes, [strike(POISON, &[1])]);
    assert!(!quarantine.check(NOW, POISON));
    quarantine.merge(NOW, strike(POISON, &[2]));
    assert!(quarantine.check(NOW, POISON));
    assert!(!quarantine.check(NOW, OTHER));
}

#[test]
fn crash_that_is_reported_twice_counts_once() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(NOW, strike(POISON, &[1]));
    quarantine.merge(NOW, strike(POISON, &[1]));
    assert!(!quarantine.check(NOW, POISON));
}

#[test]
fn strikes_of_two_nodes_add_up_in_either_order() {
    for crashes in [[1, 2], [2, 1]] {
        let mut quarantine = Quarantine::default();
        quarantine.merge(NOW, strike(POISON, &crashes[..1]));
        quarantine.merge(NOW, strike(POISON, &crashes[1..]));
        assert!(quarantine.check(NOW, POISON));
    }
}

#[test]
fn requests_beside_a_struck_one_are_not_blamed() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(NOW, strike(POISON, &[1]));
    quarantine.begin(Ticket(1), POISON);
    quarantine.begin(Ticket(2), OTHER);
    let strikes = quarantine.record_crash_during(NOW, Crash(2), Ticket(2));
    assert_eq!(strikes, [repeated_strike(POISON, &[1, 2], &[2])]);
    assert_eq!(quarantine.record_crash_during(NOW, Crash(3), Ticket(1)), []);
    assert_eq!(quarantine.strike(OTHER), None);
}

#[test]
fn success_clears_a_strike_in_any_order_of_updates() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(NOW, strike(OTHER, &[1]));
    quarantine.begin(Ticket(1), OTHER);
    let cleared = quarantine.finish(NOW, Ticket(1), true).unwrap();
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    for order in orders {
        let told = [strike(OTHER, &[1]), cleared.clone(), strike(OTHER, &[2])];
        let mut elsewhere = Quarantine::default();
        for index in order {
            elsewhere.merge(NOW, told[index].clone());
        }
        assert!(!elsewhere.check(NOW, OTHER), "{order:?}");
        elsewhere.merge(NOW, strike(OTHER, &[3]));
        assert!(elsewhere.check(NOW, OTHER), "{order:?}");
    }
}

#[test]
fn quarantine_lasts_as_long_as_the_request_is_sent_again() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(NOW, strike(POISON, &[1, 2]));
    let later = |part: u32| NOW + STRIKE_RETENTION * part / 2;
    for part in 1..10 {
        assert!(quarantine.check(later(part), POISON));
    }
    assert!(!quarantine.check(later(12) + Duration::from_secs(1), POISON));
}

#[test]
fn request_that_was_cancelled_before_its_upstream_crashed_gets_a_strike() {
    let mut quarantine = Quarantine::default();
    quarantine.begin(Ticket(1), POISON);
    quarantine.begin(Ticket(2), OTHER);
    quarantine.finish(NOW, Ticket(1), false);
    quarantine.finish(NOW, Ticket(2), true);
    let later = NOW + Duration::from_secs(5);
    assert!(quarantine.has_lingering(later));
    let strikes = quarantine.record_crash(later, Crash(1));
    assert_eq!(strikes, [strike(POISON, &[1])]);
    assert!(!quarantine.has_lingering(later));
    assert_eq!(quarantine.record_crash(later, Crash(2)), []);
}

#[test]
fn request_that_was_not_run_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    quarantine.begin(Ticket(1), POISON);
    quarantine.begin(Ticket(2), OTHER);
    quarantine.remove(Ticket(2));
    assert_eq!(
        quarantine.record_crash(NOW, Crash(1)),
        [strike(POISON, &[1])]
    );
}

/// The upstreams at which a request ran crashed at the same moment for a reason of their own. It was
/// refused from then on, at all nodes, for as long as it was asked for.
#[test]
fn request_that_ran_where_upstreams_crashed_together_runs_again_soon() {
    let mut elsewhere = Quarantine::default();
    let mut quarantine = Quarantine::default();
    for (ticket, node) in [(1, &mut quarantine), (2, &mut elsewhere)] {
        node.begin(Ticket(ticket), OTHER);
    }
    for strike in elsewhere.record_crash(NOW, Crash(2)) {
        quarantine.merge(NOW, strike);
    }
    quarantine.record_crash(NOW, Crash(1));
    let left = Some(TRIAL_DELAYS[0]);
    let judged = quarantine.judge(NOW, OTHER, Duration::ZERO);
    assert_eq!(judged, Verdict::Quarantined(left));
    let later = NOW + TRIAL_DELAYS[0];
    assert_eq!(
        quarantine.judge(later, OTHER, Duration::ZERO),
        Verdict::Trial
    );
    assert!(quarantine.try_begin_trial(later, Ticket(3)));
    assert!(!quarantine.try_begin_trial(later, Ticket(4)));
    quarantine.begin(Ticket(3), OTHER);
    let cleared = quarantine.finish(later, Ticket(3), true).unwrap();
    for node in [&mut quarantine, &mut elsewhere] {
        node.merge(later, cleared.clone());
        assert_eq!(node.judge(later, OTHER, Duration::ZERO), Verdict::Allowed);
    }
}

/// Of what ran on upstreams that crash together and soon after each other, a request that has succeeded
/// there before is tried soon. One that is not known to have succeeded is tried late, once.
#[test]
fn request_that_has_never_succeeded_is_tried_late_and_once() {
    let mut quarantine = Quarantine::default();
    quarantine.begin(Ticket(1), OTHER);
    quarantine.finish(NOW, Ticket(1), true);
    for (number, fingerprint) in [(1, OTHER), (2, POISON)] {
        quarantine.merge(NOW, strike(fingerprint, &[1]));
        quarantine.begin(Ticket(10 + number), fingerprint);
    }
    quarantine.record_crash(NOW, Crash(2));
    let judge = |quarantine: &mut Quarantine, after, fingerprint| {
        quarantine.judge(NOW + after, fingerprint, Duration::ZERO)
    };
    let [soon, late] = TRIAL_DELAYS;
    assert_eq!(judge(&mut quarantine, soon, OTHER), Verdict::Trial);
    assert_eq!(
        judge(&mut quarantine, soon, POISON),
        Verdict::Quarantined(Some(late.saturating_sub(soon)))
    );
    assert_eq!(judge(&mut quarantine, late, POISON), Verdict::Trial);
    let tried_at = NOW + late;
    assert!(quarantine.try_begin_trial(tried_at, Ticket(20)));
    quarantine.begin(Ticket(20), POISON);
    quarantine.begin(Ticket(21), Fingerprint(3));
    quarantine.record_crash(tried_at, Crash(3));
    assert_eq!(
        judge(&mut quarantine, late * 10, POISON),
        Verdict::Quarantined(None)
    );
    // What ran beside a trial has no part in its crash.
    assert_eq!(quarantine.strike(Fingerprint(3)), None);
}

/// A trial whose caller has gone may still run and crash its upstream, so no other one begins meanwhile,
/// and its crash counts.
#[test]
fn cancelled_trial_counts_until_it_cannot_run_any_more() {
    let mut quarantine = Quarantine::default();
    quarantine.merge(NOW, strike(POISON, &[1, 2]));
    let tried_at = NOW + TRIAL_DELAYS[0];
    assert!(quarantine.try_begin_trial(tried_at, Ticket(1)));
    quarantine.begin(Ticket(1), POISON);
    quarantine.finish(tried_at, Ticket(1), false);
    assert!(!quarantine.try_begin_trial(tried_at + Duration::from_secs(9), Ticket(2)));
    quarantine.record_crash(tried_at + Duration::from_secs(9), Crash(3));
    let strike = quarantine.strike(POISON).unwrap();
    assert_eq!(strike.repeated, [Crash(3)]);
    let declined = tried_at + Duration::from_secs(30);
    assert!(quarantine.try_begin_trial(declined, Ticket(3)));
    quarantine.finish(declined, Ticket(3), false);
    // A trial that was never sent takes no one's place.
    assert!(quarantine.try_begin_trial(declined, Ticket(4)));
}

fn crashed_upstreams(test: &TestMesh) -> usize {
    let hosts = test.hosts[1..].iter();
    hosts.filter(|host| host.upstream.is_dead()).count()
}

fn crash_on_poison(test: &TestMesh) {
    crash_on_poison_after(test, 0);
}

/// Makes every upstream crash on the poison request, `die_after_ms` after it began to run it.
fn crash_on_poison_after(test: &TestMesh, die_after_ms: u64) {
    for host in &test.hosts {
        host.upstream.fail(Faults {
            die_of: Some("poison".into()),
            die_after_ms,
            ..Faults::default()
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_request_crashes_at_most_two_upstreams_from_any_node() {
    let test = start_mesh(5).await;
    crash_on_poison(&test);
    for round in 0..20 {
        let by = test.hosts[round % 6].node.proxy_address();
        let idempotent = (round % 2 == 0).to_string();
        Caller::post(by, &format!("poison-{round}"), "poison")
            .header("x-mulberry-idempotent", &idempotent)
            .send()
            .await;
    }
    assert_eq!(crashed_upstreams(&test), 2);
    for by in &test.hosts {
        let again = Caller::post(by.node.proxy_address(), "last", "poison")
            .send()
            .await;
        assert_eq!(again.refusal(), (403, "not-run", "quarantined"));
        let other = Caller::post(by.node.proxy_address(), "other", "crew 7")
            .send()
            .await;
        assert_eq!((other.status, other.body.as_str()), (200, "crew 7"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_poison_request_crashes_at_most_two_upstreams() {
    let test = start_mesh(5).await;
    crash_on_poison_after(&test, 100);
    let proxy = test.hosts[0].node.proxy_address();
    for round in 0..20 {
        let poison = Caller::post(proxy, &format!("poison-{round}"), "poison");
        let _ = tokio::time::timeout(Duration::from_millis(50), poison.send()).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        for index in 0..10 {
            let id = format!("other-{round}-{index}");
            Caller::get(proxy, &id).send().await;
        }
    }
    assert_eq!(crashed_upstreams(&test), 2);
}

/// Guards against a crash that stays unnoticed because no other request arrives: only the caller of
/// the poison request sends anything.
#[tokio::test(flavor = "multi_thread")]
async fn crash_of_an_idle_upstream_is_attributed_to_the_cancelled_request() {
    let test = start_mesh(5).await;
    crash_on_poison_after(&test, 100);
    let proxy = test.hosts[0].node.proxy_address();
    for round in 0..10 {
        let poison = Caller::post(proxy, &format!("poison-{round}"), "poison");
        // The caller cancels the request before the upstream crashes.
        let _ = tokio::time::timeout(Duration::from_millis(50), poison.send()).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(crashed_upstreams(&test), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn unrelated_crash_of_an_upstream_quarantines_no_request() {
    let test = start_mesh(4).await;
    let proxy = test.hosts[0].node.proxy_address();
    for host in &test.hosts {
        host.upstream.fail(Faults {
            slow_ms: 200,
            ..Faults::default()
        });
    }
    for killed in [1, 2] {
        let upstream = &test.hosts[killed].upstream;
        let mut calls = tokio::task::JoinSet::new();
        for index in 0..24 {
            let caller = Caller::post(proxy, &format!("{killed}-{index}"), "crew 7");
            calls.spawn(async move { caller.send().await });
        }
        eventually(|| upstream.running() > 0).await;
        upstream.die();
        calls.join_all().await;
        let reply = Caller::post(proxy, "next", "crew 7").send().await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "crew 7"));
    }
    assert_eq!(crashed_upstreams(&test), 2);
}
