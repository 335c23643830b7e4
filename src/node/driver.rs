//! The loop that drives the decisions: events in, actions out.

use {
    super::{Clock, Handle, rollouts::Rollouts},
    crate::{
        control::{self, Control},
        journal::Change,
        link::Link,
        proxy::Proxy,
        snapshot::Snapshot,
        source::{self, Operation, Ticket},
    },
    std::{
        sync::{Arc, mpsc},
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// The ticket of operations that no client waits for.
const UNATTENDED: Ticket = Ticket(u64::MAX);

const TICK: Duration = Duration::from_millis(50);

/// What the loop holds.
pub(super) struct Driver {
    pub(super) clock: Clock,
    pub(super) control: Control,
    pub(super) handle: Handle,
    pub(super) link: Link,
    pub(super) platform: mpsc::Sender<source::Action>,
    pub(super) proxy: Proxy,
    pub(super) rollouts: Rollouts,
}

impl Driver {
    /// Drives the decisions until the node is gone.
    pub(super) async fn run(mut self, mut events: UnboundedReceiver<control::Event>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                event = events.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                _ = ticks.tick() => {
                    self.handle.tick();
                    control::Event::Tick
                }
            };
            self.count(&event);
            self.note(&event);
            let ticks = matches!(event, control::Event::Tick);
            self.decide(event);
            if ticks {
                let operations = self.rollouts.tick(self.clock.now());
                self.submit(operations);
                self.report();
            }
        }
    }

    fn decide(&mut self, event: control::Event) {
        for action in self.control.handle(self.clock.now(), event) {
            self.act(action);
        }
    }

    /// Has the ends of rollouts accepted, which are decided by this node.
    fn submit(&mut self, operations: Vec<Operation>) {
        for operation in operations {
            self.decide(control::Event::Submitted(UNATTENDED, operation));
        }
    }

    fn report(&self) {
        let statuses = self.rollouts.controller().statuses(self.clock.now());
        if **self.handle.rollouts.load() != statuses {
            self.handle.rollouts.store(Arc::new(statuses));
        }
    }

    fn count(&self, event: &control::Event) {
        match event {
            control::Event::Read(None) => self.handle.telemetry.count("source.read.failed"),
            control::Event::Transacted(_, outcome) => {
                self.handle.telemetry.count(&format!("source.{outcome}"));
            }
            _ => {}
        }
    }

    fn note(&self, event: &control::Event) {
        let mut reach = self.handle.reach();
        let change = match event {
            control::Event::Connected(host) if self.control.is_connected(host) => None,
            control::Event::Connected(host) => Some(Change::Connected(host.clone())),
            control::Event::Disconnected(host) => Some(Change::Disconnected(host.clone())),
            event => reach.learn(event),
        };
        if reach != self.handle.reach() {
            self.handle.reach.store(Arc::new(reach));
        }
        if let Some(change) = change {
            self.handle.journal.write(&change);
        }
    }

    fn log(&self, before: &Snapshot, after: &Snapshot) {
        self.handle.journal.write(&Change::InForce(after.revision));
        for change in Change::ends(before, after) {
            self.handle.journal.write(&change);
        }
    }

    fn act(&mut self, action: control::Action) {
        match action {
            control::Action::Connect(address) => {
                let link = self.link.clone();
                // A failure is counted by the link, and the next tick tries again.
                tokio::spawn(async move { drop(link.connect(address).await) });
            }
            control::Action::Count(name) => self.handle.telemetry.count(name),
            control::Action::Cover(coverage) => self.handle.coverage.store(Arc::new(coverage)),
            control::Action::Install(snapshot) => {
                let before = self.handle.snapshot();
                self.handle.feed.install(&before, &snapshot);
                self.handle.snapshot.store(snapshot.clone());
                self.handle.feed.wake();
                self.log(&before, &snapshot);
                self.proxy.traffic().install(snapshot.clone());
                let operations = self.rollouts.install(self.clock.now(), snapshot);
                self.submit(operations);
            }
            control::Action::Role(role) => {
                let operations = self.rollouts.place(self.clock.now(), role);
                self.submit(operations);
            }
            control::Action::Rollout(host, message) => {
                let operations = self.rollouts.receive(self.clock.now(), host, &message);
                self.submit(operations);
            }
            control::Action::Send(host, frame) => self.link.send(&host, &frame),
            control::Action::Source(source::Action::Reply(ticket, verdict)) => {
                if let Some(waiting) = self.handle.waiting().remove(&ticket.0) {
                    // A client that waits no more asks again with the same id.
                    let _ = waiting.send(verdict);
                }
            }
            control::Action::Source(action) => drop(self.platform.send(action)),
            control::Action::Update(records) => {
                let now = self.clock.now();
                let operations = self.rollouts.update(now, &records);
                self.proxy.traffic().apply_membership(now, records);
                self.submit(operations);
            }
        }
    }
}
