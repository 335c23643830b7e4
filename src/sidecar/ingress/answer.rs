//! One request of a caller: its route, what it states about itself, and the answer that it gets.

use {
    super::Encoded,
    crate::{
        http1::{self, Fault, Field, Request},
        refusal::Reason,
        sidecar::{
            forward::{self, Call, Reply, Trail},
            node::Core,
        },
        traffic::quarantine::Fingerprint,
        world::Moment,
    },
    bytes::Bytes,
    std::{rc::Rc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

/// The time that a request may take if neither its sender nor its route says so.
const TIMEOUT: Duration = Duration::from_secs(30);

/// When a caller may come back to a node that has just started: it has the document by then, if any node has.
const CONFIGURED_IN: Duration = Duration::from_millis(300);
/// When a caller may come back to a node that stops: a restart takes that long at least.
const RESTARTED_IN: Duration = Duration::from_millis(500);

pub(super) fn rejection(core: &Core, fault: &Fault) -> Option<Encoded> {
    let status = match fault {
        Fault::Cut | Fault::Io(_) => return None,
        Fault::Malformed(_) => 400,
        Fault::Slow => 408,
        Fault::HeadTooLarge => 431,
        Fault::BodyTooLarge => 413,
    };
    let now = core.now();
    core.log.line(
        now,
        "reject",
        format_args!("status={status} cause=\"{fault}\""),
    );
    core.metrics
        .outcome("", "rejected", &status.to_string(), Duration::ZERO);
    Some(Encoded {
        bytes: http1::response(status, &[], b"", false),
        close: true,
    })
}

pub(super) async fn take(core: &Rc<Core>, request: Request, arrived: Moment) -> Encoded {
    let close = request.close;
    let id = http1::text(&request.fields, core.header_names.id).map(String::from);
    let mut trail = Trail::default();
    let admitted = admit(core, request, arrived);
    let told = match &admitted {
        Ok(call) => {
            let reply = forward::send(core, call, &mut trail).await;
            if let Reply::Refused(_, after) = reply {
                let mut refusal_history = core.refusal_history.borrow_mut();
                refusal_history.record(core.now(), call.fingerprint, call.waits_until, after);
            }
            told(reply)
        }
        Err(rejected) => rejected.told(),
    };
    let took = core.now().since(arrived);
    let call = admitted.as_ref().ok();
    let route = call.map_or("", |call| call.route.name.as_str());
    core.metrics
        .outcome(route, told.outcome, &told.reason, took);
    core.log.line(
        core.now(),
        "request",
        format_args!(
            "id={} {} service={} outcome={} reason={} status={} took_ms={} document={} sent={} declines={} hosts={}",
            id.as_deref().unwrap_or("-"),
            Ask { arrived, call },
            trail.service.as_ref().map_or("-", |service| service.as_str()),
            told.outcome,
            told.reason,
            told.status,
            took.as_millis(),
            core.number(),
            trail.sent,
            trail.declines,
            Hosts(&trail),
        ),
    );
    let mut fields = told.fields;
    if let Some(id) = id
        && http1::text(&fields, core.header_names.id).is_none()
    {
        fields.push(Field::new(core.header_names.id, id));
    }
    Encoded {
        bytes: http1::response(told.status, &fields, &told.body, false),
        close,
    }
}

/// What a caller is told, and why.
struct Told {
    body: Bytes,
    fields: Vec<Field>,
    outcome: &'static str,
    reason: String,
    status: u16,
}

fn told(reply: Reply) -> Told {
    let empty = |status, outcome, reason: Reason, fields| Told {
        body: Bytes::new(),
        fields,
        outcome,
        reason: reason.to_string(),
        status,
    };
    match reply {
        Reply::Answer(answer) => Told {
            body: answer.body,
            fields: answer.fields,
            outcome: "answered",
            reason: answer.status.to_string(),
            status: answer.status,
        },
        Reply::Refused(reason, after) => empty(503, "refused", reason, vec![retry_after(after)]),
        Reply::Unknown(Reason::Deadline) => empty(504, "unknown", Reason::Deadline, Vec::new()),
        Reply::Unknown(reason) => empty(502, "unknown", reason, Vec::new()),
    }
}

/// What a request asked for, for the log.
struct Ask<'a> {
    arrived: Moment,
    call: Option<&'a Call>,
}

struct Hosts<'a>(&'a Trail);

