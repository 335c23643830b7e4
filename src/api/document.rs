//! Parses request bodies into changes. Parsing goes on after a fault, so that one answer names every
//! fault with its resource and field.

use {
    super::{
        fields::{Fields, Place, number, object},
        json::Json,
    },
    crate::{
        resource::{Change, Key, Kind, Limits, Preference, Rollout, Route, Spec, VersionSpec},
        validate::{self, Fault},
        world::{Moment, Name, Permille, Revision, Version},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        str::FromStr,
    },
};

/// Maximum number of resources that one request may change.
pub const RESOURCES_MAX: usize = 1000;

/// The changes that a request asks for, as far as they could be parsed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Apply {
    /// Whether the operation was submitted before and its outcome is unknown.
    pub again: bool,
    /// The changes, each with the resource version that it replaces, or `None` if the request states
    /// none.
    pub changes: Vec<(Change, Option<Revision>)>,
    /// The faults found while parsing.
    pub faults: Vec<Fault>,
    /// The operation id, or `None` if the request states none.
    pub operation: Option<String>,
    /// The keys of documents that could not be parsed. References to them are not faults, since the
    /// request defines these resources.
    pub unread: BTreeSet<Key>,
}

impl Apply {
    /// Parses the body of `POST /v1/apply`.
    ///
    /// # Errors
    /// Fails if the text is not JSON or holds too many values. Everything else is reported in
    /// [`Self::faults`].
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let json = Json::parse(text)?;
        let mut apply = Self::default();
        apply.read(&json);
        Ok(apply)
    }

    /// Parses the body of a request that changes one resource.
    ///
    /// # Errors
    /// Fails if the text is not JSON or holds too many values. Everything else is reported in
    /// [`Self::faults`].
    pub fn parse_one(text: &str) -> Result<Self, serde_json::Error> {
        let json = Json::parse(text)?;
        let mut apply = Self::default();
        apply.document(&json, "");
        Ok(apply)
    }

    fn read(&mut self, json: &Json) {
        let known = ["again", "delete", "operation", "resources"];
        let place = Place::new("", "");
        let mut faults = Vec::new();
        let Some(mut fields) = Fields::open(json, place, &known, &mut faults) else {
            self.faults = faults;
            return;
        };
        self.again = fields.flag("again");
        self.operation = fields.optional_text("operation");
        let resources = list(&mut fields, "resources");
        let deleted = list(&mut fields, "delete");
        if self
            .operation
            .as_ref()
            .is_some_and(|id| !validate::is_id(id))
        {
            let message = format!(
                "must be 1 to {} of A-Z, a-z, 0-9, `-`, `_`, `.`",
                validate::ID_MAX
            );
            let fault = fields.place("operation").fault(message);
            fields.faults().push(fault);
        }
        if resources.len() + deleted.len() > RESOURCES_MAX {
            let message = format!("a request may change at most {RESOURCES_MAX} resources");
            let fault = fields.place("resources").fault(message);
            fields.faults().push(fault);
        }
        self.faults.append(&mut faults);
        for (index, json) in resources.iter().enumerate() {
            self.document(json, &format!("resources[{index}]"));
        }
        for (index, json) in deleted.iter().enumerate() {
            self.deletion(json, &format!("delete[{index}]"));
        }
    }

    fn deletion(&mut self, json: &Json, position: &str) {
        let known = ["kind", "name", "resourceVersion"];
        let place = Place::new("", position);
        let Some(mut fields) = Fields::open(json, place, &known, &mut self.faults) else {
            return;
        };
        let (kind, name) = (fields.text("kind"), fields.text("name"));
        let revision = fields.number("resourceVersion").map(Revision);
        if let (Some(kind), Some(name)) = (kind, name) {
            let key = Key { kind, name };
            self.changes.push((Change::Delete(key), revision));
        }
    }

    fn document(&mut self, json: &Json, position: &str) {
        let kind = json.peek(&["kind"]).and_then(|text| text.parse().ok());
        let name = json
            .peek(&["metadata", "name"])
            .and_then(|text| text.parse().ok());
        let key = kind.zip(name).map(|(kind, name)| Key { kind, name });
        let place = key.as_ref().map_or_else(
            || Place::new("", position),
            |key| Place::new(key.to_string(), ""),
        );
        match document(json, &place, kind, &mut self.faults) {
            Some(change) => self.changes.push(change),
            None => self.unread.extend(key),
        }
    }
}

fn list<'j>(fields: &mut Fields<'j, '_>, name: &str) -> &'j [Json] {
    match fields.get(name) {
        None => &[],
        Some(Json::List(list)) => list,
        Some(other) => {
            let message = format!("must be a list, not {}", other.name());
            let fault = fields.place(name).fault(message);
            fields.faults().push(fault);
            &[]
        }
    }
}

