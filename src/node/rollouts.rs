//! Drives the rollouts of a node: outcomes and messages in, shares and messages out.

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
        wire::{self, Frame},
        world::{Host, Moment, Name},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// The rollouts of a node and what they act on.
pub(super) struct Rollouts {
    controller: Controller,
    link: Link,
    proxy: Proxy,
    ramps: BTreeMap<Name, Ramp>,
    classifier: LatencyClassifier,
    telemetry: Telemetry,
}

impl Rollouts {
    /// Begins without a configuration.
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

    /// Gives the state machine.
    pub(super) fn controller(&self) -> &Controller {
        &self.controller
    }

    /// Takes a configuration over.
    pub(super) fn install(&mut self, now: Moment, snapshot: Arc<Snapshot>) -> Vec<Operation> {
        self.handle(now, Event::Installed(snapshot))
    }

    /// Takes changes of the membership over.
    pub(super) fn update(&mut self, now: Moment, records: &[Arc<Record>]) -> Vec<Operation> {
        let records = records.iter().map(|record| Record::clone(record)).collect();
        self.handle(now, Event::Members(records))
    }

    /// Takes the node's place over.
    pub(super) fn place(&mut self, now: Moment, role: spread::Role) -> Vec<Operation> {
        let position = Position {
            children: role.children.into_iter().collect(),
            parent: role.parent,
            siblings: role.siblings.into_iter().collect(),
        };
        self.handle(now, Event::Position(position))
    }

    /// Takes a message from a node.
    pub(super) fn receive(&mut self, now: Moment, host: Host, bytes: &[u8]) -> Vec<Operation> {
        if let Ok(message) = wire::decode::<Message>(bytes) {
            return self.handle(now, Event::Received(host, message));
        }
        self.telemetry.count("rollout.malformed");
        Vec::new()
    }

    /// Counts what has ended, and lets time pass.
    pub(super) fn tick(&mut self, now: Moment) -> Vec<Operation> {
        let outcomes = self.proxy.traffic().drain_outcomes();
        let counts = self.classifier.count(&outcomes, &self.ramps);
        let mut operations = self.handle(now, Event::Counted(counts));
        operations.extend(self.handle(now, Event::Tick));
        operations
    }

    /// Handles an event, and gives what is to be accepted.
    fn handle(&mut self, now: Moment, event: Event) -> Vec<Operation> {
        let mut operations = Vec::new();
        for action in self.controller.handle(now, event) {
            match action {
                Action::Ramps(ramps) => {
                    self.ramps.clone_from(&ramps);
                    self.proxy.traffic().set_ramps(ramps);
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
