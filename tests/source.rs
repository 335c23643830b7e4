//! Operations are accepted at most once and in one order, and clients' answers match the table.

use {
    crate::{
        standin::platform::{Faults, Platform as Standin},
        test_mesh::{TestMesh, eventually},
    },
    mulberryshelf::{
        platform::{LOG_PREFIX, Platform, Row, Transaction},
        resource::{Change, Key, Kind, Route, Spec, VersionSpec},
        snapshot::{Delta, Snapshot},
        source::{
            Action, BATCH_OPERATIONS_MAX, CallId, Entry, Operation, OperationStatus as Status,
            PAGE, Page, QUEUE_MAX, Query, REQUEST_TIMEOUT, Receipt, SNAPSHOT_GAP_REVISIONS,
            SnapshotRef, Source, TransactionOutcome as Outcome,
        },
        types::{Moment, Permille, Revision},
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const TICK: Duration = Duration::from_millis(50);

fn key(kind: Kind, name: &str) -> Key {
    let name = name.parse().unwrap();
    Key { kind, name }
}

fn version(name: &str) -> Change {
    let service = "desk".parse().unwrap();
    let spec = Spec::Version(VersionSpec { service });
    Change::Put(key(Kind::Version, name), spec)
}

fn route(to: &str) -> Change {
    let spec = Route {
        path: "/".into(),
        service: "desk".parse().unwrap(),
        shares: [(to.parse().unwrap(), Permille::WHOLE)].into(),
    };
    Change::Put(key(Kind::Route, "desk"), Spec::Route(spec))
}

fn operation(id: &str, changes: impl IntoIterator<Item = Change>) -> Operation {
    Operation {
        changes: changes.into_iter().map(|change| (change, None)).collect(),
        id: id.into(),
    }
}

fn create(id: &str, change: Change) -> Operation {
    Operation {
        changes: vec![(change, Some(Revision(0)))],
        id: id.into(),
    }
}

/// The platform's table in memory, with injected faults.
#[derive(Default)]
struct Table {
    base: SnapshotRef,
    /// Whether calls get no answer and have no effect.
    down: bool,
    head: Revision,
    /// Transactions in flight, which take effect only in `commit_delayed`.
    delayed: Vec<Entry>,
    /// Number of further transactions to delay.
    transactions_to_delay: u32,
    log: BTreeMap<Revision, Entry>,
    /// Number of further transactions whose answers are lost. They take effect.
    answers_to_lose: u32,
    reads: u64,
    receipts: BTreeMap<String, Receipt>,
    writes: u64,
}

impl Table {
    fn read(&mut self, query: &Query) -> Option<Page> {
        self.reads += 1;
        if self.down {
            return None;
        }
        let after = query.after.next()..;
        Some(Page {
            base: self.base,
            entries: self
                .log
                .range(after)
                .take(PAGE)
                .map(|(_, entry)| entry.clone())
                .collect(),
            head: self.head,
            receipts: query
                .ids
                .iter()
                .filter_map(|id| Some((id.clone(), *self.receipts.get(id)?)))
                .collect(),
            snapshot: None,
        })
    }

    fn commit(&mut self, entry: &Entry) -> Outcome {
        let duplicate = entry
            .operations
            .iter()
            .any(|operation| self.receipts.contains_key(&operation.id));
        if duplicate || self.head.next() != entry.revision {
            return Outcome::Conflict;
        }
        self.head = entry.revision;
        for operation in &entry.operations {
            let receipt = Receipt {
                hash: operation.hash(),
                revision: entry.revision,
            };
            self.receipts.insert(operation.id.clone(), receipt);
        }
        self.log.insert(entry.revision, entry.clone());
        Outcome::Committed
    }

    fn transact(&mut self, entry: &Entry) -> Outcome {
        self.writes += 1;
        if self.transactions_to_delay > 0 {
            self.transactions_to_delay -= 1;
            self.delayed.push(entry.clone());
            return Outcome::Unknown;
        }
        if self.down {
            return Outcome::Unknown;
        }
        let outcome = self.commit(entry);
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return Outcome::Unknown;
        }
        outcome
    }

    fn commit_delayed(&mut self) {
        for entry in std::mem::take(&mut self.delayed) {
            self.commit(&entry);
        }
    }
}

/// One node's source, with its snapshot and the calls that it has answered.
struct Node {
    replies: BTreeMap<CallId, Status>,
    snapshot: Arc<Snapshot>,
    source: Source,
    stored: Vec<(Arc<Snapshot>, SnapshotRef)>,
}

impl Node {
    fn new(seed: u64) -> Self {
        Self {
            replies: BTreeMap::new(),
            snapshot: Arc::default(),
            source: Source::new(seed),
            stored: Vec::new(),
        }
    }

    fn append(&mut self, entry: &Entry) {
        let delta = Delta {
            changes: entry.changes().collect(),
            digest: entry.digest,
            from: Revision(entry.revision.0 - 1),
            to: entry.revision,
        };
        if let Ok(next) = self.snapshot.apply_delta(&delta) {
            self.snapshot = Arc::new(next);
        }
    }

    fn submit(&mut self, table: &mut Table, now: Moment, call_id: u64, operation: Operation) {
        let snapshot = self.snapshot.clone();
        let actions = self
            .source
            .submit(now, &snapshot, CallId(call_id), operation);
        self.perform(table, now, actions);
    }

    fn look(&mut self, table: &mut Table, now: Moment, call_id: u64, id: &str) {
        let snapshot = self.snapshot.clone();
        let actions = self
            .source
            .look_up(now, &snapshot, CallId(call_id), id.to_string());
        self.perform(table, now, actions);
    }

    fn tick(&mut self, table: &mut Table, now: Moment) {
        let snapshot = self.snapshot.clone();
        let actions = self.source.tick(now, &snapshot);
        self.perform(table, now, actions);
    }

    fn perform(&mut self, table: &mut Table, now: Moment, actions: Vec<Action>) {
        for action in actions {
            let next = match action {
                Action::Append(entry) => {
                    self.append(&entry);
                    self.source.pump(now, &self.snapshot)
                }
                Action::Read(query) => {
                    let page = table.read(&query);
                    for entry in page.iter().flat_map(|page| &page.entries) {
                        self.append(entry);
                    }
                    self.source.finish_read(now, &self.snapshot, page.as_ref())
                }
                Action::Reply(call_id, status) => {
                    let previous = self.replies.insert(call_id, status);
                    assert_eq!(previous, None, "{call_id:?} is answered twice");
                    Vec::new()
                }
                Action::Store(snapshot, base) => {
                    self.stored.push((snapshot, base));
                    Vec::new()
                }
                Action::Transact(entry) => {
                    let outcome = table.transact(&entry);
                    let snapshot = self.snapshot.clone();
                    self.source
                        .finish_transaction(now, &snapshot, entry.revision, outcome)
                }
            };
            self.perform(table, now, next);
        }
    }

    fn status(&self, call_id: u64) -> Option<&Status> {
        self.replies.get(&CallId(call_id))
    }

    fn accepted(&self, call_id: u64) -> Revision {
        match self.status(call_id) {
            Some(Status::Accepted(revision)) => *revision,
            other => panic!("not accepted: {other:?}"),
        }
    }

    fn refused(&self, call_id: u64) -> Vec<String> {
        match self.status(call_id) {
            Some(Status::Refused(faults)) => faults.iter().map(ToString::to_string).collect(),
            other => panic!("not refused: {other:?}"),
        }
    }
}

/// Nodes that share one table, in virtual time.
struct Mesh {
    nodes: Vec<Node>,
    now: Moment,
    table: Table,
}

impl Mesh {
    fn new(nodes: u64) -> Self {
        Self {
            nodes: (0..nodes).map(Node::new).collect(),
            now: Moment(1_000_000_000_000_000),
            table: Table::default(),
        }
    }

    fn submit(&mut self, node: usize, call_id: u64, operation: Operation) {
        self.nodes[node].submit(&mut self.table, self.now, call_id, operation);
    }

    fn resubmit(&mut self, node: usize, call_id: u64, operation: Operation) {
        let snapshot = self.nodes[node].snapshot.clone();
        let actions =
            self.nodes[node]
                .source
                .resubmit(self.now, &snapshot, CallId(call_id), operation);
        self.nodes[node].perform(&mut self.table, self.now, actions);
    }

    fn look(&mut self, node: usize, call_id: u64, id: &str) {
        self.nodes[node].look(&mut self.table, self.now, call_id, id);
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            for node in &mut self.nodes {
                node.tick(&mut self.table, self.now);
            }
        }
    }

    /// Returns the number of times that the log contains an operation.
    fn occurrences(&self, id: &str) -> usize {
        let operations = self.table.log.values().flat_map(|entry| &entry.operations);
        operations.filter(|operation| operation.id == id).count()
    }
}