fn document(
    json: &Json,
    place: &Place,
    kind: Option<Kind>,
    faults: &mut Vec<Fault>,
) -> Option<(Change, Option<Revision>)> {
    let known = ["kind", "metadata", "spec", "status"];
    let mut fields = Fields::open(json, place.clone(), &known, faults)?;
    // Parsed again only to report a missing or unknown kind; the value is that of `kind`.
    let _: Option<Kind> = fields.text("kind");
    let metadata = fields.need("metadata");
    let spec = fields.need("spec");
    let metadata = metadata.and_then(|json| identity(json, place, faults));
    let spec = spec.zip(kind);
    let spec = spec.and_then(|(json, kind)| read(kind, json, &place.field("spec"), faults));
    let ((name, revision), spec) = metadata.zip(spec)?;
    let key = Key { kind: kind?, name };
    Some((Change::Put(key, spec), revision))
}

fn identity(
    json: &Json,
    place: &Place,
    faults: &mut Vec<Fault>,
) -> Option<(Name, Option<Revision>)> {
    let known = ["name", "resourceVersion"];
    let mut fields = Fields::open(json, place.field("metadata"), &known, faults)?;
    let name = fields.text("name");
    let revision = fields.number("resourceVersion").map(Revision);
    Some((name?, revision))
}

fn read(kind: Kind, json: &Json, place: &Place, faults: &mut Vec<Fault>) -> Option<Spec> {
    match kind {
        Kind::Limits => limits(json, place, faults).map(Spec::Limits),
        Kind::Rollout => rollout(json, place, faults).map(Spec::Rollout),
        Kind::Route => route(json, place, faults).map(Spec::Route),
        Kind::Version => version(json, place, faults).map(Spec::Version),
    }
}

fn limits(json: &Json, place: &Place, faults: &mut Vec<Fault>) -> Option<Limits> {
    let known = ["body_bytes", "queue", "timeout_ms"];
    let mut fields = Fields::open(json, place.clone(), &known, faults)?;
    Some(Limits {
        body_bytes: fields.number("body_bytes"),
        queue: fields.number("queue"),
        timeout_ms: fields.number("timeout_ms"),
    })
}

fn rollout(json: &Json, place: &Place, faults: &mut Vec<Fault>) -> Option<Rollout> {
    let known = ["deadline", "from", "preference", "route", "to"];
    let mut fields = Fields::open(json, place.clone(), &known, faults)?;
    let deadline = fields.text::<Deadline>("deadline");
    let from = fields.text("from");
    let preference = fields.optional_text("preference");
    let route = fields.text("route");
    let to = fields.text("to");
    Some(Rollout {
        deadline: deadline?.0,
        from: from?,
        outcome: None,
        preference: preference.unwrap_or_default(),
        route: route?,
        started: Moment::default(),
        to: to?,
    })
}

struct Deadline(Moment);

impl FromStr for Deadline {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let moment = text.parse().map(Self);
        moment.map_err(|_| "must be a time such as `2026-05-01T12:00:00Z`")
    }
}

impl FromStr for Preference {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "completion" => Ok(Self::Completion),
            "rollback" => Ok(Self::Rollback),
            _ => Err("must be `completion` or `rollback`"),
        }
    }
}

fn route(json: &Json, place: &Place, faults: &mut Vec<Fault>) -> Option<Route> {
    let known = ["path", "service", "shares"];
    let mut fields = Fields::open(json, place.clone(), &known, faults)?;
    let path = fields.optional_text::<String>("path");
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        let fault = fields.place("path").fault(validate::BAD_PATH);
        fields.faults().push(fault);
    }
    let service = fields.text("service");
    let shares = fields.need("shares");
    let shares = shares.and_then(|json| self::shares(json, &place.field("shares"), faults));
    Some(Route {
        path: path.unwrap_or_else(|| "/".into()),
        service: service?,
        shares: shares?,
    })
}

fn shares(
    json: &Json,
    place: &Place,
    faults: &mut Vec<Fault>,
) -> Option<BTreeMap<Version, Permille>> {
    let mut shares = BTreeMap::new();
    let before = faults.len();
    for (name, json) in object(json, place, faults)? {
        let place = place.field(name);
        let share = number(json, &place, faults).map(Permille);
        match name.parse::<Version>() {
            Ok(version) => drop(shares.insert(version, share.unwrap_or_default())),
            Err(error) => faults.push(place.fault(error.to_string())),
        }
    }
    (faults.len() == before).then_some(shares)
}

fn version(json: &Json, place: &Place, faults: &mut Vec<Fault>) -> Option<VersionSpec> {
    let mut fields = Fields::open(json, place.clone(), &["service"], faults)?;
    Some(VersionSpec {
        service: fields.text("service")?,
    })
}