fn retry_after(after: Duration) -> Field {
    Field::new("Retry-After", format!("{:.2}", after.as_secs_f64()))
}

/// A request that never set out.
struct Rejected {
    reason: Reason,
    status: u16,
}

impl Rejected {
    fn told(&self) -> Told {
        let after = match self.reason {
            Reason::Leaving => RESTARTED_IN,
            _ => CONFIGURED_IN,
        };
        let fields = match self.status {
            503 => vec![retry_after(forward::spread(after))],
            _ => Vec::new(),
        };
        Told {
            body: Bytes::new(),
            fields,
            outcome: "rejected",
            reason: self.reason.to_string(),
            status: self.status,
        }
    }
}

/// Finds the route of a request and what it states about itself.
fn admit(core: &Core, request: Request, arrived: Moment) -> Result<Call, Rejected> {
    let rejected = |reason, status| Err(Rejected { reason, status });
    if !core.has_document() {
        return rejected(Reason::NoRoute, 503);
    }
    if core.refuses_new_requests() {
        return rejected(Reason::Leaving, 503);
    }
    let words = core.header_names;
    let Some(id) = http1::text(&request.fields, words.id).map(String::from) else {
        return rejected(Reason::BadRequest, 400);
    };
    let Some(hostname) = http1::text(&request.fields, "host") else {
        return rejected(Reason::BadRequest, 400);
    };
    let hostname = hostname.split(':').next().unwrap_or_default();
    let path = request.target.split('?').next().unwrap_or_default();
    let found = core
        .index
        .borrow()
        .find_route(&hostname.to_ascii_lowercase(), path)
        .cloned();
    let Some(route) = found else {
        return rejected(Reason::NoRoute, 404);
    };
    let route_id = xxh3_64(route.name.as_bytes());
    let stated: Option<u64> =
        http1::text(&request.fields, words.time_left).and_then(|text| text.trim().parse().ok());
    let stated = stated.map_or(TIMEOUT, Duration::from_millis);
    let waits_until = arrived + stated;
    let fingerprint =
        Fingerprint::new(&route.name, &request.method, &request.target, &request.body);
    let refused = core
        .refusal_history
        .borrow()
        .refused_at(arrived, fingerprint, waits_until);
    let mut fields = request.fields;
    http1::strip_hop_by_hop(&mut fields);
    let own = [words.caller, words.expected, words.time_left];
    fields.retain(|field| !own.iter().any(|name| field.is(name)));
    Ok(Call {
        body: request.body,
        deadline: arrived + stated.min(route.timeout),
        fields,
        fingerprint,
        id,
        method: request.method,
        returned: refused.is_some(),
        route_id,
        target: request.target,
        valued: refused.unwrap_or(arrived) + route.target,
        waits_until,
        route,
    })
}

impl std::fmt::Display for Ask<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Some(call) = self.call else {
            return f.write_str("route=-");
        };
        write!(
            f,
            "route={} class={:?} priority={} left_ms={} worth_for_ms={} returned={}",
            call.route.name,
            call.route.class,
            call.route.priority,
            call.deadline.since(self.arrived).as_millis(),
            call.valued.since(self.arrived).as_millis(),
            call.returned
        )
    }
}

impl std::fmt::Display for Hosts<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (place, host) in self.0.hosts.iter().enumerate() {
            let comma = if place > 0 { "," } else { "" };
            write!(f, "{comma}{host}")?;
        }
        Ok(())
    }
}