#[test]
fn same_id_at_two_nodes_is_applied_once() {
    let mut mesh = Mesh::new(2);
    let operation = create("a", version("desk-1"));
    mesh.submit(0, 1, operation.clone());
    mesh.submit(1, 1, operation);
    mesh.advance(Duration::from_secs(2));
    assert_eq!(mesh.nodes[0].accepted(1), mesh.nodes[1].accepted(1));
    assert_eq!(mesh.occurrences("a"), 1);
}

#[test]
fn resubmitted_id_returns_its_revision_after_later_changes() {
    let mut mesh = Mesh::new(2);
    mesh.submit(0, 1, create("a", version("desk-1")));
    mesh.advance(Duration::from_secs(1));
    mesh.submit(
        0,
        2,
        operation("b", [Change::Delete(key(Kind::Version, "desk-1"))]),
    );
    mesh.advance(Duration::from_secs(1));
    mesh.submit(1, 3, create("a", version("desk-1")));
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[1].accepted(3), mesh.nodes[0].accepted(1));
    assert!(mesh.nodes[1].snapshot.resources.is_empty());
}

#[test]
fn id_reused_for_other_changes_is_refused() {
    let mut mesh = Mesh::new(1);
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 2, operation("a", [version("desk-2")]));
    mesh.advance(Duration::from_secs(1));
    assert_eq!(
        mesh.nodes[0].refused(2),
        [" operation: `a` is the id of other changes, accepted as 1"]
    );
}

