//! Parses the fields of one JSON object and collects every fault in them.

use {
    super::json::Json,
    crate::validate::{self, Fault},
    std::{fmt::Display, str::FromStr},
};

/// Position in a request that faults refer to: a resource, and the path of a field in it.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) path: String,
    pub(super) resource: String,
}

impl Place {
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
    place: Place,
}

impl<'j, 'f> Fields<'j, 'f> {
    /// Creates the fields of an object. Adds a fault for each duplicate key and each unknown one,
    /// the latter with the closest known key. Returns `None` if `json` is no object.
    pub(super) fn open(
        json: &'j Json,
        place: Place,
        known: &[&str],
        faults: &'f mut Vec<Fault>,
    ) -> Option<Self> {
        let members = object(json, &place, faults)?;
        for (name, _) in members {
            if known.contains(&name.as_str()) {
                continue;
            }
            let hint = validate::nearest(name, known).map_or_else(
                || format!("one of {}", known.join(", ")),
                |near| format!("did you mean `{near}`?"),
            );
            faults.push(place.field(name).fault(format!("is no field here: {hint}")));
        }
        Some(Self {
            faults,
            members,
            place,
        })
    }

    /// Returns an optional field. A field that is `null` counts as absent.
    pub(super) fn get(&self, name: &str) -> Option<&'j Json> {
        self.members
            .iter()
            .find(|(key, json)| key == name && *json != Json::Null)
            .map(|(_, json)| json)
    }

    pub(super) fn place(&self, name: &str) -> Place {
        self.place.field(name)
    }

    pub(super) fn faults(&mut self) -> &mut Vec<Fault> {
        self.faults
    }

    /// Returns a required field, or adds a fault if it is absent.
    pub(super) fn need(&mut self, name: &str) -> Option<&'j Json> {
        let json = self.get(name);
        if json.is_none() {
            self.faults.push(self.place.field(name).fault("is missing"));
        }
        json
    }

    /// Parses a required string.
    pub(super) fn text<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let json = self.need(name)?;
        self.parse(name, json)
    }

    /// Parses an optional string.
    pub(super) fn optional_text<T: FromStr<Err: Display>>(&mut self, name: &str) -> Option<T> {
        let json = self.get(name)?;
        self.parse(name, json)
    }

    /// Parses an optional unsigned integer.
    pub(super) fn number<T: TryFrom<u64>>(&mut self, name: &str) -> Option<T> {
        let json = self.get(name)?;
        number(json, &self.place.field(name), self.faults)
    }

    /// Parses an optional boolean, which is false if absent.
    pub(super) fn flag(&mut self, name: &str) -> bool {
        match self.get(name) {
            None => false,
            Some(Json::Bool(flag)) => *flag,
            Some(other) => {
                let message = format!("must be a boolean, not {}", other.name());
                self.faults.push(self.place.field(name).fault(message));
                false
            }
        }
    }

    fn parse<T: FromStr<Err: Display>>(&mut self, name: &str, json: &Json) -> Option<T> {
        let place = self.place.field(name);
        let parsed = match json {
            Json::Text(text) => text.parse().map_err(|error: T::Err| error.to_string()),
            other => Err(format!("must be a string, not {}", other.name())),
        };
        parsed
            .map_err(|message| self.faults.push(place.fault(message)))
            .ok()
    }
}

/// Returns the members of an object, and adds a fault for each duplicate key. Returns `None` if
/// `json` is no object.
pub(super) fn object<'a>(
    json: &'a Json,
    place: &Place,
    faults: &mut Vec<Fault>,
) -> Option<&'a [(String, Json)]> {
    let Json::Object(members) = json else {
        faults.push(place.fault(format!("must be an object, not {}", json.name())));
        return None;
    };
    let mut names: Vec<&str> = members.iter().map(|(name, _)| name.as_str()).collect();
    names.sort_unstable();
    let mut twice: Vec<&str> = names
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0])
        .collect();
    twice.dedup();
    for name in twice {
        faults.push(place.field(name).fault("is given more than once"));
    }
    Some(members)
}

/// Parses an unsigned integer. Adds a fault and returns `None` if it does not fit into `T`.
pub(super) fn number<T: TryFrom<u64>>(
    json: &Json,
    place: &Place,
    faults: &mut Vec<Fault>,
) -> Option<T> {
    let message = match json {
        Json::Whole(value) => match T::try_from(*value) {
            Ok(number) => return Some(number),
            Err(_) => format!("{value} is too large"),
        },
        other => format!("must be a whole number, not {}", other.name()),
    };
    faults.push(place.fault(message));
    None
}
