//! Connects the state machine of the rollouts to the node. Outcomes of requests and messages of other
//! nodes go in; traffic shares, messages and operations come out.

use {
    crate::{
        link::Link,
        member::Record,
        proxy::Proxy,
        rollout::{
            Action, Controller, Event, Position, Start, classifier::LatencyClassifier,
            message::Message,
        },
        snapshot::Snapshot,
        source::Operation,
        spread,
        telemetry::Telemetry,
        traffic::Ramp,
        types::{Host, Moment, Name},
        wire::{self, Frame},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// The state machine of the rollouts, with the link and proxy that its actions apply to.
pub(super) struct Rollouts {
    controller: Controller,
    link: Link,
    proxy: Proxy,
    ramps: BTreeMap<Name, Ramp>,
    classifier: LatencyClassifier,
    telemetry: Telemetry,
}

impl Rollouts {
    /// Creates the rollouts of a node that has no configuration yet.
    pub(super) fn new(start: Start, link: Link, proxy: Proxy, telemetry: Telemetry) -> Self {
        Self {
            controller: Controller::new(start),
            link,
            proxy,
            ramps: BTreeMap::new(),
            classifier: LatencyClassifier::default(),
            telemetry,
        }
    }

    /// Returns the state machine.
    pub(super) fn controller(&self) -> &Controller {
        &self.controller
    }

    /// Applies a new configuration.
    pub(super) fn install(&mut self, now: Moment, snapshot: Arc<Snapshot>) -> Vec<Operation> {
        self.handle(now, Event::Installed(snapshot))
    }

    /// Applies changes of the membership.
    pub(super) fn apply_membership(
        &mut self,
        now: Moment,
        records: &[Arc<Record>],
    ) -> Vec<Operation> {
        let records = records.iter().map(|record| Record::clone(record)).collect();
        self.handle(now, Event::Members(records))
    }

    /// Sets the role of the node in the distribution of the configuration.
    pub(super) fn set_role(&mut self, now: Moment, role: spread::Role) -> Vec<Operation> {
        let position = Position {
            children: role.children.into_iter().collect(),
            parent: role.parent,
            siblings: role.siblings.into_iter().collect(),
        };
        self.handle(now, Event::Position(position))
    }

    /// Processes an encoded message of another node. A message that cannot be decoded is counted and
    /// dropped.
    pub(super) fn receive(&mut self, now: Moment, host: Host, bytes: &[u8]) -> Vec<Operation> {
        if let Ok(message) = wire::decode::<Message>(bytes) {
            return self.handle(now, Event::Received(host, message));
        }
        self.telemetry.count("rollout.malformed");
        Vec::new()
    }

    /// Counts the requests that ended since the last tick, and advances the time.
    pub(super) fn tick(&mut self, now: Moment) -> Vec<Operation> {
        let outcomes = self.proxy.router().drain_outcomes();
        let counts = self.classifier.count(&outcomes, &self.ramps);
        let mut operations = self.handle(now, Event::Counted(counts));
        operations.extend(self.handle(now, Event::Tick));
        operations
    }

    /// Processes an event, executes its actions and returns the operations to submit.
    fn handle(&mut self, now: Moment, event: Event) -> Vec<Operation> {
        let mut operations = Vec::new();
        for action in self.controller.handle(now, event) {
            match action {
                Action::Ramps(ramps) => {
                    self.ramps.clone_from(&ramps);
                    self.proxy.router().set_ramps(ramps);
                }
                Action::Send(host, message) => self.send(&host, &message),
                Action::Submit(operation) => operations.push(operation),
            }
        }
        operations
    }

    fn send(&self, host: &Host, message: &Message) {
        if let Ok(bytes) = wire::encode(message) {
            return self.link.send(host, &Frame::Rollout(bytes));
        }
        self.telemetry.count("rollout.malformed");
    }
}