#[test]
fn operation_with_a_lost_answer_is_resolved_as_accepted() {
    let mut mesh = Mesh::new(1);
    mesh.table.answers_to_lose = 1;
    mesh.submit(0, 1, create("a", version("desk-1")));
    mesh.advance(Duration::from_secs(2));
    assert_eq!(mesh.nodes[0].accepted(1), Revision(1));
    assert_eq!(mesh.occurrences("a"), 1);
    assert_eq!(mesh.nodes[0].snapshot.revision, Revision(1));
}

#[test]
fn delayed_transaction_is_applied_once_after_a_retry() {
    let mut mesh = Mesh::new(1);
    mesh.table.transactions_to_delay = 1;
    mesh.submit(0, 1, create("a", version("desk-1")));
    mesh.advance(Duration::from_secs(2));
    mesh.table.commit_delayed();
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[0].accepted(1), Revision(1));
    assert_eq!((mesh.occurrences("a"), mesh.table.head), (1, Revision(1)));
}

#[test]
fn refused_operation_cannot_take_effect_through_a_delayed_transaction() {
    let mut mesh = Mesh::new(1);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(3));
    mesh.submit(0, 2, operation("b", [route("desk-1")]));
    // One transaction contains both and is delayed. Then the first operation expires, and without it
    // the second has a dangling reference.
    (mesh.table.down, mesh.table.transactions_to_delay) = (false, u32::MAX);
    mesh.advance(Duration::from_millis(3_500));
    mesh.table.delayed.truncate(1);
    mesh.table.transactions_to_delay = 0;
    mesh.advance(Duration::from_secs(2));
    mesh.table.commit_delayed();
    mesh.advance(Duration::from_secs(5));
    assert_eq!(mesh.nodes[0].status(1), Some(&Status::Unknown));
    assert_eq!(mesh.nodes[0].refused(2).len(), 1);
    assert_eq!(mesh.occurrences("b"), 0);
}

