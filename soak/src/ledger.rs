//! Record of what callers and endpoints observed in a run, and the checks that find violations of the guarantees of
//! nodes in it.

use {
    crate::fleet::DESK,
    mulberryshelf_standin::{Reply, Run},
    std::{
        collections::HashMap,
        fmt,
        time::{Duration, Instant},
    },
};

/// Time after its deadline until which a response still counts as in time. It covers a busy machine, not a wait in a
/// node.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// Time after the last byte of a request within which its connection may end without a response during planned work,
/// since the node may not have read the request yet. The platform sets this limit.
const CLOSE_SLACK: Duration = Duration::from_millis(200);
/// Longest time after the store has accepted a configuration until it is in force at every machine in touch. The platform
/// sets this limit.
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Number of runs that a bad version may get in addition to its share of the runs of the service.
const BAD_VERSION_RUNS_MAX: usize = 50;
/// One in this many runs of the service is the share of a bad version.
const BAD_VERSION_ONE_IN: usize = 10;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Must not run more than once.
    Once,
    /// Requests the route that only configurations of this number and later have. May run more than once.
    Probe(u32),
    /// May run more than once.
    Safe,
}

/// Request of a caller, and the response to it.
#[derive(Debug)]
pub struct Call {
    /// Body of the request.
    pub body: String,
    /// Longest time that the response may take.
    pub deadline: Duration,
    /// Time at which the response arrived or the caller stopped waiting.
    pub ended: Instant,
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number of starts of the node when its caller connected, which tells the processes of a node apart.
    pub lifetime: u32,
    /// Index of the machine that the request was sent to.
    pub machine: usize,
    /// Response; `None` if the caller abandoned the request.
    pub reply: Option<Reply>,
    /// Time at which the last byte was sent; for a pipelined request, the time at which the previous one ended.
    pub sent: Instant,
}

/// Period in which an endpoint must not begin a run.
#[derive(Debug)]
pub struct Closed {
    /// Start of the period.
    pub from: Instant,
    /// Instance name of the endpoint.
    pub instance: String,
    /// End of the period.
    pub until: Instant,
}

/// Period in which the node of a machine could not work, such as while it was killed or paused.
#[derive(Debug)]
pub struct Disturbance {
    /// Start of the period.
    pub from: Instant,
    /// Index of the machine.
    pub machine: usize,
    /// End of the period.
    pub until: Instant,
}

/// Rollout of a bad version.
#[derive(Debug)]
pub struct BadMove {
    /// Time at which the rollout was ordered.
    pub from: Instant,
    /// Instance names of the endpoints with the new version.
    pub instances: Vec<String>,
    /// Instance names of all endpoints of the service.
    pub service: Vec<String>,
    /// 5 s after the outcome was in the store.
    pub until: Instant,
}

/// Description of a violated guarantee, with the id of the request if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Observations of a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Times at which the store accepted the configurations, by their numbers.
    pub accepted: HashMap<u32, Instant>,
    /// Rollouts of bad versions.
    pub bad_moves: Vec<BadMove>,
    /// Requests of the callers.
    pub calls: Vec<Call>,
    /// Periods in which endpoints must not begin runs.
    pub closed: Vec<Closed>,
    /// Periods in which the nodes of machines could not work.
    pub disturbances: Vec<Disturbance>,
    /// Violations that were found during the run.
    pub found: Vec<Violation>,
    /// Periods in which machines had no contact to the store or to other machines, or did not run, and in which they may
    /// catch up after that.
    pub out_of_touch: Vec<Disturbance>,
    /// Whether the run has planned work only, which must not cost any caller a response.
    pub planned: bool,
    /// Runs of the endpoints.
    pub runs: Vec<Run>,
}

