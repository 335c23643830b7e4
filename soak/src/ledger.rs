//! What callers and endpoints saw, and what of it breaks a promise.

use {
    mulberryshelf_standin::{Reply, Run},
    std::{
        collections::HashMap,
        fmt,
        time::{Duration, Instant},
    },
};

/// How long after its deadline an answer may come; it covers a busy machine, not a wait.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// How long after its last byte a connection may end without an answer during planned work: the node may not have
/// read the request yet. The platform's bound.
const CLOSE_SLACK: Duration = Duration::from_millis(200);
/// How many runs a bad version may get, beside its share of the service's.
const BAD_RUNS: usize = 50;
/// One of so many runs of the service a bad version may get beyond that.
const BAD_SHARE: usize = 10;

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// It may run once.
    Once,
    /// It asks for the route that a configuration of this number or later has.
    Probe(u32),
    /// It may run again.
    Safe,
}

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Its body.
    pub body: String,
    /// How long the answer may take.
    pub deadline: Duration,
    /// When the answer was there.
    pub ended: Instant,
    /// Its id.
    pub id: String,
    /// What it is.
    pub kind: Kind,
    /// Which start of the node it was sent to.
    pub lifetime: u32,
    /// The place of the machine that it was sent to.
    pub machine: usize,
    /// The answer; none if the caller left.
    pub reply: Option<Reply>,
    /// When its last byte was sent.
    pub sent: Instant,
}

/// A time in which an endpoint may begin no run.
#[derive(Debug)]
pub struct Closed {
    /// Its first moment.
    pub from: Instant,
    /// The endpoint's name.
    pub instance: String,
    /// Its end.
    pub until: Instant,
}

/// A time in which a machine could not do its work.
#[derive(Debug)]
pub struct Disturbance {
    /// Its first moment.
    pub from: Instant,
    /// The place of the machine.
    pub machine: usize,
    /// Its end.
    pub until: Instant,
}

/// A move to a bad version.
#[derive(Debug)]
pub struct BadMove {
    /// When it was ordered.
    pub from: Instant,
    /// The endpoints of the new version.
    pub instances: Vec<String>,
    /// All endpoints of the service.
    pub service: Vec<String>,
    /// When its end stood in the store, and 5 s more.
    pub until: Instant,
}

/// A promise that was broken, with the request's id if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// What was seen in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Moves to bad versions.
    pub bad_moves: Vec<BadMove>,
    /// The callers' requests.
    pub calls: Vec<Call>,
    /// Endpoints that had left.
    pub closed: Vec<Closed>,
    /// When machines could not do their work.
    pub disturbances: Vec<Disturbance>,
    /// What the run itself found.
    pub found: Vec<Violation>,
    /// Whether nothing but planned work was done.
    pub planned: bool,
    /// The endpoints' runs.
    pub runs: Vec<Run>,
}