#[test]
fn refusal_of_an_operation_resubmitted_elsewhere_is_final() {
    let mut mesh = Mesh::new(2);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.submit(0, 2, operation("b", [route("desk-1")]));
    (mesh.table.down, mesh.table.transactions_to_delay) = (false, 1);
    while mesh.table.delayed.is_empty() {
        mesh.advance(TICK);
        assert_eq!(mesh.table.head, Revision(0));
    }
    // The first node is gone, and its transaction is still in flight.
    mesh.nodes.remove(0);
    mesh.resubmit(0, 3, operation("b", [route("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    mesh.table.commit_delayed();
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[0].refused(3).len(), 1);
    assert_eq!(mesh.occurrences("b"), 0);
}

#[test]
fn operation_with_a_lost_answer_stays_unknown_after_a_later_revision() {
    let mut mesh = Mesh::new(1);
    mesh.advance(Duration::from_secs(1));
    mesh.table.answers_to_lose = 1;
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    // The node commits this one as the next revision before it has read the receipt of the first.
    mesh.submit(0, 2, operation("b", [version("desk-2")]));
    while mesh.table.head < Revision(2) {
        mesh.advance(TICK);
    }
    mesh.table.down = true;
    mesh.advance(REQUEST_TIMEOUT);
    assert_eq!(mesh.occurrences("a"), 1);
    assert_eq!(mesh.nodes[0].status(1), Some(&Status::Unknown));
}

#[test]
fn operation_resubmitted_in_an_outage_stays_unknown() {
    let mut mesh = Mesh::new(1);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(1));
    mesh.resubmit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(REQUEST_TIMEOUT);
    assert_eq!(mesh.nodes[0].status(1), Some(&Status::Unknown));
}

#[test]
fn unknown_outcome_is_resolved_by_a_lookup_after_the_outage() {
    let mut mesh = Mesh::new(2);
    mesh.advance(TICK);
    mesh.table.transactions_to_delay = 1;
    mesh.table.down = true;
    mesh.submit(0, 1, create("a", version("desk-1")));
    mesh.advance(REQUEST_TIMEOUT);
    assert_eq!(mesh.nodes[0].status(1), Some(&Status::Unknown));
    mesh.table.down = false;
    mesh.table.commit_delayed();
    mesh.look(1, 2, "a");
    mesh.advance(Duration::from_secs(5));
    assert_eq!(mesh.nodes[1].accepted(2), Revision(1));
    mesh.look(1, 3, "b");
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[1].status(3), Some(&Status::Absent));
}

#[test]
fn nothing_is_sent_while_the_table_is_known_to_be_down() {
    let mut mesh = Mesh::new(1);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(2));
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(REQUEST_TIMEOUT);
    assert_eq!(mesh.nodes[0].status(1), Some(&Status::Unavailable));
    assert_eq!(mesh.table.writes, 0);
    mesh.table.down = false;
    mesh.advance(Duration::from_secs(5));
    assert_eq!(mesh.occurrences("a"), 0, "accepted after `Unavailable`");
}

#[test]
fn operation_is_accepted_after_a_short_outage() {
    let mut mesh = Mesh::new(1);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    mesh.table.down = false;
    mesh.advance(Duration::from_secs(4));
    assert_eq!(mesh.nodes[0].accepted(1), Revision(1));
}

#[test]
fn reference_that_loses_the_race_against_a_deletion_is_refused() {
    let mut mesh = Mesh::new(2);
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    mesh.submit(
        0,
        2,
        operation("b", [Change::Delete(key(Kind::Version, "desk-1"))]),
    );
    // This node has not read the deletion yet: its own snapshot would allow the route.
    mesh.submit(1, 3, operation("c", [route("desk-1")]));
    mesh.advance(Duration::from_secs(2));
    assert_eq!(mesh.nodes[0].accepted(2), Revision(2));
    assert_eq!(
        mesh.nodes[1].refused(3),
        ["route/desk spec.shares.desk-1: refers to version/desk-1, which does not exist"]
    );
}

#[test]
fn deletion_that_loses_the_race_against_a_reference_is_refused() {
    let mut mesh = Mesh::new(2);
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 2, operation("b", [route("desk-1")]));
    mesh.submit(
        1,
        3,
        operation("c", [Change::Delete(key(Kind::Version, "desk-1"))]),
    );
    mesh.advance(Duration::from_secs(2));
    assert_eq!(mesh.nodes[0].accepted(2), Revision(2));
    assert_eq!(
        mesh.nodes[1].refused(3),
        ["version/desk-1 metadata.name: is referred to by spec.shares.desk-1 of route/desk"]
    );
}

#[test]
fn lagging_node_accepts_what_the_table_allows() {
    let mut mesh = Mesh::new(2);
    mesh.nodes[1].source.set_polling(false);
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[1].snapshot.revision, Revision(0));
    mesh.submit(1, 2, operation("b", [route("desk-1")]));
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[1].accepted(2), Revision(2));
}

