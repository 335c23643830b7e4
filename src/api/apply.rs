//! Parses request bodies into changes. Parsing goes on after a fault, so that one answer names every
//! fault with its resource and field.

use {
    super::{
        fields::{Fields, Location, object_members, parse_number},
        json::Json,
    },
    crate::{
        resource::{Change, Key, Kind, Limits, Preference, Rollout, Route, Spec, VersionSpec},
        types::{Moment, Name, Permille, Revision, Version},
        validate::{self, Fault},
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
    pub resubmitted: bool,
    /// The changes, each with the resource version that it replaces, or `None` if the request states
    /// none.
    pub changes: Vec<(Change, Option<Revision>)>,
    /// The faults found while parsing.
    pub faults: Vec<Fault>,
    /// The operation id, or `None` if the request states none.
    pub operation_id: Option<String>,
    /// The keys of documents that could not be parsed. References to them are not faults, since the
    /// request defines these resources.
    pub unparsed: BTreeSet<Key>,
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
        apply.read_body(&json);
        Ok(apply)
    }

    /// Parses the body of a request that changes one resource.
    ///
    /// # Errors
    /// Fails if the text is not JSON or holds too many values. Everything else is reported in
    /// [`Self::faults`].
    pub fn parse_single_change(text: &str) -> Result<Self, serde_json::Error> {
        let json = Json::parse(text)?;
        let mut apply = Self::default();
        apply.add_document(&json, "");
        Ok(apply)
    }

    fn read_body(&mut self, json: &Json) {
        let known = ["again", "delete", "operation", "resources"];
        let location = Location::new("", "");
        let mut faults = Vec::new();
        let Some(mut fields) = Fields::new(json, location, &known, &mut faults) else {
            self.faults = faults;
            return;
        };
        self.resubmitted = fields.optional_flag("again");
        self.operation_id = fields.optional_text("operation");
        let resources = list_field(&mut fields, "resources");
        let deleted = list_field(&mut fields, "delete");
        if self
            .operation_id
            .as_ref()
            .is_some_and(|id| !validate::is_operation_id(id))
        {
            let message = format!(
                "must be 1 to {} of A-Z, a-z, 0-9, `-`, `_`, `.`",
                validate::OPERATION_ID_BYTES_MAX
            );
            let fault = fields.location("operation").fault(message);
            fields.faults().push(fault);
        }
        if resources.len() + deleted.len() > RESOURCES_MAX {
            let message = format!("a request may change at most {RESOURCES_MAX} resources");
            let fault = fields.location("resources").fault(message);
            fields.faults().push(fault);
        }
        self.faults.append(&mut faults);
        for (index, json) in resources.iter().enumerate() {
            self.add_document(json, &format!("resources[{index}]"));
        }
        for (index, json) in deleted.iter().enumerate() {
            self.add_deletion(json, &format!("delete[{index}]"));
        }
    }

    fn add_deletion(&mut self, json: &Json, position: &str) {
        let known = ["kind", "name", "resourceVersion"];
        let location = Location::new("", position);
        let Some(mut fields) = Fields::new(json, location, &known, &mut self.faults) else {
            return;
        };
        let (kind, name) = (fields.required_text("kind"), fields.required_text("name"));
        let revision = fields.optional_number("resourceVersion").map(Revision);
        if let (Some(kind), Some(name)) = (kind, name) {
            let key = Key { kind, name };
            self.changes.push((Change::Delete(key), revision));
        }
    }

    fn add_document(&mut self, json: &Json, position: &str) {
        let kind = json.text_at(&["kind"]).and_then(|text| text.parse().ok());
        let name = json
            .text_at(&["metadata", "name"])
            .and_then(|text| text.parse().ok());
        let key = kind.zip(name).map(|(kind, name)| Key { kind, name });
        let location = key.as_ref().map_or_else(
            || Location::new("", position),
            |key| Location::new(key.to_string(), ""),
        );
        match parse_document(json, &location, kind, &mut self.faults) {
            Some(change) => self.changes.push(change),
            None => self.unparsed.extend(key),
        }
    }
}

fn list_field<'j>(fields: &mut Fields<'j, '_>, name: &str) -> &'j [Json] {
    match fields.get(name) {
        None => &[],
        Some(Json::List(list)) => list,
        Some(other) => {
            let message = format!("must be a list, not {}", other.type_name());
            let fault = fields.location(name).fault(message);
            fields.faults().push(fault);
            &[]
        }
    }
}

