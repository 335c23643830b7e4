//! The loop that drives the decisions: events in, actions out.

use {
    super::{Clock, Handle},
    crate::{
        control::{self, Control},
        journal::Change,
        link::Link,
        proxy::Proxy,
        source,
    },
    std::{
        sync::{Arc, mpsc},
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedReceiver,
};

const TICK: Duration = Duration::from_millis(50);

/// What the loop holds.
pub(super) struct Driver {
    pub(super) clock: Clock,
    pub(super) control: Control,
    pub(super) handle: Handle,
    pub(super) link: Link,
    pub(super) platform: mpsc::Sender<source::Action>,
    pub(super) proxy: Proxy,
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
            for action in self.control.handle(self.clock.now(), event) {
                self.act(action);
            }
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

    fn act(&mut self, action: control::Action) {
        match action {
            control::Action::Connect(address) => {
                let link = self.link.clone();
                // A failure is counted by the link, and the next tick tries again.
                tokio::spawn(async move { drop(link.connect(address).await) });
            }
            control::Action::Cover(coverage) => self.handle.coverage.store(Arc::new(coverage)),
            control::Action::Install(snapshot) => {
                self.handle.feed.install(&self.handle.snapshot(), &snapshot);
                self.handle.snapshot.store(snapshot.clone());
                self.handle.feed.wake();
                let change = Change::InForce(snapshot.revision);
                self.handle.journal.write(&change);
                self.proxy.traffic().install(snapshot);
            }
            // Nothing in this node judges rollouts yet.
            control::Action::Role(_) | control::Action::Rollout(..) => {}
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
                self.proxy.traffic().update(now, records);
            }
        }
    }
}