#[test]
fn invalid_operation_in_a_batch_is_refused_alone_and_whole() {
    let mut mesh = Mesh::new(1);
    mesh.advance(Duration::from_secs(1));
    mesh.submit(0, 0, operation("first", [version("desk-0")]));
    mesh.submit(0, 1, operation("a", [version("desk-1")]));
    mesh.submit(0, 2, operation("b", [version("desk-2"), route("desk-9")]));
    mesh.submit(0, 3, operation("c", [version("desk-3")]));
    mesh.advance(Duration::from_secs(2));
    let node = &mesh.nodes[0];
    assert_eq!(node.accepted(1), node.accepted(3), "one transaction");
    assert_eq!(
        node.refused(2),
        ["route/desk spec.shares.desk-9: refers to version/desk-9, which does not exist"]
    );
    assert!(
        !node
            .snapshot
            .resources
            .contains_key(&key(Kind::Version, "desk-2"))
    );
}

#[test]
fn invalid_operation_is_refused_under_constant_writes() {
    let mut mesh = Mesh::new(1);
    mesh.submit(0, 0, operation("bad", [route("desk-9")]));
    for call_id in 1..40 {
        mesh.submit(
            0,
            call_id,
            operation(&format!("good-{call_id}"), [version("desk-1")]),
        );
        mesh.advance(TICK);
    }
    assert_eq!(mesh.nodes[0].refused(0).len(), 1);
}

#[test]
fn concurrent_operations_share_transactions() {
    let mut mesh = Mesh::new(1);
    for call_id in 0..500 {
        let id = format!("id-{call_id}");
        mesh.submit(
            0,
            call_id,
            operation(&id, [version(&format!("desk-{call_id}"))]),
        );
    }
    mesh.advance(Duration::from_secs(1));
    assert_eq!(mesh.nodes[0].replies.len(), 500);
    let min_writes = 500_u64.div_ceil(BATCH_OPERATIONS_MAX as u64);
    assert!(
        mesh.table.writes <= min_writes + 1,
        "{} writes",
        mesh.table.writes
    );
}

#[test]
fn full_queue_refuses_at_once() {
    let mut mesh = Mesh::new(1);
    mesh.table.down = true;
    mesh.advance(Duration::from_secs(1));
    for call_id in 0..=QUEUE_MAX as u64 {
        mesh.submit(
            0,
            call_id,
            operation(&format!("id-{call_id}"), [version("desk-1")]),
        );
    }
    assert_eq!(mesh.nodes[0].status(QUEUE_MAX as u64), Some(&Status::Busy));
    assert_eq!(mesh.nodes[0].replies.len(), 1);
}

#[test]
fn call_rate_is_bounded_in_an_outage_and_under_contention() {
    let mut mesh = Mesh::new(10);
    mesh.table.down = true;
    mesh.submit(0, 0, operation("first", [version("desk-0")]));
    mesh.advance(Duration::from_mins(1));
    // A node that backs off, with waits of up to 3 s, makes fewer than two calls per second.
    let calls = mesh.table.reads + mesh.table.writes;
    assert!(calls < 10 * 60 * 2, "{calls} calls in a minute of outage");
    mesh.table.down = false;
    mesh.advance(Duration::from_secs(5));
    let before = (mesh.table.reads, mesh.table.writes);
    for call_id in 1..=200 {
        for node in 0..10 {
            let id = format!("{node}-{call_id}");
            mesh.submit(
                node,
                call_id,
                operation(&id, [version(&format!("v-{node}"))]),
            );
        }
        mesh.advance(TICK);
    }
    let seconds = 10;
    assert!(mesh.table.reads - before.0 <= 10 * 21 * seconds);
    assert!(mesh.table.writes - before.1 <= 10 * 21 * seconds);
    mesh.advance(REQUEST_TIMEOUT);
    for node in &mesh.nodes {
        let accepted = |status: &&Status| matches!(status, Status::Accepted(_));
        let count = node.replies.values().filter(accepted).count();
        assert!(count >= 200, "{count} of 200 in time");
    }
}

#[test]
fn only_polling_nodes_read_without_client_requests() {
    let mut mesh = Mesh::new(1);
    mesh.nodes[0].source.set_polling(false);
    mesh.advance(Duration::from_mins(1));
    assert_eq!(mesh.table.reads, 0);
    mesh.nodes[0].source.set_polling(true);
    mesh.advance(Duration::from_mins(1));
    assert!(
        (100..=121).contains(&mesh.table.reads),
        "{}",
        mesh.table.reads
    );
}

