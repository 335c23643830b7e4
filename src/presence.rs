//! Decides whether the upstream on this host takes work: it announces itself and renews a lease, it
//! drains, and a drained one takes work again only as a new incarnation or when an operator says so.
//! It has no clock, socket or thread.

use {
    crate::{member::Offer, world::Moment},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// What an upstream tells the node on its host, and repeats to renew its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Tells this start of the upstream from earlier ones; a later start has a higher number.
    pub incarnation: u64,
    /// What it offers.
    pub offer: Offer,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Refuse new work here.
    Close,
    /// Note that the lease has lapsed.
    Lapse,
    /// Tell the other nodes to send no new work.
    Leave,
    /// Take work, and tell the other nodes so.
    Open(Offer),
}

/// Why an announcement is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The upstream was told to drain.
    #[error("this incarnation of the upstream is drained")]
    Drained,
    /// The address is one of the node's own ports, which callers must not reach this way.
    #[error("the address is a port of the node itself")]
    OwnPort,
    /// A later incarnation has announced itself.
    #[error("a later incarnation has announced itself")]
    Outdated,
    /// The node stops.
    #[error("the node stops")]
    Stopping,
}

impl Refusal {
    /// Gives the counter's name.
    #[must_use]
    pub fn counter(self) -> &'static str {
        match self {
            Self::Drained => "upstream.refused.drained",
            Self::OwnPort => "upstream.refused.own-port",
            Self::Outdated => "upstream.refused.outdated",
            Self::Stopping => "upstream.refused.stopping",
        }
    }
}

/// How far the upstream has got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// None has announced itself, or its lease has lapsed.
    #[default]
    Absent,
    /// It takes work.
    Ready,
    /// Other nodes are told to send no work, and what they still send is taken.
    Leaving,
    /// New work is refused.
    Drained,
}

/// The state of the upstream on this host.
#[derive(Debug)]
pub struct Presence {
    announced: Option<Announcement>,
    closes: Moment,
    lapses: Moment,
    lease: Duration,
    reserved: Vec<SocketAddr>,
    spread: Duration,
    state: State,
    stopping: bool,
}

impl Presence {
    /// Begins without an upstream. An announcement holds for `lease`; for `spread` after the other
    /// nodes are told to send no new work, what they still send is taken.
    #[must_use]
    pub fn new(lease: Duration, spread: Duration) -> Self {
        Self {
            announced: None,
            closes: Moment::default(),
            lapses: Moment::default(),
            lease,
            reserved: Vec::new(),
            spread,
            state: State::default(),
            stopping: false,
        }
    }

    /// Refuses announcements of the node's own ports from now on.
    pub fn reserve(&mut self, ports: Vec<SocketAddr>) {
        self.reserved = ports;
    }

    /// Says how far the upstream has got.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Tells whether the node stops.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping
    }

    /// Takes an announcement.
    ///
    /// # Errors
    /// Refuses one that may not take work any more.
    pub fn announce(
        &mut self,
        now: Moment,
        announcement: Announcement,
    ) -> Result<Vec<Action>, Refusal> {
        if self.is_reserved(announcement.offer.address) {
            return Err(Refusal::OwnPort);
        }
        self.admit(announcement.incarnation)?;
        self.lapses = now + self.lease;
        let renewed = self.state == State::Ready && self.announced.as_ref() == Some(&announcement);
        let offer = announcement.offer.clone();
        self.announced = Some(announcement);
        if renewed {
            return Ok(Vec::new());
        }
        self.state = State::Ready;
        Ok(vec![Action::Open(offer)])
    }

    fn is_reserved(&self, address: SocketAddr) -> bool {
        let local = address.ip().is_loopback() || address.ip().is_unspecified();
        self.reserved.iter().any(|port| {
            let same = port.ip() == address.ip() || port.ip().is_unspecified() || local;
            same && port.port() == address.port()
        })
    }

    fn admit(&self, incarnation: u64) -> Result<(), Refusal> {
        if self.stopping {
            return Err(Refusal::Stopping);
        }
        let Some(last) = &self.announced else {
            return Ok(());
        };
        if incarnation < last.incarnation {
            return Err(Refusal::Outdated);
        }
        let leaving = matches!(self.state, State::Leaving | State::Drained);
        if leaving && incarnation == last.incarnation {
            return Err(Refusal::Drained);
        }
        Ok(())
    }

    /// Drains the upstream.
    pub fn drain(&mut self, now: Moment) -> Vec<Action> {
        if self.state != State::Ready {
            return Vec::new();
        }
        self.state = State::Leaving;
        self.closes = now + self.spread;
        vec![Action::Leave]
    }

    /// Takes a drain back.
    pub fn resume(&mut self, now: Moment) -> Vec<Action> {
        let leaving = matches!(self.state, State::Leaving | State::Drained);
        let Some(announced) = self.announced.as_ref().filter(|_| leaving) else {
            return Vec::new();
        };
        if self.stopping || now > self.lapses {
            return Vec::new();
        }
        self.state = State::Ready;
        vec![Action::Open(announced.offer.clone())]
    }

    /// Drains the upstream for good, as the node stops.
    pub fn stop(&mut self, now: Moment) -> Vec<Action> {
        self.stopping = true;
        self.drain(now)
    }

    /// Takes note that time has passed.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        match self.state {
            State::Ready if now >= self.lapses => {
                self.state = State::Absent;
                vec![Action::Lapse, Action::Leave, Action::Close]
            }
            State::Leaving if now >= self.closes => {
                self.state = State::Drained;
                vec![Action::Close]
            }
            _ => Vec::new(),
        }
    }
}