fn parse_document(
    json: &Json,
    location: &Location,
    kind: Option<Kind>,
    faults: &mut Vec<Fault>,
) -> Option<(Change, Option<Revision>)> {
    let known = ["kind", "metadata", "spec", "status"];
    let mut fields = Fields::new(json, location.clone(), &known, faults)?;
    // Parsed again only to report a missing or unknown kind; the value is that of `kind`.
    let _: Option<Kind> = fields.required_text("kind");
    let metadata = fields.require("metadata");
    let spec = fields.require("spec");
    let metadata = metadata.and_then(|json| parse_metadata(json, location, faults));
    let spec = spec.zip(kind);
    let spec =
        spec.and_then(|(json, kind)| parse_spec(kind, json, &location.field("spec"), faults));
    let ((name, revision), spec) = metadata.zip(spec)?;
    let key = Key { kind: kind?, name };
    Some((Change::Put(key, spec), revision))
}

fn parse_metadata(
    json: &Json,
    location: &Location,
    faults: &mut Vec<Fault>,
) -> Option<(Name, Option<Revision>)> {
    let known = ["name", "resourceVersion"];
    let mut fields = Fields::new(json, location.field("metadata"), &known, faults)?;
    let name = fields.required_text("name");
    let revision = fields.optional_number("resourceVersion").map(Revision);
    Some((name?, revision))
}

fn parse_spec(
    kind: Kind,
    json: &Json,
    location: &Location,
    faults: &mut Vec<Fault>,
) -> Option<Spec> {
    match kind {
        Kind::Limits => parse_limits(json, location, faults).map(Spec::Limits),
        Kind::Rollout => parse_rollout(json, location, faults).map(Spec::Rollout),
        Kind::Route => parse_route(json, location, faults).map(Spec::Route),
        Kind::Version => parse_version(json, location, faults).map(Spec::Version),
    }
}

fn parse_limits(json: &Json, location: &Location, faults: &mut Vec<Fault>) -> Option<Limits> {
    let known = ["body_bytes", "queue", "timeout_ms"];
    let mut fields = Fields::new(json, location.clone(), &known, faults)?;
    Some(Limits {
        body_bytes: fields.optional_number("body_bytes"),
        queue: fields.optional_number("queue"),
        timeout_ms: fields.optional_number("timeout_ms"),
    })
}

fn parse_rollout(json: &Json, location: &Location, faults: &mut Vec<Fault>) -> Option<Rollout> {
    let known = ["deadline", "from", "preference", "route", "to"];
    let mut fields = Fields::new(json, location.clone(), &known, faults)?;
    let deadline = fields.required_text::<Deadline>("deadline");
    let from = fields.required_text("from");
    let preference = fields.optional_text("preference");
    let route = fields.required_text("route");
    let to = fields.required_text("to");
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

fn parse_route(json: &Json, location: &Location, faults: &mut Vec<Fault>) -> Option<Route> {
    let known = ["path", "service", "shares"];
    let mut fields = Fields::new(json, location.clone(), &known, faults)?;
    let path = fields.optional_text::<String>("path");
    if path.as_ref().is_some_and(|path| !path.starts_with('/')) {
        let fault = fields.location("path").fault(validate::PATH_NOT_ABSOLUTE);
        fields.faults().push(fault);
    }
    let service = fields.required_text("service");
    let shares = fields.require("shares");
    let shares =
        shares.and_then(|json| self::parse_shares(json, &location.field("shares"), faults));
    Some(Route {
        path: path.unwrap_or_else(|| "/".into()),
        service: service?,
        shares: shares?,
    })
}

fn parse_shares(
    json: &Json,
    location: &Location,
    faults: &mut Vec<Fault>,
) -> Option<BTreeMap<Version, Permille>> {
    let mut shares = BTreeMap::new();
    let before = faults.len();
    for (name, json) in object_members(json, location, faults)? {
        let location = location.field(name);
        let share = parse_number(json, &location, faults).map(Permille);
        match name.parse::<Version>() {
            Ok(version) => drop(shares.insert(version, share.unwrap_or_default())),
            Err(error) => faults.push(location.fault(error.to_string())),
        }
    }
    (faults.len() == before).then_some(shares)
}

fn parse_version(json: &Json, location: &Location, faults: &mut Vec<Fault>) -> Option<VersionSpec> {
    let mut fields = Fields::new(json, location.clone(), &["service"], faults)?;
    Some(VersionSpec {
        service: fields.required_text("service")?,
    })
}