#[test]
fn log_of_several_pages_is_read_to_its_head() {
    let mut mesh = Mesh::new(2);
    mesh.nodes[1].source.set_polling(false);
    let revisions = PAGE as u64 * 2 + 10;
    for call_id in 0..revisions {
        mesh.submit(
            0,
            call_id,
            operation(&format!("id-{call_id}"), [version("desk-1")]),
        );
        mesh.advance(TICK);
    }
    assert_eq!(mesh.table.head, Revision(revisions));
    mesh.submit(1, 0, create("last", version("desk-1")));
    mesh.advance(Duration::from_secs(1));
    assert_eq!(
        mesh.nodes[1].refused(0),
        [format!(
            "version/desk-1 metadata.resourceVersion: exists already, at {revisions}"
        )]
    );
}

#[test]
fn snapshot_is_stored_when_the_log_has_grown() {
    let mut mesh = Mesh::new(1);
    for call_id in 0..SNAPSHOT_GAP_REVISIONS + 10 {
        mesh.submit(
            0,
            call_id,
            operation(&format!("id-{call_id}"), [version("desk-1")]),
        );
        mesh.advance(TICK);
    }
    let (snapshot, base) = mesh.nodes[0].stored.first().expect("a snapshot");
    assert!(snapshot.revision.0 >= SNAPSHOT_GAP_REVISIONS);
    assert_eq!(*base, SnapshotRef::default());
}

fn entry(state: &mut Snapshot, id: &str, change: Change) -> Entry {
    state.revision = state.revision.next();
    state.apply_change(state.revision, &change);
    Entry {
        digest: state.digest,
        operations: vec![operation(id, [change])],
        revision: state.revision,
    }
}

#[test]
fn reader_behind_the_trimmed_log_gets_the_newest_snapshot() {
    let standin = Standin::bind(crate::test_mesh::ANY_PORT).unwrap();
    let platform = Platform::new(&standin.url());
    let mut state = Snapshot::default();
    for number in 1..=20 {
        let entry = entry(&mut state, &format!("id-{number}"), version("desk-1"));
        assert_eq!(platform.transact(&entry), Outcome::Committed);
    }
    let base = SnapshotRef::default();
    assert_eq!(platform.store_snapshot(&state, base, 5), Outcome::Committed);
    assert_eq!(
        platform.store_snapshot(&state, base, 5),
        Outcome::Conflict,
        "storing the same snapshot again changes nothing"
    );
    let last = entry(&mut state, "id-21", version("desk-2"));
    assert_eq!(platform.transact(&last), Outcome::Committed);
    let query = Query {
        after: Revision(0),
        ids: vec!["id-3".into(), "id-18".into()],
    };
    let page = platform.read(&query).unwrap();
    let snapshot = page.snapshot.expect("the log begins after revision 15");
    assert_eq!((snapshot.revision, page.head), (Revision(20), Revision(21)));
    assert_eq!(page.entries, [last]);
    assert_eq!(page.receipts.len(), 1, "receipts are trimmed too");
    let close = Query {
        after: Revision(18),
        ids: Vec::new(),
    };
    let page = platform.read(&close).unwrap();
    assert_eq!((page.snapshot, page.entries.len()), (None, 3));
}

