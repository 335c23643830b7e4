//! Leases: each node leases its part of every account's limit to the owner of the account, as it sees it.
//!
//! Designed for nodes that disagree about who is connected, as when only the link between two of them fails. Each node
//! sends each other one of its region a lease at a fixed interval, with the last time that it received from there. The
//! receiver may use the lease for a fixed time from then on, by its own clock, so late messages do no harm. The sender
//! leases no part to another owner until that time is over.

use {
    crate::types::{Host, Moment},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Interval at which leases are sent. Each costs one small frame to each node of the region, which is little compared with
/// the requests.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a lease is valid: a time that was sent returns up to two intervals later, and the last interval allows
/// for a lease that is late.
pub const VALIDITY: Duration = Duration::from_millis(1500);

/// Time for which a node waits for leases that it gave to end. It exceeds their validity, as the clocks of two hosts do
/// not run at exactly the same speed.
pub const HOLD: Duration = Duration::from_millis(1650);

/// Message in which a node leases its parts of all limits to another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Known nodes that can't hold a lease of the sender; `None` if the sender gives no lease yet. The receiver holds the
    /// lease for those accounts for which all nodes that rank above it are in this list.
    pub absent: Option<Vec<Host>>,
    /// The `sent` of the last lease that the sender received from the receiver.
    pub echo: Option<Moment>,
    /// Time at the sender.
    pub sent: Moment,
}

/// Another node that was heard within [`HOLD`], so that it may hold a lease.
#[derive(Debug, Clone, Copy)]
struct Heard {
    last: Moment,
    /// The time at that node which its last message states.
    sent: Moment,
    since: Moment,
}

/// Gives leases of this node's parts.
#[derive(Debug)]
pub struct Lessor {
    heard: HashMap<Host, Heard>,
    own: Host,
    /// When the last message was sent to each node, and whether it contained a lease.
    sent: HashMap<Host, (Moment, bool)>,
    started: Moment,
}

impl Lessor {
    /// Creates the lessor of a node that has just started.
    #[must_use]
    pub fn new(own: Host, started: Moment) -> Self {
        Self {
            heard: HashMap::new(),
            own,
            sent: HashMap::new(),
            started,
        }
    }

    /// Returns whether leases that an earlier process of this host gave have ended.
    #[must_use]
    pub fn is_ready(&self, now: Moment) -> bool {
        now.since(self.started) >= HOLD
    }

    /// Records a message of another node.
    pub fn hear(&mut self, now: Moment, from: &Host, sent: Moment) {
        self.prune(now);
        let heard = self.heard.entry(from.clone()).or_insert(Heard {
            last: now,
            sent,
            since: now,
        });
        heard.last = now;
        heard.sent = sent;
    }

    /// Returns the message to send to another node, `None` if none is due. It contains a lease only if no other node can
    /// hold a lease that was given before the receiver was heard.
    pub fn lease(&mut self, now: Moment, to: &Host, known: &BTreeSet<Host>) -> Option<Lease> {
        self.prune(now);
        let heard = self.heard.get(to).copied();
        let gives = heard.is_some_and(|heard| self.may_lease(now, heard.since));
        if self
            .sent
            .get(to)
            .is_some_and(|(sent, gave)| now.since(*sent) < RENEWAL_INTERVAL && *gave >= gives)
        {
            return None;
        }
        self.sent.insert(to.clone(), (now, gives));
        Some(Lease {
            absent: gives.then(|| self.absent(known)),
            echo: heard.map(|heard| heard.sent),
            sent: now,
        })
    }

    /// Has the next message to a node sent at once, as after it has connected.
    pub fn reconnect(&mut self, to: &Host) {
        self.sent.remove(to);
    }

    /// Returns whether a node that was first heard at `since` may hold leases. Until it is ready, this node has given none,
    /// so the nodes that it has heard by then need not wait any longer.
    fn may_lease(&self, now: Moment, since: Moment) -> bool {
        self.is_ready(now) && (!self.is_ready(since) || now.since(since) >= HOLD)
    }

    /// Returns the known nodes that can't hold a lease of this node if this node may use its parts itself, `None` if it
    /// may not yet.
    pub fn own_lease(&mut self, now: Moment, known: &BTreeSet<Host>) -> Option<Vec<Host>> {
        self.prune(now);
        self.is_ready(now).then(|| self.absent(known))
    }

    /// Returns the nodes that may hold a lease, apart from this one.
    pub fn heard(&mut self, now: Moment) -> impl Iterator<Item = &Host> {
        self.prune(now);
        self.heard.keys()
    }

    fn absent(&self, known: &BTreeSet<Host>) -> Vec<Host> {
        let is_absent = |host: &&Host| **host != self.own && !self.heard.contains_key(*host);
        known.iter().filter(is_absent).cloned().collect()
    }

    fn prune(&mut self, now: Moment) {
        self.heard.retain(|_, heard| now.since(heard.last) < HOLD);
        let recent = |sent: Moment| now.since(sent) < RENEWAL_INTERVAL;
        self.sent.retain(|_, (sent, _)| recent(*sent));
    }
}

/// Lease that this node holds.
#[derive(Debug)]
struct Holding {
    echo: Moment,
    until: Moment,
    /// The nodes that were absent at the lessor, each with the time from which on that is known; oldest first.
    views: Vec<(Moment, Vec<Host>)>,
}

/// The leases that this node holds.
#[derive(Debug, Default)]
pub struct Holdings(HashMap<Host, Holding>);

impl Holdings {
    /// Records a lease. `echo` is the time at this node from which on it counts, `horizon` the time for which the past is
    /// of interest.
    pub fn renew(
        &mut self,
        now: Moment,
        from: &Host,
        echo: Moment,
        absent: Vec<Host>,
        horizon: Duration,
    ) {
        let until = echo + VALIDITY;
        if echo > now || until <= now {
            return;
        }
        let begin = |absent| Holding {
            echo,
            until,
            views: vec![(now, absent)],
        };
        let Some(holding) = self.0.get_mut(from) else {
            self.0.insert(from.clone(), begin(absent));
            return;
        };
        if holding.until <= now {
            *holding = begin(absent);
            return;
        }
        if echo < holding.echo {
            return;
        }
        holding.echo = echo;
        holding.until = until;
        if holding.views.last().is_none_or(|(_, last)| *last != absent) {
            holding.views.push((now, absent));
        }
        // The last view that began before the horizon was still current at its beginning.
        let old = holding
            .views
            .partition_point(|(since, _)| now.since(*since) >= horizon);
        holding.views.drain(..old.saturating_sub(1));
    }

    /// Returns for how long this node has held the lease of each node, for an account for which the nodes `above` rank
    /// higher than this one.
    pub fn ages<'a>(
        &'a self,
        now: Moment,
        above: &'a [Host],
    ) -> impl Iterator<Item = Duration> + 'a {
        let valid = self.0.values().filter(move |holding| now < holding.until);
        valid.filter_map(move |holding| {
            let views = holding.views.iter().rev();
            let owned = views.take_while(|(_, absent)| above.iter().all(|h| absent.contains(h)));
            owned.last().map(|(since, _)| now.since(*since))
        })
    }

    /// Returns the number of nodes whose leases this node holds.
    #[must_use]
    pub fn count(&self, now: Moment) -> usize {
        let valid = self.0.values().filter(|holding| now < holding.until);
        valid.count()
    }

    /// Removes leases that have ended.
    pub fn prune(&mut self, now: Moment) {
        self.0.retain(|_, holding| now < holding.until);
    }
}
