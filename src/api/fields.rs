//! Parses the fields of one JSON object and collects every fault in them.

use {
    super::json::Json,
    crate::validate::{self, Fault},
    std::{fmt::Display, str::FromStr},
};

/// Position in a request that faults refer to: a resource, and the path of a field in it.
#[derive(Debug, Clone)]
pub(super) struct Location {
    pub(super) path: String,
    pub(super) resource: String,
}

impl Location {
    pub(super) fn new(resource: impl Into<String>, path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            resource: resource.into(),
        }
    }

    pub(super) fn field(&self, name: &str) -> Self {
        let dot = if self.path.is_empty() { "" } else { "." };
        Self::new(self.resource.clone(), format!("{}{dot}{name}", self.path))
    }

    pub(super) fn fault(&self, message: impl Into<String>) -> Fault {
        Fault::new(self.resource.clone(), self.path.clone(), message)
    }
}

/// Fields of one object, with the list to which faults are added.
pub(super) struct Fields<'j, 'f> {
    faults: &'f mut Vec<Fault>,
    members: &'j [(String, Json)],
    location: Location,
}

impl<'j, 'f> Fields<'j, 'f> {
    /// Creates the fields of an object. Adds a fault for each duplicate key and each unknown one,
    /// the latter with the closest known key. Returns `None` if `json` is no object.
    pub(super) fn new(
        json: &'j Json,
        location: Location,
        known: &[&str],
        faults: &'f mut Vec<Fault>,
    ) -> Option<Self> {
        let members = object_members(json, &location, faults)?;
        for (name, _) in members {
            if known.contains(&name.as_str()) {
                continue;
            }
            let hint = validate::closest_match(name, known).map_or_else(
                || format!("one of {}", known.join(", ")),
                |closest| format!("did you mean `{closest}`?"),
            );
            faults.push(
                location
                    .field(name)
                    .fault(format!("is no field here: {hint}")),
            );
        }
        Some(Self {
            faults,
            members,
            location,
        })
    }

    /// Returns an optional field. A field that is `null` counts as absent.
    pub(super) fn get(&self, name: &str) -> Option<&'j Json> {
        self.members
            .iter()
            .find(|(key, json)| key == name && *json != Json::Null)
            .map(|(_, json)| json)
    }

    pub(super) fn location(&self, name: &str) -> Location {
        self.location.field(name)
    }

    pub(super) fn faults(&mut self) -> &mut Vec<Fault> {
        self.faults
    }

    /// Returns a required field, or adds a fault if it is absent.
    pub(super) fn require(&mut self, name: &str) -> Option<&'j Json> {
        let json = self.get(name);
        if json.is_none() {
            self.faults
                .push(self.location.field(name).fault("is missing"));
        }
        json
    }

    /// Parses a required string.
    pub(super) fn required_text<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let json = self.require(name)?;
        self.parse(name, json)
    }

    /// Parses an optional string.
    pub(super) fn optional_text<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let json = self.get(name)?;
        self.parse(name, json)
    }

    /// Parses an optional unsigned integer.
    pub(super) fn optional_number<T: TryFrom<u64>>(&mut self, name: &str) -> Option<T> {
        let json = self.get(name)?;
        parse_number(json, &self.location.field(name), self.faults)
    }

    /// Parses an optional boolean, which is false if absent.
    pub(super) fn optional_flag(&mut self, name: &str) -> bool {
        match self.get(name) {
            None => false,
            Some(Json::Bool(flag)) => *flag,
            Some(other) => {
                let message = format!("must be a boolean, not {}", other.type_name());
                self.faults.push(self.location.field(name).fault(message));
                false
            }
        }
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, name: &str, json: &Json) -> Option<T> {
        let location = self.location.field(name);
        let parsed = match json {
            Json::Text(text) => text.parse().map_err(|error: T::Err| error.to_string()),
            other => Err(format!("must be a string, not {}", other.type_name())),
        };
        parsed
            .map_err(|message| self.faults.push(location.fault(message)))
            .ok()
    }
}

/// Returns the members of an object, and adds a fault for each duplicate key. Returns `None` if
/// `json` is no object.
pub(super) fn object_members<'a>(
    json: &'a Json,
    location: &Location,
    faults: &mut Vec<Fault>,
) -> Option<&'a [(String, Json)]> {
    let Json::Object(members) = json else {
        faults.push(location.fault(format!("must be an object, not {}", json.type_name())));
        return None;
    };
    let mut names: Vec<&str> = members.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    let mut duplicates: Vec<&str> = names
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0])
        .collect();
    duplicates.dedup();
    for name in duplicates {
        faults.push(location.field(name).fault("is given more than once"));
    }
    Some(members)
}

/// Parses an unsigned integer. Adds a fault and returns `None` if it does not fit into `T`.
pub(super) fn parse_number<T: TryFrom<u64>>(
    json: &Json,
    location: &Location,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let message = match json {
        Json::Unsigned(value) => match T::try_from(*value) {
            Ok(number) => return Some(number),
            Err(_) => format!("{value} is too large"),
        },
        other => format!("must be a whole number, not {}", other.type_name()),
    };
    faults.push(location.fault(message));
    None
}