#[test]
fn client_distinguishes_unsent_from_unknown_outcomes() {
    let standin = Standin::bind(crate::test_mesh::ANY_PORT).unwrap();
    let platform = Platform::new(&standin.url());
    let first = entry(&mut Snapshot::default(), "a", version("desk-1"));
    standin.fail(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    assert_eq!(platform.transact(&first), Outcome::Unknown);
    assert_eq!(platform.transact(&first), Outcome::Conflict);
    standin.fail(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(platform.read(&Query::default()), None);
    let unreachable = Platform::new("http://127.0.0.1:1");
    assert_eq!(unreachable.transact(&first), Outcome::Unsent);
}

#[derive(Debug, Clone)]
enum Step {
    CommitDelayed,
    Down(bool),
    Delay,
    LoseAnswer,
    Advance(u64),
    Submit(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::CommitDelayed),
        1 => any::<bool>().prop_map(Step::Down),
        1 => Just(Step::Delay),
        1 => Just(Step::LoseAnswer),
        4 => (1_u64..40).prop_map(Step::Advance),
        6 => (0_usize..3, 0_u8..12).prop_map(|(node, id)| Step::Submit(node, id)),
    ]
}

/// Returns the change for an id: puts and deletes three versions and one route.
fn change(id: u8) -> Change {
    let name = format!("desk-{}", id % 3);
    match id / 3 {
        0 => version(&name),
        1 => route(&name),
        2 => Change::Delete(key(Kind::Route, "desk")),
        _ => Change::Delete(key(Kind::Version, &name)),
    }
}

proptest! {
    #[test]
    fn every_answer_matches_the_table(steps in proptest::collection::vec(step(), 1..40)) {
        let mut mesh = Mesh::new(3);
        let mut submitted = Vec::new();
        for (call_id, step) in steps.into_iter().enumerate() {
            let call_id = call_id as u64;
            match step {
                Step::CommitDelayed => mesh.table.commit_delayed(),
                Step::Down(down) => mesh.table.down = down,
                Step::Delay => mesh.table.transactions_to_delay = 1,
                Step::LoseAnswer => mesh.table.answers_to_lose = 1,
                Step::Advance(ticks) => mesh.advance(TICK * u32::try_from(ticks).unwrap()),
                Step::Submit(node, id) => {
                    let name = format!("id-{id}");
                    mesh.submit(node, call_id, operation(&name, [change(id)]));
                    submitted.push((node, call_id, name));
                }
            }
        }
        mesh.advance(REQUEST_TIMEOUT + TICK);
        mesh.table.commit_delayed();
        mesh.table.down = false;
        mesh.advance(REQUEST_TIMEOUT);
        let revisions: Vec<u64> = mesh.table.log.keys().map(|revision| revision.0).collect();
        prop_assert_eq!(&revisions, &(1..=mesh.table.head.0).collect::<Vec<_>>());
        for node in &mesh.nodes {
            prop_assert_eq!(node.snapshot.revision, mesh.table.head);
            prop_assert_eq!(node.snapshot.dangling_references().count(), 0);
        }
        for (node, call_id, id) in &submitted {
            prop_assert!(mesh.occurrences(id) <= 1);
            let accepted = mesh.table.receipts.get(id).map(|receipt| receipt.revision);
            let is_unique = submitted.iter().filter(|(_, _, other)| other == id).count() == 1;
            match mesh.nodes[*node].status(*call_id) {
                Some(Status::Accepted(revision)) => {
                    prop_assert_eq!(Some(*revision), accepted);
                }
                Some(Status::Refused(_) | Status::Unavailable) if is_unique => {
                    prop_assert_eq!(accepted, None);
                }
                Some(Status::Refused(_) | Status::Unavailable | Status::Unknown) => {}
                other => prop_assert!(false, "{:?}", other),
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_node_starts_from_the_snapshot_that_another_node_stored() {
    let mut test = TestMesh::new();
    let platform = Platform::new(&test.platform.url());
    let mut state = Snapshot::default();
    for number in 1..=SNAPSHOT_GAP_REVISIONS * 2 + 8 {
        let entry = entry(&mut state, &format!("id-{number}"), version("desk-1"));
        assert_eq!(platform.transact(&entry), Outcome::Committed);
    }
    test = test.host("a1", "luzon-a", "desk", "desk-1").await;
    test.wait_converged(state.revision).await;
    let cold = Query::default();
    let stored = || platform.read(&cold).and_then(|page| page.snapshot);
    eventually(|| stored().is_some()).await;
    let snapshot = stored().unwrap();
    assert_eq!(snapshot.verify(snapshot.digest), Ok(()));
    assert!(snapshot.revision.0 >= SNAPSHOT_GAP_REVISIONS);
    // Stop the node that stored the snapshot, and delete the beginning of the log, so that the stored
    // snapshot is the only way to get the state.
    let trim = Transaction {
        checks: Vec::new(),
        puts: (1..=100)
            .map(|number| Row {
                key: format!("{LOG_PREFIX}{number:020}"),
                value: serde_json::Value::Null,
            })
            .collect(),
    };
    let body = serde_json::to_string(&trim).unwrap();
    let url = format!("{}/v1/transact", test.platform.url());
    tokio::task::spawn_blocking(move || ureq::post(url).send(body).unwrap())
        .await
        .unwrap();
    let host = test.hosts.remove(0);
    host.node.stop().await;
    let test = test.host("a2", "luzon-a", "desk", "desk-1").await;
    test.wait_converged(state.revision).await;
    assert_eq!(*test.hosts[0].node.handle().snapshot(), state);
}
