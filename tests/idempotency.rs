//! Tests that requests with an idempotency key run at most once.

use {
    crate::{
        caller::{Caller, Reply, SERVICE, VERSION, start_mesh},
        standin::upstream::Faults,
        test_mesh::{TestMesh, eventually},
    },
    bytes::Bytes,
    mulberryshelf::{
        member::{Contact, Offer, Record, State},
        refusal::Reason,
        traffic::{
            admission::Ticket,
            idempotency::{
                ANSWERS_BYTES_MAX, Action, Answer, BODY_BYTES_MAX, KEY_RETENTION, KEYS_MAX, Key,
                KeyStore, KeyedRequest,
            },
            owner::{Owners, SETTLE_TIME, VANISHED_TIMEOUT},
        },
        types::{Host, Moment, Service},
        wire::Failure,
    },
    proptest::prelude::*,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

const START: Moment = Moment(1_000_000_000_000);

fn at(seconds: u64) -> Moment {
    START + Duration::from_secs(seconds)
}

fn service() -> Service {
    SERVICE.parse().unwrap()
}

fn call(key: &str, first_sent: Option<Moment>, ticket: u64) -> KeyedRequest {
    KeyedRequest {
        fingerprint: 1,
        first_sent,
        key: Key::new(&service(), key),
        owner_since: Some(START),
        ticket: Ticket(ticket),
    }
}

fn answer(bytes: usize) -> Arc<Answer> {
    Arc::new(Answer {
        body: Bytes::from(vec![b'x'; bytes]),
        headers: Vec::new(),
        status: 200,
    })
}

fn unknown(reason: Reason) -> Action {
    Action::Fail(Failure::Unknown(reason))
}

#[test]
fn key_runs_once_and_duplicates_get_the_same_answer() {
    let mut keys = KeyStore::default();
    let sent = Some(at(100));
    let first = call("k", sent, 1);
    assert_eq!(keys.begin(at(100), first), Action::Run);
    assert_eq!(keys.begin(at(101), call("k", sent, 2)), Action::Join);
    assert_eq!(
        keys.finish(at(102), first.key, Ok(Some(answer(3)))),
        [Ticket(2)]
    );
    assert_eq!(
        keys.begin(at(103), call("k", sent, 3)),
        Action::Answer(answer(3))
    );
    let other = KeyedRequest {
        fingerprint: 2,
        ..call("k", sent, 4)
    };
    let reused = Action::Fail(Failure::NotRun(Reason::KeyReused));
    assert_eq!(keys.begin(at(103), other), reused);
}

#[test]
fn key_may_run_again_only_if_its_request_was_not_run() {
    let mut keys = KeyStore::default();
    let first = call("k", Some(at(100)), 1);
    keys.begin(at(100), first);
    keys.finish(at(101), first.key, Err(Failure::NotRun(Reason::Overloaded)));
    assert_eq!(keys.begin(at(102), first), Action::Run);
    keys.finish(at(103), first.key, Err(Failure::Unknown(Reason::Lost)));
    assert_eq!(keys.begin(at(104), first), unknown(Reason::Lost));
}

#[test]
fn owner_never_runs_a_request_first_sent_before_its_ownership() {
    let mut keys = KeyStore::default();
    for sent in [Some(at(0)), Some(at(1)), None, Some(at(500))] {
        let action = keys.begin(at(100), call("k", sent, 1));
        assert_eq!(action, unknown(Reason::OwnerChanged), "{sent:?}");
    }
    assert_eq!(keys.begin(at(100), call("k", Some(at(99)), 1)), Action::Run);
    let long = KEY_RETENTION.as_secs() + 1;
    assert_eq!(keys.begin(at(long), call("no time", None, 1)), Action::Run);
}

#[test]
fn key_that_is_no_longer_remembered_is_unknown() {
    let mut keys = KeyStore::default();
    let first = call("k", Some(at(100)), 1);
    keys.begin(at(100), first);
    keys.finish(at(100), first.key, Ok(Some(answer(3))));
    let late = at(101 + KEY_RETENTION.as_secs());
    assert_eq!(keys.begin(late, first), unknown(Reason::KeyExpired));
    assert!(keys.is_empty());
}

#[test]
fn memory_is_bounded_and_no_key_runs_twice_when_it_is_full() {
    let mut keys = KeyStore::default();
    for index in 0..KEYS_MAX {
        let call = call(&index.to_string(), Some(at(100)), 1);
        assert_eq!(keys.begin(at(100), call), Action::Run);
        keys.finish(at(100), call.key, Ok(Some(answer(BODY_BYTES_MAX))));
    }
    let full = Action::Fail(Failure::NotRun(Reason::KeysFull));
    assert_eq!(keys.begin(at(101), call("more", Some(at(101)), 1)), full);
    let oldest = keys.begin(at(101), call("0", Some(at(100)), 1));
    assert_eq!(oldest, unknown(Reason::AlreadyRan));
    let kept = (0..KEYS_MAX)
        .map(|index| keys.begin(at(101), call(&index.to_string(), Some(at(100)), 1)))
        .filter(|action| matches!(action, Action::Answer(_)))
        .count();
    assert_eq!(kept, ANSWERS_BYTES_MAX / BODY_BYTES_MAX);
}

fn record(host: &str, state: State, incarnation: Moment) -> Record {
    Record {
        contact: Contact {
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "luzon-a".parse().unwrap(),
            host: host.parse().unwrap(),
            region: "luzon".parse().unwrap(),
        },
        incarnation,
        offer: Some(Offer {
            address: "127.0.0.1:2".parse().unwrap(),
            connections_max: 120,
            service: service(),
            slots: 12,
            version: VERSION.parse().unwrap(),
        }),
        sequence: 1,
        state,
    }
}

/// Returns on which side of the simulated partition a host is.
fn side(host: &Host) -> bool {
    host.as_str() < "h2"
}

/// The hosts of the service. Each remembers the keys that it owns according to its own view.
#[derive(Default)]
struct Hosts {
    partitioned: bool,
    key_stores: BTreeMap<Host, KeyStore>,
    records: BTreeMap<Host, Record>,
    views: BTreeMap<Host, Owners>,
}

impl Hosts {
    /// Changes the state of a host and updates the views of the hosts that `informed` selects.
    fn change(&mut self, now: Moment, name: &str, state: State, informed: impl Fn(&Host) -> bool) {
        let host: Host = name.parse().unwrap();
        let before = self.records.get(&host).cloned();
        let started = before.as_ref().map_or(now, |before| before.incarnation);
        let record = record(name, state, started);
        self.records.insert(host.clone(), record.clone());
        if before.is_none() {
            let mut view = Owners::default();
            for known in self.records.values() {
                view.update(now, None, known);
            }
            self.views.insert(host.clone(), view);
            self.key_stores.insert(host.clone(), KeyStore::default());
        }
        for (other, view) in &mut self.views {
            if informed(other) {
                view.update(now, before.as_ref(), &record);
            }
        }
    }

    /// Starts or ends the partition between the two sides.
    fn set_partitioned(&mut self, now: Moment, partitioned: bool) {
        self.partitioned = partitioned;
        let (before, after) = if partitioned {
            (State::Ready, State::Gone)
        } else {
            (State::Gone, State::Ready)
        };
        for (by, view) in &mut self.views {
            for host in self.records.keys().filter(|host| side(host) != side(by)) {
                let record = |state| record(host.as_str(), state, START);
                view.update(now, Some(&record(before)), &record(after));
            }
        }
    }

    /// Sends a request from a host and returns what the owner of its key decides.
    fn send(&mut self, now: Moment, by: &str, key: &str, first_sent: Moment) -> Action {
        let by: Host = by.parse().unwrap();
        let Some(owner) = self.views[&by].owner(now, &service(), key).cloned() else {
            return Action::Fail(Failure::NotRun(Reason::NoEndpoint));
        };
        let separated = self.partitioned && side(&by) != side(&owner);
        if separated || self.records[&owner].state == State::Gone {
            return unknown(Reason::OwnerUnreachable);
        }
        let owner_since = self.views[&owner].sole_owner_since(now, &service(), key, &owner);
        let call = KeyedRequest {
            owner_since,
            ..call(key, Some(first_sent), 1)
        };
        let keys = self.key_stores.get_mut(&owner).unwrap();
        let action = keys.begin(now, call);
        if action == Action::Run {
            keys.finish(now, call.key, Ok(Some(answer(1))));
        }
        action
    }
}

proptest! {
    #[test]
    fn no_key_runs_twice_while_hosts_join_leave_and_vanish(
        steps in prop::collection::vec((0_u64..20, 0_usize..6, 0_u8..8, 0_usize..6), 1..60)
    ) {
        let names = ["h0", "h1", "h2", "h3", "h4", "h5"];
        let mut hosts = Hosts::default();
        for name in &names[..4] {
            hosts.change(at(0), name, State::Ready, |_| true);
        }
        let mut now = at(100);
        let mut first_sent: BTreeMap<usize, Moment> = BTreeMap::new();
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        for (pause, host, action, key) in steps {
            now = now + Duration::from_secs(pause);
            let name = names[host];
            let state = hosts.records.get(&name.parse::<Host>().unwrap()).map(|record| record.state);
            match (action, state) {
                (0, None) => hosts.change(now, name, State::Ready, |_| true),
                (1, Some(State::Ready)) => hosts.change(now, name, State::Draining, |_| true),
                (2, Some(State::Ready)) => hosts.change(now, name, State::Gone, |_| true),
                (_, Some(State::Ready)) => {
                    let sent = *first_sent.entry(key).or_insert(now);
                    let action = hosts.send(now, name, &format!("key-{key}"), sent);
                    *runs.entry(key).or_default() += u32::from(action == Action::Run);
                }
                _ => {}
            }
        }
        prop_assert!(runs.values().all(|runs| *runs <= 1), "{runs:?}");
    }
}

proptest! {
    #[test]
    fn no_key_runs_twice_during_a_partition(
        steps in prop::collection::vec((0_u64..200, 0_usize..4, 0_usize..6), 1..40),
        partition_at in 0_usize..20,
        healed_after in 1_u64..1700,
    ) {
        let names = ["h0", "h1", "h2", "h3"];
        let mut hosts = Hosts::default();
        for name in names {
            hosts.change(at(0), name, State::Ready, |_| true);
        }
        let (mut now, mut heal_at) = (at(100), None);
        let mut first_sent: BTreeMap<usize, Moment> = BTreeMap::new();
        let mut runs: BTreeMap<usize, u32> = BTreeMap::new();
        for (index, (pause, by, key)) in steps.into_iter().enumerate() {
            now = now + Duration::from_secs(pause);
            if index == partition_at {
                hosts.set_partitioned(now, true);
                heal_at = Some(now + Duration::from_secs(healed_after));
            }
            if heal_at.is_some_and(|heal_at| now >= heal_at) {
                hosts.set_partitioned(now, false);
                heal_at = None;
            }
            let sent = *first_sent.entry(key).or_insert(now);
            let action = hosts.send(now, names[by], &format!("key-{key}"), sent);
            *runs.entry(key).or_default() += u32::from(action == Action::Run);
        }
        prop_assert!(runs.values().all(|runs| *runs <= 1), "{runs:?}");
    }
}

#[test]
fn host_that_vanished_keeps_its_keys_until_the_timeout() {
    let mut hosts = Hosts::default();
    for name in ["h0", "h1", "h2"] {
        hosts.change(at(0), name, State::Ready, |_| true);
    }
    let owned = |hosts: &Hosts, now: Moment, key: &str| {
        hosts.views[&"h0".parse().unwrap()]
            .owner(now, &service(), key)
            .cloned()
    };
    let h1: Host = "h1".parse().unwrap();
    let key = (0..).map(|index| index.to_string());
    let key = key
        .into_iter()
        .find(|key| owned(&hosts, at(50), key) == Some(h1.clone()))
        .unwrap();
    hosts.change(at(100), "h1", State::Gone, |_| true);
    let action = hosts.send(at(110), "h0", &key, at(110));
    assert_eq!(action, unknown(Reason::OwnerUnreachable));
    let later = at(101 + VANISHED_TIMEOUT.as_secs());
    let action = hosts.send(later, "h0", &key, at(110));
    assert_eq!(action, unknown(Reason::OwnerChanged));
    let fresh = later + SETTLE_TIME;
    assert_eq!(hosts.send(fresh, "h0", &key, fresh), Action::Run);
}

#[test]
fn key_owner_does_not_depend_on_the_version() {
    let mut hosts = Hosts::default();
    hosts.change(at(0), "h0", State::Ready, |_| true);
    let view = &hosts.views[&"h0".parse().unwrap()];
    assert!(view.owner(at(1), &service(), "k").is_some());
    assert!(view.owner(at(1), &"other".parse().unwrap(), "k").is_none());
}

fn runs(test: &TestMesh, id: &str) -> u64 {
    test.hosts.iter().map(|host| host.upstream.runs(id)).sum()
}

fn keyed(test: &TestMesh, by: usize, key: &str, first_sent: u128) -> Caller {
    Caller::post(test.hosts[by].node.proxy_address(), key, "crew 7")
        .header("idempotency-key", key)
        .header("x-mulberry-first-sent-ms", &first_sent)
}

fn unix_millis() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis()
}

