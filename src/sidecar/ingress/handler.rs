//! Handling of one request of a caller: finds its route, reads its timeout and identity from the header fields,
//! forwards it and encodes the response.

use {
    super::EncodedResponse,
    crate::{
        http1::{self, Error, Field, Request},
        refusal::Reason,
        sidecar::{
            authentication::{self, KEY_FIELD, Origin},
            body_room,
            document::{AccountField, Route},
            forward::{self, Attempts, Call, Reply},
            node::Core,
            permits,
        },
        traffic::quarantine::Fingerprint,
        types::{Host, Moment},
    },
    bytes::Bytes,
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Timeout of a request whose caller states none. The route's timeout applies if it is shorter.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which a caller may return to a node that has just started. By then it has received the document, if any
/// node has one.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time after which a caller may return to a node that is stopping; a restart takes at least that long.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the response to a request that could not be read, or `None` if the connection has failed.
pub(super) fn error_response(core: &Core, error: &Error) -> Option<EncodedResponse> {
    let status = match error {
        Error::Truncated | Error::Io(_) => return None,
        Error::Malformed(_) => 400,
        Error::Timeout => 408,
        Error::HeadTooLarge => 431,
        Error::BodyTooLarge => 413,
        Error::NoRoom(_) => 503,
    };
    let now = core.now();
    core.log.record(
        now,
        "reject",
        format_args!("status={status} cause=\"{error}\""),
    );
    core.metrics
        .outcome("", "rejected", &status.to_string(), Duration::ZERO);
    let fields = match error {
        Error::NoRoom(bytes) => {
            let after = body_room::reject(core, *bytes);
            vec![retry_after(forward::with_jitter(after))]
        }
        _ => Vec::new(),
    };
    Some(encode(core, status, &fields, Bytes::new(), true))
}

/// Handles a request and returns the encoded response. `arrived` is the time at which the head began, `origin` says who
/// may have sent the request.
pub(super) async fn handle(
    core: &Rc<Core>,
    request: Request,
    arrived: Moment,
    origin: Origin,
) -> EncodedResponse {
    let close = request.close;
    let id = http1::field_text(&request.fields, core.header_names.request_id).map(String::from);
    let mut attempts = Attempts::default();
    let admitted = admit(core, request, arrived, origin);
    let response = match &admitted {
        Ok(call) => {
            let reply = permits::forward(core, call, &mut attempts).await;
            if let Reply::Refused(_, after) = reply {
                let mut refusal_history = core.refusal_history.borrow_mut();
                refusal_history.record(core.now(), call.fingerprint, call.caller_deadline, after);
            }
            response_to(reply)
        }
        Err(rejected) => rejected.response(),
    };
    let took = core.now().since(arrived);
    let call = admitted.as_ref().ok();
    let route = call.map_or("", |call| call.route.name.as_str());
    core.metrics
        .outcome(route, response.outcome, &response.reason, took);
    core.log.record(
        core.now(),
        "request",
        format_args!(
            "id={} {} service={} outcome={} reason={} status={} took_ms={} document={}{} sent={} declines={} hosts={}",
            id.as_deref().unwrap_or("-"),
            CallFields { arrived, call },
            attempts.service.as_ref().map_or("-", |service| service.as_str()),
            response.outcome,
            response.reason,
            response.status,
            took.as_millis(),
            core.number(),
            Confirmed {
                core,
                denied: admitted.as_ref().is_err_and(Rejection::is_denial),
            },
            attempts.sent,
            attempts.declines,
            Hosts(&attempts),
        ),
    );
    let mut fields = response.fields;
    if let Some(id) = id
        && http1::field_text(&fields, core.header_names.request_id).is_none()
    {
        fields.push(Field::new(core.header_names.request_id, id));
    }
    encode(core, response.status, &fields, response.body, close)
}

/// Encodes a response. The body is not copied.
fn encode(core: &Core, status: u16, fields: &[Field], body: Bytes, close: bool) -> EncodedResponse {
    let head = http1::encode_response_head(status, fields, body.len(), false);
    EncodedResponse {
        _share: core.answer_budget.hold(head.len() as u64),
        body,
        close,
        head,
    }
}

/// Response to a caller, with the outcome and reason for the log and the metrics.
struct CallerResponse {
    body: Bytes,
    fields: Vec<Field>,
    outcome: &'static str,
    reason: String,
    status: u16,
}

fn response_to(reply: Reply) -> CallerResponse {
    let empty = |status, outcome, reason: Reason, fields| CallerResponse {
        body: Bytes::new(),
        fields,
        outcome,
        reason: reason.to_string(),
        status,
    };
    match reply {
        Reply::Answer(answer) => CallerResponse {
            body: answer.body,
            fields: answer.fields,
            outcome: "answered",
            reason: answer.status.to_string(),
            status: answer.status,
        },
        Reply::Refused(reason, after) => empty(503, "refused", reason, vec![retry_after(after)]),
        Reply::Limited(after) => {
            let reason = Reason::AccountLimit;
            empty(reason.status(), "refused", reason, vec![retry_after(after)])
        }
        Reply::Unknown(Reason::Deadline) => empty(504, "unknown", Reason::Deadline, Vec::new()),
        Reply::Unknown(reason) => empty(502, "unknown", reason, Vec::new()),
    }
}

/// Route and time limits of a request, as log fields.
struct CallFields<'a> {
    arrived: Moment,
    call: Option<&'a Call>,
}

struct Hosts<'a>(&'a Attempts);

