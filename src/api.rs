//! The resource API over HTTP: operators read, change and watch resources. See docs/api.md.

use {
    crate::{
        error::Result,
        node::{Clock, Handle},
        resource::{Change, Key, Kind},
        settings::{Right, Tokens},
        source::{Operation, OperationStatus as Status},
        types::{Name, Revision},
        validate::{self, Fault},
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tiny_http::{Method, Request},
};

pub use self::{
    apply::{Apply, RESOURCES_MAX},
    deletion_log::{DELETIONS_MAX, DeletionLog},
    http_server::{BODY_BYTES_MAX, HttpServer},
    json::JSON_VALUES_MAX,
    target::{InvalidTarget, Target},
    view::{Document, View},
    watch::HEARTBEAT_INTERVAL,
};

pub(crate) use self::http_server::{Reply, parse_body, problem, reply};

mod apply;
mod deletion_log;
mod fields;
mod http_server;
mod json;
mod target;
mod view;
mod watch;

/// Maximum number of watches that one node serves at a time. Each one occupies a thread.
pub const WATCHES_MAX: usize = 64;

#[derive(Clone)]
struct Api {
    handle: Handle,
    stopping: Arc<AtomicBool>,
    tokens: Tokens,
    watches: Arc<AtomicUsize>,
}

enum Answer {
    Reply(Reply),
    Watch(watch::Watch),
}

impl HttpServer {
    /// Serves the resource API.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub fn serve_api(address: SocketAddr, tokens: Tokens, handle: Handle) -> Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let api = Api {
            handle,
            stopping: stopping.clone(),
            tokens,
            watches: Arc::default(),
        };
        Self::spawn(address, stopping, move |request| api.serve(request))
    }
}

impl Api {
    fn serve(&self, mut request: Request) {
        let answer = self.answer(&mut request).unwrap_or_else(Answer::Reply);
        match answer {
            Answer::Reply(reply) => self.respond(request, reply),
            Answer::Watch(watch) => self.spawn_watch(request, watch),
        }
    }

    fn respond(&self, request: Request, reply: Reply) {
        let status = reply.status_code().0;
        if status >= 400 {
            let name = format!("api.refused.{status}");
            self.handle.telemetry().count(&name);
        }
        // An error means that the client has disconnected, so there is nobody to answer.
        let _ = request.respond(reply);
    }

    fn spawn_watch(&self, request: Request, watch: watch::Watch) {
        if self.watches.fetch_add(1, Ordering::Relaxed) >= WATCHES_MAX {
            self.watches.fetch_sub(1, Ordering::Relaxed);
            let title = format!("this node already serves {WATCHES_MAX} watches: use another node");
            self.respond(request, problem(503, &title, &[]));
            return;
        }
        let api = self.clone();
        thread::spawn(move || {
            // A watch ends with an error whenever its client disconnects.
            let _ = watch.run(&api.handle, request.into_writer(), &api.stopping);
            api.watches.fetch_sub(1, Ordering::Relaxed);
        });
    }

    fn answer(&self, request: &mut Request) -> Result<Answer, Reply> {
        let right = bearer_token(request)
            .and_then(|token| self.tokens.right(&token))
            .ok_or_else(|| problem(401, "a valid bearer token is required", &[]))?;
        if request.method() != &Method::Get && right == Right::Read {
            return Err(problem(403, "the token grants read access only", &[]));
        }
        let target =
            Target::parse(request.url()).map_err(|error| problem(400, &error.to_string(), &[]))?;
        let path: Vec<&str> = target.path.iter().map(String::as_str).collect();
        let method = request.method().clone();
        match (method, path.as_slice()) {
            (Method::Get, ["v1", "status"]) => Ok(Answer::Reply(self.status())),
            (Method::Get, ["v1", "operations", id]) => Ok(Answer::Reply(self.look_up(id))),
            (Method::Get, ["v1", kind]) => self.list(parse_kind(kind)?, &target),
            (Method::Get, ["v1", kind, name]) => self.get(&parse_key(kind, name)?, &target),
            (Method::Post, ["v1", "apply"]) => self.apply(&target, request).map(Answer::Reply),
            (Method::Post, ["v1", "drain"]) => Ok(Answer::Reply(self.drain())),
            (Method::Post, ["v1", kind]) => {
                let kind = parse_kind(kind)?;
                self.create(kind, &target, request).map(Answer::Reply)
            }
            (Method::Put, ["v1", kind, name]) => {
                let key = parse_key(kind, name)?;
                self.replace(&key, &target, request).map(Answer::Reply)
            }
            (Method::Delete, ["v1", kind, name]) => {
                let key = parse_key(kind, name)?;
                self.delete(key, &target).map(Answer::Reply)
            }
            (_, ["v1", kind] | ["v1", kind, _]) if kind.parse::<Kind>().is_ok() => {
                Err(problem(405, "the method is not allowed here", &[]))
            }
            _ => Err(problem(404, "there is nothing here", &[])),
        }
    }