impl Ledger {
    /// Gives all that breaks a promise.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let mut found = self.found.clone();
        for call in &self.calls {
            let runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
            let faults = [
                repeated(call, runs),
                changed(call, runs),
                call.reply
                    .as_ref()
                    .and_then(|reply| untrue(call, reply, runs)),
                self.held(call),
                self.lost(call, runs),
            ];
            found.extend(faults.into_iter().flatten().map(|text| {
                let status = call.reply.as_ref().map_or(0, |reply| reply.status);
                Violation(format!(
                    "{} {:?} status={status}: {text}",
                    call.id, call.kind
                ))
            }));
        }
        found.extend(self.backwards());
        found.extend(self.drained());
        found.extend(self.bad_moves.iter().filter_map(|bad| self.exposed(bad)));
        found
    }

    /// An answer has to be there by the deadline, unless the caller's own node could not work.
    fn held(&self, call: &Call) -> Option<String> {
        let took = call.ended.saturating_duration_since(call.sent);
        let late = took > call.deadline + DEADLINE_SLACK;
        (late && !self.disturbed(call.machine, call.sent, call.ended))
            .then(|| format!("no answer after {took:?}"))
    }

    fn disturbed(&self, machine: usize, from: Instant, until: Instant) -> bool {
        let mut disturbances = self.disturbances.iter();
        disturbances.any(|one| one.machine == machine && one.from < until && from < one.until)
    }

    /// Planned work costs no caller an answer.
    fn lost(&self, call: &Call, runs: &[&Run]) -> Option<String> {
        let reply = call.reply.as_ref().filter(|_| self.planned)?;
        let took = call.ended.saturating_duration_since(call.sent);
        match reply.status {
            0 if runs.is_empty() && took <= CLOSE_SLACK => None,
            0 | 500 | 502 | 504 => {
                Some(format!("lost in planned work, {took:?} after it was sent"))
            }
            _ => None,
        }
    }

    /// A node that had a configuration never has an older one while it lives.
    fn backwards(&self) -> Vec<Violation> {
        let mut probes: Vec<_> = self.calls.iter().filter_map(probe).collect();
        probes.sort_by_key(|probe| probe.ended);
        let mut newest: HashMap<(usize, u32), Vec<(Instant, u32)>> = HashMap::new();
        let mut found = Vec::new();
        for Probe {
            call,
            number,
            status,
            ended,
        } in probes
        {
            let known = newest.entry((call.machine, call.lifetime)).or_default();
            match status {
                404 => {
                    let seen = known.iter().filter(|(at, _)| *at < call.sent);
                    let held = seen.map(|(_, held)| *held).max().unwrap_or_default();
                    if held >= number {
                        let (id, machine) = (&call.id, call.machine);
                        found.push(Violation(format!(
                            "{id}: machine {machine} went back from {held}"
                        )));
                    }
                }
                200 => known.push((ended, number)),
                _ => {}
            }
        }
        found
    }

    /// An endpoint that has left gets no work.
    fn drained(&self) -> Vec<Violation> {
        let begun = |closed: &Closed, run: &&Run| {
            run.instance == closed.instance && (closed.from..closed.until).contains(&run.begun)
        };
        let closed = self.closed.iter();
        closed
            .flat_map(|closed| self.runs.iter().filter(move |run| begun(closed, run)))
            .map(|run| {
                Violation(format!(
                    "{}: began at {}, which had left",
                    run.id, run.instance
                ))
            })
            .collect()
    }

    fn exposed(&self, bad: &BadMove) -> Option<Violation> {
        let count = |instances: &[String]| {
            let runs = self.runs.iter();
            runs.filter(|run| (bad.from..bad.until).contains(&run.begun))
                .filter(|run| instances.contains(&run.instance))
                .count()
        };
        let (new, all) = (count(&bad.instances), count(&bad.service));
        (new > BAD_RUNS + all / BAD_SHARE)
            .then(|| Violation(format!("a bad version got {new} of {all} runs")))
    }
}

struct Probe<'a> {
    call: &'a Call,
    ended: Instant,
    number: u32,
    status: u16,
}

fn probe(call: &Call) -> Option<Probe<'_>> {
    let Kind::Probe(number) = call.kind else {
        return None;
    };
    let status = call.reply.as_ref()?.status;
    Some(Probe {
        call,
        ended: call.ended,
        number,
        status,
    })
}

/// What may run once does.
fn repeated(call: &Call, runs: &[&Run]) -> Option<String> {
    (call.kind == Kind::Once && runs.len() > 1).then(|| format!("ran {} times", runs.len()))
}

/// What runs is what was sent.
fn changed(call: &Call, runs: &[&Run]) -> Option<String> {
    let same = runs.iter().all(|run| run.body == call.body);
    (!same).then(|| "ran with another body".into())
}

/// An answer is the request's own, and what it says of the run is true.
fn untrue(call: &Call, reply: &Reply, runs: &[&Run]) -> Option<String> {
    if reply.not_run && !runs.is_empty() {
        return Some("told that it had not run, and it did".into());
    }
    if reply.status != 0 && reply.id.as_ref().is_some_and(|id| *id != call.id) {
        return Some("the answer is another request's".into());
    }
    match (reply.status, call.kind) {
        (200, _) => answered(call, reply, runs),
        (404, Kind::Probe(_)) | (0 | 500 | 502 | 503 | 504, _) => None,
        _ => Some("this answer was not to be expected".into()),
    }
}

fn answered(call: &Call, reply: &Reply, runs: &[&Run]) -> Option<String> {
    let own = reply.signed && reply.body.ends_with(&format!(" {}", call.id));
    if !own {
        return Some("the answer is not the endpoint's own".into());
    }
    (!runs.iter().any(|run| run.finished)).then(|| "answered, and no run of it ended".into())
}