impl Ledger {
    /// Returns the violations that were recorded during the run, and those that the observations show.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        let mut found = self.found.clone();
        for call in &self.calls {
            let runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
            let checks = [
                check_run_count(call, runs),
                check_body(call, runs),
                check_service(runs),
                call.reply
                    .as_ref()
                    .and_then(|reply| check_response(call, reply, runs)),
                self.check_apply_time(call),
                self.check_deadline(call),
                self.check_planned_work(call, runs),
            ];
            found.extend(checks.into_iter().flatten().map(|text| {
                let status = call.reply.as_ref().map_or(0, |reply| reply.status);
                Violation(format!(
                    "{} {:?} status={status}: {text}",
                    call.id, call.kind
                ))
            }));
        }
        found.extend(self.check_configurations());
        found.extend(self.check_closed());
        found.extend(
            self.bad_moves
                .iter()
                .filter_map(|bad| self.check_bad_move(bad)),
        );
        found
    }

    /// Reports a route that is missing at a machine in touch though its configuration was accepted long ago.
    fn check_apply_time(&self, call: &Call) -> Option<String> {
        let probe = probe(call).filter(|probe| probe.status == 404)?;
        let accepted = self.accepted.get(&probe.number)?;
        let elapsed = call.sent.saturating_duration_since(*accepted);
        let in_touch = !overlaps(&self.out_of_touch, call.machine, call.sent, call.ended);
        (elapsed > APPLY_TIME && in_touch).then(|| {
            let machine = call.machine;
            format!("not in force at machine {machine} {elapsed:?} after it was accepted")
        })
    }

    /// Reports a response that arrived after its deadline, unless the node of the caller was disturbed.
    fn check_deadline(&self, call: &Call) -> Option<String> {
        let took = call.ended.saturating_duration_since(call.sent);
        let late = took > call.deadline + DEADLINE_SLACK;
        (late && !self.was_disturbed(call.machine, call.sent, call.ended))
            .then(|| format!("no response in time: the call took {took:?}"))
    }

    /// Returns whether a machine was disturbed at some time between `from` and `until`.
    fn was_disturbed(&self, machine: usize, from: Instant, until: Instant) -> bool {
        overlaps(&self.disturbances, machine, from, until)
    }

    /// Reports a request that was lost during planned work.
    fn check_planned_work(&self, call: &Call, runs: &[&Run]) -> Option<String> {
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

    /// Reports nodes that returned to an older configuration without a restart.
    fn check_configurations(&self) -> Vec<Violation> {
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
                            "{id}: machine {machine} returned to a configuration before {held}"
                        )));
                    }
                }
                200 => known.push((ended, number)),
                _ => {}
            }
        }
        found
    }

    /// Reports runs that endpoints began after they had left.
    fn check_closed(&self) -> Vec<Violation> {
        let is_violation = |closed: &Closed, run: &&Run| {
            run.instance == closed.instance && (closed.from..closed.until).contains(&run.begun)
        };
        let closed = self.closed.iter();
        closed
            .flat_map(|closed| {
                self.runs
                    .iter()
                    .filter(move |run| is_violation(closed, run))
            })
            .map(|run| {
                Violation(format!(
                    "{}: run began on {} after it had left",
                    run.id, run.instance
                ))
            })
            .collect()
    }

    /// Reports a bad version that got more runs than allowed.
    fn check_bad_move(&self, bad: &BadMove) -> Option<Violation> {
        let count = |instances: &[String]| {
            let runs = self.runs.iter();
            runs.filter(|run| (bad.from..bad.until).contains(&run.begun))
                .filter(|run| instances.contains(&run.instance))
                .count()
        };
        let (new, all) = (count(&bad.instances), count(&bad.service));
        (new > BAD_VERSION_RUNS_MAX + all / BAD_VERSION_ONE_IN)
            .then(|| Violation(format!("a bad version got {new} of {all} runs")))
    }
}

/// Returns whether one of the periods of a machine overlaps with the time between `from` and `until`.
fn overlaps(periods: &[Disturbance], machine: usize, from: Instant, until: Instant) -> bool {
    let mut periods = periods.iter();
    periods.any(|one| one.machine == machine && one.from < until && from < one.until)
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

/// Reports a request that must not run more than once and did.
fn check_run_count(call: &Call, runs: &[&Run]) -> Option<String> {
    (call.kind == Kind::Once && runs.len() > 1).then(|| format!("ran {} times", runs.len()))
}

/// Reports a request that ran with another body than the one sent.
fn check_body(call: &Call, runs: &[&Run]) -> Option<String> {
    let same = runs.iter().all(|run| run.body == call.body);
    (!same).then(|| "ran with another body".into())
}

/// Reports a request that ran at an endpoint of another service than that of all routes.
fn check_service(runs: &[&Run]) -> Option<String> {
    let run = runs.iter().find(|run| run.service != DESK)?;
    Some(format!("ran at {} of {}", run.instance, run.service))
}

/// Reports a response that belongs to another request, makes a false statement about the run, or has an unexpected
/// status.
fn check_response(call: &Call, reply: &Reply, runs: &[&Run]) -> Option<String> {
    if reply.not_run && !runs.is_empty() {
        return Some("the response states that the request has not run, but it ran".into());
    }
    if reply.status != 0 && reply.id.as_ref().is_some_and(|id| *id != call.id) {
        return Some("the response names another request".into());
    }
    match (reply.status, call.kind) {
        (200, _) => check_success(call, reply, runs),
        (404, Kind::Probe(_)) | (0 | 500 | 502 | 503 | 504, _) => None,
        _ => Some("unexpected status".into()),
    }
}

/// Reports a response with status 200 that is not from an endpoint for this request, or that has no finished run.
fn check_success(call: &Call, reply: &Reply, runs: &[&Run]) -> Option<String> {
    let own = reply.signed && reply.body.ends_with(&format!(" {}", call.id));
    if !own {
        return Some("the response is unsigned or was made for another request".into());
    }
    (!runs.iter().any(|run| run.finished)).then(|| "responded to without a finished run".into())
}
