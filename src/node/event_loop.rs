//! The event loop of a node. It passes each event to the state machines of the control plane and of the
//! rollouts, and executes the actions that they return.

use {
    super::{Clock, Handle, rollouts::Rollouts},
    crate::{
        control::{self, Control},
        event_log::StateChange,
        link::Link,
        proxy::Proxy,
        snapshot::Snapshot,
        source::{self, CallId, Operation},
    },
    std::{
        sync::{Arc, mpsc},
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

/// The call id of operations whose result no client waits for.
const UNATTENDED_CALL_ID: CallId = CallId(u64::MAX);

/// The interval of the ticks by which time passes for the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The event loop with the state machines and the parts of the node that it controls.
pub(super) struct EventLoop {
    pub(super) clock: Clock,
    pub(super) control: Control,
    pub(super) handle: Handle,
    pub(super) link: Link,
    pub(super) platform: mpsc::Sender<source::Action>,
    pub(super) proxy: Proxy,
    pub(super) rollouts: Rollouts,
}

impl EventLoop {
    /// Processes events until every sender of events is dropped.
    pub(super) async fn run(mut self, mut events: UnboundedReceiver<control::Event>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
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
            self.log_change(&event);
            let is_tick = matches!(event, control::Event::Tick);
            self.handle_event(event);
            if is_tick {
                let operations = self.rollouts.tick(self.clock.now());
                self.submit(operations);
                self.publish_statuses();
            }
        }
    }

    fn handle_event(&mut self, event: control::Event) {
        for action in self.control.handle(self.clock.now(), event) {
            self.act(action);
        }
    }

    /// Submits the operations by which this node records the ends of rollouts.
    fn submit(&mut self, operations: Vec<Operation>) {
        for operation in operations {
            self.handle_event(control::Event::Submitted(UNATTENDED_CALL_ID, operation));
        }
    }

    /// Publishes the status of the rollouts for the API if it has changed.
    fn publish_statuses(&self) {
        let statuses = self.rollouts.controller().statuses(self.clock.now());
        if **self.handle.rollout_statuses.load() != statuses {
            self.handle.rollout_statuses.store(Arc::new(statuses));
        }
    }

    fn count(&self, event: &control::Event) {
        match event {
            control::Event::ReadFinished(None) => self.handle.telemetry.count("source.read.failed"),
            control::Event::Transacted(_, outcome) => {
                self.handle.telemetry.count(&format!("source.{outcome}"));
            }
            _ => {}
        }
    }

    /// Updates the reachability of the platform, and logs a change of it or of a connection to a peer.
    fn log_change(&self, event: &control::Event) {
        let mut reachability = self.handle.reachability();
        let change = match event {
            control::Event::Connected(host) if self.control.is_connected(host) => None,
            control::Event::Connected(host) => Some(StateChange::Connected(host.clone())),
            control::Event::Disconnected(host) => Some(StateChange::Disconnected(host.clone())),
            event => reachability.update(event),
        };
        if reachability != self.handle.reachability() {
            self.handle.reachability.store(Arc::new(reachability));
        }
        if let Some(change) = change {
            self.handle.event_log.write(&change);
        }
    }

    fn log_install(&self, before: &Snapshot, after: &Snapshot) {
        self.handle
            .event_log
            .write(&StateChange::InForce(after.revision));
        for change in StateChange::ended_rollouts(before, after) {
            self.handle.event_log.write(&change);
        }
    }

    fn act(&mut self, action: control::Action) {
        match action {
            control::Action::Connect(address) => {
                let link = self.link.clone();
                // The link counts a failure, and the next tick retries.
                tokio::spawn(async move { drop(link.connect(address).await) });
            }
            control::Action::Count(name) => self.handle.telemetry.count(name),
            control::Action::Cover(coverage) => self.handle.coverage.store(Arc::new(coverage)),
            control::Action::Install(snapshot) => {
                let before = self.handle.snapshot();
                self.handle.deletions.record(&before, &snapshot);
                self.handle.snapshot.store(snapshot.clone());
                self.handle.deletions.notify_all();
                self.log_install(&before, &snapshot);
                self.proxy.router().install(snapshot.clone());
                let operations = self.rollouts.install(self.clock.now(), snapshot);
                self.submit(operations);
            }
            control::Action::Role(role) => {
                let operations = self.rollouts.set_role(self.clock.now(), role);
                self.submit(operations);
            }
            control::Action::Rollout(host, message) => {
                let operations = self.rollouts.receive(self.clock.now(), host, &message);
                self.submit(operations);
            }
            control::Action::Send(host, frame) => self.link.send(&host, &frame),
            control::Action::Source(source::Action::Reply(call_id, status)) => {
                if let Some(reply) = self.handle.pending_replies().remove(&call_id.0) {
                    // If the client no longer waits, it asks again with the same operation id.
                    let _ = reply.send(status);
                }
            }
            control::Action::Source(action) => drop(self.platform.send(action)),
            control::Action::Membership(records) => {
                let now = self.clock.now();
                let operations = self.rollouts.apply_membership(now, &records);
                self.proxy.router().apply_membership(now, records);
                self.submit(operations);
            }
        }
    }
}