    fn status(&self) -> Reply {
        let body = json!({
            "domains": *self.handle.coverage(),
            "resourceVersion": self.handle.snapshot().revision,
        });
        reply(200, &body)
    }

    fn drain(&self) -> Reply {
        self.handle.drain();
        reply(200, &json!({ "state": "draining" }))
    }

    fn list(&self, kind: Kind, target: &Target) -> Result<Answer, Reply> {
        if let Some(watch) = self.watch(kind, None, target)? {
            return Ok(Answer::Watch(watch));
        }
        let snapshot = self.handle.snapshot();
        let view = View::new(&self.handle);
        let items: Vec<Document> = snapshot
            .resources
            .values()
            .filter(|resource| resource.key.kind == kind)
            .map(|resource| Document::new(resource, &view))
            .collect();
        let body = json!({ "items": items, "resourceVersion": snapshot.revision });
        Ok(Answer::Reply(reply(200, &body)))
    }

    fn get(&self, key: &Key, target: &Target) -> Result<Answer, Reply> {
        if let Some(watch) = self.watch(key.kind, Some(key.name.clone()), target)? {
            return Ok(Answer::Watch(watch));
        }
        let snapshot = self.handle.snapshot();
        let resource = snapshot
            .resources
            .get(key)
            .ok_or_else(|| problem(404, &format!("there is no {key}"), &[]))?;
        let document = Document::new(resource, &View::new(&self.handle));
        Ok(Answer::Reply(reply(200, &json!(document))))
    }

    fn watch(
        &self,
        kind: Kind,
        name: Option<Name>,
        target: &Target,
    ) -> Result<Option<watch::Watch>, Reply> {
        check_parameters(target, &["watch", "resourceVersion", "timeoutSeconds"])?;
        if !parse_flag(target, "watch")? {
            return Ok(None);
        }
        let since: Option<Revision> = parse_number(target, "resourceVersion")?.map(Revision);
        let timeout_max_s = watch::WATCH_DURATION_MAX.as_secs();
        let timeout_s = parse_number(target, "timeoutSeconds")?.unwrap_or(timeout_max_s);
        if let Some(since) = since {
            let until = self.handle.snapshot().revision;
            let oldest = self.handle.deletions().between(since, until).err();
            if let Some(oldest) = oldest {
                return Err(reply(410, &watch::gone_problem(oldest)));
            }
        }
        Ok(Some(watch::Watch {
            kind,
            name,
            since,
            timeout: Duration::from_secs(timeout_s.min(timeout_max_s)),
        }))
    }

    fn look_up(&self, id: &str) -> Reply {
        if !validate::is_operation_id(id) {
            return problem(404, "there is no such operation", &[]);
        }
        match self.handle.look_up(id.into()) {
            Status::Accepted(revision) => accepted(200, id, revision),
            Status::Absent => {
                let title = "no operation of this id is accepted up to now";
                let body = json!({ "status": 404, "title": title, "operation": id });
                reply(404, &body)
            }
            Status::Busy => busy(),
            Status::Refused(_) | Status::Unavailable | Status::Unknown => outcome_unknown(id),
        }
    }

    fn apply(&self, target: &Target, request: &mut Request) -> Result<Reply, Reply> {
        check_parameters(target, &[])?;
        let text = http_server::body_text(request)?;
        let apply = Apply::parse(&text).map_err(|error| not_json(&error))?;
        Ok(self.submit(apply, 200))
    }

    fn create(&self, kind: Kind, target: &Target, request: &mut Request) -> Result<Reply, Reply> {
        let mut apply = parse_single_change(target, request)?;
        for (change, precondition) in &mut apply.changes {
            let key = change.key();
            if key.kind != kind {
                apply.faults.push(Fault::new(
                    key.to_string(),
                    "kind",
                    format!("must be {kind} here"),
                ));
            }
            *precondition = Some(Revision(0));
        }
        Ok(self.submit(apply, 201))
    }

    fn replace(&self, key: &Key, target: &Target, request: &mut Request) -> Result<Reply, Reply> {
        let mut apply = parse_single_change(target, request)?;
        for (change, _) in &apply.changes {
            let stated = change.key();
            if stated != key {
                apply.faults.push(Fault::new(
                    stated.to_string(),
                    "metadata.name",
                    format!("must be that of {key} here"),
                ));
            }
        }
        Ok(self.submit(apply, 200))
    }

    fn delete(&self, key: Key, target: &Target) -> Result<Reply, Reply> {
        check_parameters(target, &["again", "operation", "resourceVersion"])?;
        let precondition = parse_number(target, "resourceVersion")?.map(Revision);
        let apply = Apply {
            resubmitted: parse_flag(target, "again")?,
            changes: vec![(Change::Delete(key), precondition)],
            operation_id: operation_id(target)?,
            ..Apply::default()
        };
        Ok(self.submit(apply, 200))
    }

