//! The list of all counters. Tests check that docs/metrics.md shows the same table and that the code uses
//! exactly these counters.

use std::fmt::{self, Display, Formatter};

/// A counter, or a family of counters whose names differ in some parts.
#[derive(Debug, Clone, Copy)]
pub struct Counter {
    /// Describes what is counted.
    pub description: &'static str,
    /// The name. A part in braces stands for any non-empty text without dots.
    pub name: &'static str,
}

const fn counter(name: &'static str, description: &'static str) -> Counter {
    Counter { description, name }
}

/// All counters, sorted by name.
pub const COUNTERS: &[Counter] = &[
    counter(
        "api.refused.{status}",
        "operators' requests that the resource API refused, by HTTP status",
    ),
    counter(
        "egress.cancelled",
        "requests that the other node gave up while they waited or ran here",
    ),
    counter(
        "egress.malformed",
        "requests of another node that could not be read",
    ),
    counter(
        "egress.refused.{outcome}.{reason}",
        "requests of other nodes that were refused or failed here",
    ),
    counter(
        "ingress.accept.failed",
        "callers' connections that could not be taken",
    ),
    counter(
        "keys.answered",
        "repeated requests that were given the answer of the first one",
    ),
    counter(
        "keys.joined",
        "repeated requests that waited for the first one to end",
    ),
    counter(
        "link.accept.refused",
        "connections of nodes that failed: of another mesh, or with a certificate that does not hold",
    ),
    counter(
        "link.accept.unnamed",
        "connections whose certificate names no host",
    ),
    counter(
        "link.connect.failed",
        "nodes that could not be connected to",
    ),
    counter("link.frame.cut", "frames that broke off or were too long"),
    counter(
        "link.frame.impostor",
        "frames in which a peer spoke for another host",
    ),
    counter("link.frame.malformed", "frames that could not be decoded"),
    counter("link.received.bytes", "bytes of frames received"),
    counter("link.send.failed", "frames that could not be sent"),
    counter(
        "link.send.unconnected",
        "frames for a node that is not connected",
    ),
    counter("link.sent.bytes", "bytes of frames sent"),
    counter(
        "member.lost",
        "times that hosts were taken for gone, as nothing was heard of them",
    ),
    counter(
        "member.refuted",
        "records of others about this host that it outbid, as they were wrong",
    ),
    counter(
        "quarantine.late",
        "strikes that some nodes had not confirmed when the caller was answered",
    ),
    counter(
        "quarantine.struck",
        "strikes against requests that upstreams died of",
    ),
    counter(
        "quarantine.undelivered",
        "strikes that did not reach a node",
    ),
    counter(
        "refused.{outcome}.{reason}",
        "callers' requests that ended without an upstream's whole answer; the reasons are in operators/refusals.md",
    ),
    counter("retry.denied.{denial}", "retries that were not made"),
    counter(
        "retry.{reason}",
        "retries, by the reason why the attempt before failed",
    ),
    counter(
        "rollout.malformed",
        "messages about rollouts that could not be encoded or decoded",
    ),
    counter("source.committed", "transactions that took effect"),
    counter("source.conflict", "transactions that another one overtook"),
    counter("source.read.failed", "readings of the platform that failed"),
    counter("source.unknown", "transactions without an answer"),
    counter(
        "source.unsent",
        "transactions that were not sent, as the platform could not be reached",
    ),
    counter(
        "spread.delta.backwards",
        "deltas that were refused, as they lead no further than what is in force",
    ),
    counter(
        "spread.delta.gap",
        "deltas that were refused, as they start from a later revision",
    ),
    counter(
        "spread.delta.unsound",
        "deltas that were refused, as a reference dangles or the digest differs",
    ),
    counter(
        "spread.join.busy",
        "nodes that were told to join elsewhere or later",
    ),
    counter(
        "spread.snapshot.backwards",
        "snapshots that were refused, as they lead no further than what is in force",
    ),
    counter(
        "spread.snapshot.unsound",
        "snapshots that were refused, as a reference dangles or the digest differs",
    ),
    counter(
        "spread.sync.busy",
        "requests for records that were put off, as too many asked",
    ),
    counter(
        "stop.timeout",
        "planned stops that cut requests at the time limit",
    ),
    counter(
        "upstream.lapsed",
        "announcements that were not repeated in time",
    ),
    counter(
        "upstream.refused.drained",
        "announcements of an incarnation that is drained",
    ),
    counter(
        "upstream.refused.outdated",
        "announcements of an incarnation that a later one has replaced",
    ),
    counter(
        "upstream.refused.own-port",
        "announcements of a port of the node itself",
    ),
    counter(
        "upstream.refused.stopping",
        "announcements at a node that stops",
    ),
];

/// Returns whether the catalogue lists a counter of this name.
#[must_use]
pub fn is_known(name: &str) -> bool {
    COUNTERS.iter().any(|counter| counter.matches_name(name))
}

impl Counter {
    fn matches_name(&self, name: &str) -> bool {
        let (mut pattern_parts, mut name_parts) = (self.name.split('.'), name.split('.'));
        loop {
            match (pattern_parts.next(), name_parts.next()) {
                (None, None) => return true,
                (Some(part), Some(other)) if part.starts_with('{') && !other.is_empty() => {}
                (Some(part), Some(other)) if part == other => {}
                _ => return false,
            }
        }
    }
}

impl Display for Counter {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "| `{}` | {} |", self.name, self.description)
    }
}