fn status_and_body(reply: &Reply) -> (u16, &str) {
    (reply.status, &reply.body)
}

#[tokio::test(flavor = "multi_thread")]
async fn key_that_is_sent_again_to_any_node_runs_once() {
    let test = start_mesh(3).await;
    let early = keyed(&test, 0, "early", unix_millis()).send().await;
    assert_eq!(early.refusal(), (502, "unknown", "owner-changed"));
    assert_eq!(runs(&test, "early"), 0);

    tokio::time::sleep(SETTLE_TIME + Duration::from_millis(2500)).await;
    let sent = unix_millis();
    for by in [0, 1, 2, 3, 0] {
        let reply = keyed(&test, by, "again", sent).send().await;
        assert_eq!(status_and_body(&reply), (200, "crew 7"), "{reply:?}");
    }
    assert_eq!(runs(&test, "again"), 1);

    for host in &test.hosts {
        host.upstream.fail(Faults {
            slow_ms: 300,
            ..Faults::default()
        });
    }
    let mut calls = tokio::task::JoinSet::new();
    for by in 0..4 {
        let caller = keyed(&test, by, "together", unix_millis());
        calls.spawn(async move { caller.send().await });
    }
    for reply in calls.join_all().await {
        assert_eq!(status_and_body(&reply), (200, "crew 7"), "{reply:?}");
    }
    assert_eq!(runs(&test, "together"), 1);

    let sent = unix_millis();
    let caller = keyed(&test, 0, "left", sent);
    let gone = tokio::time::timeout(Duration::from_millis(100), caller.send()).await;
    assert!(gone.is_err());
    eventually(|| runs(&test, "left") == 1).await;
    let reply = keyed(&test, 2, "left", sent).send().await;
    assert_eq!(status_and_body(&reply), (200, "crew 7"), "{reply:?}");
    assert_eq!(runs(&test, "left"), 1);

    for host in &test.hosts {
        host.upstream.fail(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
    }
    for by in 0..4 {
        let reply = keyed(&test, by, "lost", sent).send().await;
        assert_eq!(reply.refusal(), (502, "unknown", "lost"));
    }
    assert_eq!(runs(&test, "lost"), 1);

    let other = keyed(&test, 0, "again", sent)
        .with_body("crew 8")
        .send()
        .await;
    assert_eq!(other.refusal(), (422, "not-run", "key-reused"));
}