    fn submit(&self, mut apply: Apply, success_status: u16) -> Reply {
        let id = apply
            .operation_id
            .take()
            .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let operation = Operation {
            changes: apply.changes,
            id: id.clone(),
        };
        if !apply.faults.is_empty() {
            // Also validate the changes that could be parsed, so that one answer names every fault.
            let mut state = (*self.handle.snapshot()).clone();
            let now = Clock::start().now();
            let result = validate::check_and_apply(&mut state, &operation, now, &apply.unparsed);
            for fault in result.err().into_iter().flatten() {
                if !apply.faults.contains(&fault) {
                    apply.faults.push(fault);
                }
            }
            return refused(&apply.faults);
        }
        let operation_status = if apply.resubmitted {
            self.handle.resubmit(operation)
        } else {
            self.handle.submit(operation)
        };
        match operation_status {
            Status::Accepted(revision) => accepted(success_status, &id, revision),
            Status::Refused(faults) => refused(&faults),
            Status::Busy => busy(),
            Status::Unavailable => {
                let title = "not accepted: the platform can't be reached, and nothing was sent";
                problem(503, title, &[])
            }
            Status::Absent | Status::Unknown => outcome_unknown(&id),
        }
    }
}

fn bearer_token(request: &Request) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv("authorization"))
        .and_then(|header| header.value.as_str().strip_prefix("Bearer "))
        .map(String::from)
}

fn parse_kind(text: &str) -> Result<Kind, Reply> {
    text.parse()
        .map_err(|error: String| problem(404, &error, &[]))
}

fn parse_key(kind: &str, name: &str) -> Result<Key, Reply> {
    let kind = parse_kind(kind)?;
    let name = name
        .parse()
        .map_err(|error: crate::types::InvalidName| problem(404, &error.to_string(), &[]))?;
    Ok(Key { kind, name })
}

fn bad_parameter(name: &str, message: &str) -> Reply {
    let fault = Fault::new("", format!("?{name}"), message);
    problem(400, "the query is malformed", &[fault])
}

fn check_parameters(target: &Target, parameters: &[&str]) -> Result<(), Reply> {
    let Some(name) = target.unknown_parameter(parameters) else {
        return Ok(());
    };
    let hint = validate::closest_match(name, parameters)
        .map_or_else(String::new, |near| format!(": did you mean `{near}`?"));
    Err(bad_parameter(name, &format!("is no parameter here{hint}")))
}

fn parse_flag(target: &Target, name: &str) -> Result<bool, Reply> {
    match target.parameter(name) {
        None | Some("false") => Ok(false),
        Some("" | "true") => Ok(true),
        Some(_) => Err(bad_parameter(name, "must be `true` or `false`")),
    }
}

fn parse_number(target: &Target, name: &str) -> Result<Option<u64>, Reply> {
    target
        .parameter(name)
        .map(str::parse)
        .transpose()
        .map_err(|_| bad_parameter(name, "must be a whole number"))
}

fn operation_id(target: &Target) -> Result<Option<String>, Reply> {
    let id = target.parameter("operation");
    if id.is_some_and(|id| !validate::is_operation_id(id)) {
        return Err(bad_parameter("operation", "is not a valid operation id"));
    }
    Ok(id.map(String::from))
}

fn parse_single_change(target: &Target, request: &mut Request) -> Result<Apply, Reply> {
    check_parameters(target, &["again", "operation"])?;
    let id = operation_id(target)?;
    let text = http_server::body_text(request)?;
    let mut apply = Apply::parse_single_change(&text).map_err(|error| not_json(&error))?;
    apply.resubmitted = parse_flag(target, "again")?;
    apply.operation_id = id;
    Ok(apply)
}

fn not_json(error: &serde_json::Error) -> Reply {
    problem(400, &format!("the body is not JSON: {error}"), &[])
}

fn accepted(status: u16, id: &str, revision: Revision) -> Reply {
    let body = json!({ "operation": id, "outcome": "accepted", "resourceVersion": revision });
    reply(status, &body)
}

fn busy() -> Reply {
    problem(503, "not accepted: too many operations wait here", &[])
}

fn outcome_unknown(id: &str) -> Reply {
    let body = json!({
        "status": 504,
        "title": "the outcome is unknown",
        "detail": "ask again with the same operation id and `again`: it is never applied twice",
        "operation": id,
        "outcome": "unknown",
    });
    reply(504, &body)
}

/// Returns 409 if only preconditions failed, else 422: every other fault is in the request itself.
fn refused(faults: &[Fault]) -> Reply {
    let conflict = faults
        .iter()
        .all(|fault| fault.field == "metadata.resourceVersion");
    let (status, title) = if conflict {
        (409, "refused: the resource is at another version")
    } else {
        (422, "refused")
    };
    let body: Value = json!({
        "status": status, "title": title, "faults": faults, "outcome": "refused",
    });
    reply(status, &body)
}
