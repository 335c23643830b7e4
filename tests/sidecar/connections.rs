use {
    mulberryshelf::{
        sidecar::connections::{CloseReason, ConnectionId, Connections, Limits, Memory},
        types::Moment,
    },
    std::time::Duration,
};

const LIMITS: Limits = Limits {
    connections_max: 3,
    rate_min: 1024,
    stall: Duration::from_secs(10),
};

fn at(seconds: u64) -> Moment {
    Moment(seconds * 1_000_000)
}

fn admit(table: &mut Connections, now: u64) -> ConnectionId {
    let admission = table.admit(at(now), Duration::from_secs(3)).unwrap();
    assert_eq!(admission.replaced, None);
    admission.id
}

/// Begins to write an answer to a caller.
fn write(table: &mut Connections, now: u64, bytes: u64) -> ConnectionId {
    let id = admit(table, now);
    table.begin(id);
    table.hold(id, bytes);
    table.begin_writing(id, at(now));
    id
}

#[test]
fn new_connection_replaces_the_one_that_is_idle_for_longest() {
    let mut table = Connections::new(LIMITS);
    let ids = [0, 1, 2].map(|now| admit(&mut table, now));
    table.begin(ids[0]);
    table.finish(ids[0], at(5));
    table.begin(ids[1]);
    let replaced = |table: &mut Connections, now| {
        let admission = table.admit(at(now), Duration::from_secs(3))?;
        table.begin(admission.id);
        admission.replaced
    };
    assert_eq!(replaced(&mut table, 6), Some(ids[2]));
    assert_eq!(replaced(&mut table, 7), Some(ids[0]));
    // All are in use.
    assert_eq!(replaced(&mut table, 8), None);
    assert_eq!(table.count(), 3);
}

/// A caller that sends a part of a request and nothing more would hold its place for as long as it likes.
#[test]
fn request_that_does_not_arrive_in_time_gives_up_its_place() {
    let mut table = Connections::new(LIMITS);
    let ids = [0, 1, 2].map(|now| admit(&mut table, now));
    for id in ids {
        table.receive(id, at(2));
    }
    assert_eq!(table.admit(at(5), Duration::from_secs(3)), None);
    let admission = table.admit(at(6), Duration::from_secs(3)).unwrap();
    assert_eq!(admission.replaced, Some(ids[0]));
}

#[test]
fn callers_that_have_read_nothing_for_longest_give_up_their_memory_first() {
    let mut table = Connections::new(LIMITS);
    let [first, second, third] = [0, 1, 2].map(|now| write(&mut table, now, 100));
    table.record_written(first, at(4), 40);
    let unread = Duration::from_secs(1);
    assert_eq!(
        table.relieve(at(5), Memory::Answers, 150, unread),
        [second, third]
    );
    // What they release is not asked of others again.
    assert_eq!(table.relieve(at(5), Memory::Answers, 200, unread), []);
    table.remove(second);
    table.remove(third);
    assert_eq!(table.relieve(at(5), Memory::Answers, 10, unread), [first]);
}

#[test]
fn caller_that_reads_meanwhile_is_kept() {
    let mut table = Connections::new(LIMITS);
    let id = write(&mut table, 0, 100);
    table.record_written(id, at(5), 1);
    assert_eq!(
        table.relieve(at(5), Memory::Answers, 100, Duration::from_millis(250)),
        []
    );
}

#[test]
fn callers_that_read_too_slowly_are_disconnected() {
    let mut table = Connections::new(LIMITS);
    let [stalled, slow, steady] = [0, 0, 0].map(|now| write(&mut table, now, 1_000_000));
    for now in 1..10 {
        table.record_written(slow, at(now), 1000);
        table.record_written(steady, at(now), 1200);
        assert_eq!(table.tick(at(now)), []);
    }
    let closed = table.tick(at(10));
    assert_eq!(
        closed,
        [(stalled, CloseReason::Stalled), (slow, CloseReason::Slow)]
    );
    assert_eq!(table.tick(at(11)), []);
    // An answer that is not yet available is no fault of its caller.
    table.finish(steady, at(12));
    assert_eq!(table.tick(at(40)), []);
}

#[test]
fn connection_is_idle_only_without_its_own_requests() {
    let mut table = Connections::new(LIMITS);
    let [idle, busy] = [1, 2].map(|now| admit(&mut table, now));
    table.begin(busy);
    assert_eq!(table.idle_since(idle), Some(at(1)));
    assert_eq!(table.idle_since(busy), None);
    table.finish(busy, at(9));
    assert_eq!(table.idle_since(busy), Some(at(9)));
}

/// Begins to send a request, of which a part has arrived.
fn send(table: &mut Connections, now: u64, bytes: u64) -> ConnectionId {
    let id = admit(table, now);
    table.receive(id, at(now));
    table.grow_request(id, at(now), bytes);
    id
}

/// Callers stopped just short of the end of their bodies and kept all memory for requests.
#[test]
fn callers_that_have_sent_nothing_for_longest_are_closed_for_memory() {
    let mut table = Connections::new(LIMITS);
    let (first, second) = (send(&mut table, 0, 100), send(&mut table, 1, 100));
    let third = send(&mut table, 2, 100);
    table.grow_request(first, at(4), 200);
    let stalled = Duration::from_secs(2);
    let memory = Memory::Requests;
    assert_eq!(table.relievable_bytes(at(5), memory, stalled), 200);
    assert_eq!(table.relieve(at(5), memory, 150, stalled), [second, third]);
    // Both return their memory once they are closed.
    assert_eq!(table.relieve(at(5), memory, 200, stalled), []);
    assert_eq!(table.relieve(at(7), memory, 300, stalled), [first]);
}

/// A request that has arrived is served, so its connection isn't closed for the memory that it takes.
#[test]
fn request_that_has_arrived_does_not_count_as_one_that_stalls() {
    let mut table = Connections::new(LIMITS);
    let id = send(&mut table, 0, 100);
    table.begin(id);
    let relieved = table.relieve(at(9), Memory::Requests, 100, Duration::from_secs(1));
    assert_eq!(relieved, []);
}