/// Recency of the document by which a request was denied, as log fields; nothing for other requests.
struct Confirmed<'a> {
    core: &'a Core,
    denied: bool,
}

fn retry_after(after: Duration) -> Field {
    Field::new("Retry-After", format!("{:.2}", after.as_secs_f64()))
}

/// Rejection of a request before it was forwarded.
struct Rejection {
    reason: Reason,
    status: u16,
}

impl Rejection {
    /// Returns whether the document in force has no route for the request, or no account with its key.
    fn is_denial(&self) -> bool {
        matches!(self.status, 401 | 404)
    }

    fn response(&self) -> CallerResponse {
        let after = match self.reason {
            Reason::Leaving => STOPPING_RETRY_AFTER,
            _ => STARTING_RETRY_AFTER,
        };
        let fields = match self.status {
            401 => vec![Field::new("WWW-Authenticate", "Bearer")],
            503 => vec![retry_after(forward::with_jitter(after))],
            _ => Vec::new(),
        };
        CallerResponse {
            body: Bytes::new(),
            fields,
            outcome: "rejected",
            reason: self.reason.to_string(),
            status: self.status,
        }
    }
}

/// Returns the call to forward: the request with its route, its deadlines and without the header fields that this
/// node sets itself. Rejects requests that have no route or ID, and all while the node is not configured or closing.
fn admit(
    core: &Core,
    request: Request,
    arrived: Moment,
    origin: Origin,
) -> Result<Call, Rejection> {
    let rejected = |reason, status| Err(Rejection { reason, status });
    if !core.has_document() {
        return rejected(Reason::NoRoute, 503);
    }
    if core.refuses_new_requests() {
        return rejected(Reason::Leaving, 503);
    }
    let header_names = core.header_names;
    let Some(id) = http1::field_text(&request.fields, header_names.request_id).map(String::from)
    else {
        return rejected(Reason::BadRequest, 400);
    };
    let Some(hostname) = http1::field_text(&request.fields, "host") else {
        return rejected(Reason::BadRequest, 400);
    };
    let Some(route) = find_route(core, hostname, &request.target) else {
        return rejected(Reason::NoRoute, 404);
    };
    let account =
        authentication::authenticate(&core.index.borrow(), &request.fields, route.public, origin);
    let Ok(account) = account else {
        return rejected(Reason::Unauthorized, 401);
    };
    let route_id = route.id();
    let stated_timeout = stated_timeout(core, &request.fields);
    let caller_deadline = arrived + stated_timeout;
    let deadline = arrived + stated_timeout.min(route.timeout);
    let deadline = core
        .stop_deadline()
        .map_or(deadline, |stop| stop.min(deadline));
    let fingerprint = Fingerprint::of_segments(
        &route.name,
        &request.method,
        &request.target,
        request.body.segments(),
    );
    let refused = core
        .refusal_history
        .borrow()
        .refused_at(arrived, fingerprint, caller_deadline);
    let mut fields = request.fields;
    http1::strip_hop_by_hop(&mut fields);
    if core.index.borrow().needs_key() {
        fields.retain(|field| !field.is(KEY_FIELD) && !field.is(header_names.account));
    }
    let own_fields = [
        header_names.caller_service,
        header_names.expected_instance,
        header_names.time_left,
    ];
    fields.retain(|field| !own_fields.iter().any(|name| field.is(name)));
    Ok(Call {
        account,
        body: request.body,
        deadline,
        fields,
        fingerprint,
        id,
        method: request.method,
        returned: refused.is_some(),
        route_id,
        target: request.target,
        full_value_until: refused.unwrap_or(arrived) + route.target,
        caller_deadline,
        route,
    })
}

/// Returns the time from the arrival of a request until its deadline, as far as its head tells. A request without a route is
/// not served, whatever time its caller states.
pub(super) fn time_limit(core: &Core, fields: &[Field], target: &str) -> Duration {
    let stated = stated_timeout(core, fields);
    let route =
        http1::field_text(fields, "host").and_then(|hostname| find_route(core, hostname, target));
    stated.min(route.map_or(DEFAULT_TIMEOUT, |route| route.timeout))
}

fn stated_timeout(core: &Core, fields: &[Field]) -> Duration {
    let stated: Option<u64> = http1::field_text(fields, core.header_names.time_left)
        .and_then(|text| text.trim().parse().ok());
    stated.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

fn find_route(core: &Core, hostname: &str, target: &str) -> Option<Arc<Route>> {
    let hostname = hostname.split(':').next().unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default();
    let index = core.index.borrow();
    index
        .find_route(&hostname.to_ascii_lowercase(), path)
        .cloned()
}

impl std::fmt::Display for CallFields<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let Some(call) = self.call else {
            return f.write_str("route=-");
        };
        write!(
            f,
            "route={}{} class={:?} priority={} left_ms={} worth_for_ms={} returned={}",
            call.route.name,
            AccountField(call.account.as_ref().map(|account| &account.name)),
            call.route.class,
            call.priority(),
            call.deadline.since(self.arrived).as_millis(),
            call.full_value_until.since(self.arrived).as_millis(),
            call.returned
        )
    }
}

impl std::fmt::Display for Confirmed<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        if !self.denied {
            return Ok(());
        }
        let age_ms = self
            .core
            .freshness
            .borrow()
            .age(self.core.now())
            .as_millis();
        let confirmed_by = self.core.confirmed_by.borrow();
        let source = confirmed_by.as_ref().map_or("store", Host::as_str);
        write!(f, " age_ms={age_ms} confirmed_by={source}")
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
