//! A JSON parser for request bodies. Unlike `serde_json::Value` it keeps duplicate keys, so that
//! they can be reported, and it bounds the number of values.

use {
    serde::de::{self, DeserializeSeed, MapAccess, SeqAccess, Visitor},
    std::{cell::Cell, fmt},
};

/// Maximum number of JSON values in a body, which bounds the memory that its parsed form takes.
pub const JSON_VALUES_MAX: u32 = 100_000;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Json {
    Bool(bool),
    List(Vec<Json>),
    Null,
    /// A negative or fractional number. Its value is not kept, since no field accepts one.
    Number,
    Object(Vec<(String, Json)>),
    Text(String),
    Unsigned(u64),
}

impl Json {
    /// Parses a text that consists of exactly one value.
    pub(super) fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let values_left = Cell::new(JSON_VALUES_MAX);
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let json = ValueSeed(&values_left).deserialize(&mut deserializer)?;
        deserializer.end()?;
        Ok(json)
    }

    /// Returns the name of the type, with its article, for fault messages.
    pub(super) fn type_name(&self) -> &'static str {
        match self {
            Self::Bool(_) => "a boolean",
            Self::List(_) => "a list",
            Self::Null => "null",
            Self::Number => "a negative or fractional number",
            Self::Object(_) => "an object",
            Self::Text(_) => "a string",
            Self::Unsigned(_) => "a number",
        }
    }

    /// Returns the string at a path of keys, or `None` if there is no string.
    pub(super) fn text_at(&self, path: &[&str]) -> Option<&str> {
        match (self, path.split_first()) {
            (Self::Text(text), None) => Some(text),
            (Self::Object(members), Some((key, rest))) => members
                .iter()
                .find(|(name, _)| name == key)
                .and_then(|(_, value)| value.text_at(rest)),
            _ => None,
        }
    }
}

struct ValueSeed<'a>(&'a Cell<u32>);

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Json;

    fn deserialize<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<Json, D::Error> {
        let values_left = self.0.get().checked_sub(1);
        self.0.set(values_left.ok_or_else(|| {
            de::Error::custom(format_args!("it holds more than {JSON_VALUES_MAX} values"))
        })?);
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Json;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Json, E> {
        Ok(Json::Bool(value))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Json, E> {
        Ok(Json::Number)
    }

    fn visit_i64<E>(self, value: i64) -> Result<Json, E> {
        Ok(u64::try_from(value).map_or(Json::Number, Json::Unsigned))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Json, E> {
        Ok(Json::Unsigned(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Json, E> {
        Ok(Json::Text(value.into()))
    }

    fn visit_unit<E>(self) -> Result<Json, E> {
        Ok(Json::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Json, A::Error> {
        let mut list = Vec::new();
        while let Some(value) = sequence.next_element_seed(ValueSeed(self.0))? {
            list.push(value);
        }
        Ok(Json::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Json, A::Error> {
        let mut members = Vec::new();
        while let Some(key) = map.next_key()? {
            members.push((key, map.next_value_seed(ValueSeed(self.0))?));
        }
        Ok(Json::Object(members))
    }
}
